"""The demand of this node in its messages to others, and theirs on its board."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Final

from msgspec import UNSET, UnsetType

from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.admission.demand import DemandRows
from vaneturn_core.traffic.loads import MAX_SUM_AGE_S
from vaneturn_node.clock import read_clock
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.sharing.demandrows import DemandCodec

FAULT_LOG_GAP_S: Final = 60.0  # between two log lines about invalid reports of one sender
EXCESS_LOG_GAP_S: Final = 5.0  # between two log lines about sums that hold too many nodes

Packed = bytes | UnsetType  # unset in messages of nodes without prioritized services, and of older builds

logger = logging.getLogger(__name__)


class DemandSharing:
    """Packs the demand that this node reports, and records what others report.

    Without prioritized services, messages contain nothing about demand, and nothing is recorded.
    """

    def __init__(self, parts: TrafficParts) -> None:
        self._parts = parts
        self._scope = parts.demand_scope
        self._codec = DemandCodec(self._scope)
        self._packed: Packed = UNSET  # the demand of all nodes
        self._packed_at = float("-inf")
        self._logged_at: dict[str, float] = {}  # by sender of an invalid report
        self._excess_logged_at = float("-inf")
        self.reported_nodes = 0  # whose figures the latest sum of all nodes holds

    def list_own(self) -> DemandRows:
        """List the rows of this node."""
        return self._parts.demand.list_rows()

    def sum_followers(self) -> DemandRows:
        """Sum the rows of this node and of its followers."""
        return self._parts.demand_board.sum_followers(self.list_own())

    def pack(self, rows: DemandRows) -> Packed:
        """Pack rows for a message."""
        return self._get_codec().pack(rows) if self._is_active() else UNSET

    def pack_followers(self) -> Packed:
        """Pack the sum of this node and of its followers."""
        return self.pack(self.sum_followers())

    def pack_all(self) -> Packed:
        """Pack the sum of all nodes; answers sent at about the same time share the result."""
        if not self._is_active():
            return UNSET
        now = read_clock()
        if now - self._packed_at >= MAX_SUM_AGE_S or self._scope is not self._parts.demand_scope:
            rows = self._parts.demand_board.sum_all(self.list_own())
            self._note_nodes(rows.nodes, self._parts.demand_board.count_reported_nodes())
            self._packed = self.pack(rows)
            self._packed_at = now
        return self._packed

    def take_follower(self, vm: VmId, packed: Packed) -> None:
        """Record the report of a follower."""
        rows = self._unpack(vm, packed)
        if rows is not None:
            self._parts.demand_board.record_follower(vm, rows)

    def take_relay(self, vm: VmId, packed: Packed) -> None:
        """Record the report of another relay."""
        rows = self._unpack(vm, packed)
        if rows is not None:
            self._parts.demand_board.record_relay(vm, rows)

    def forget_relay(self, vm: VmId) -> None:
        """Drop the report of a node that exchanges sums no longer."""
        self._parts.demand_board.forget_relay(vm)

    def take_total(self, address: str, packed: Packed, reported: DemandRows) -> None:
        """Record the demand of all nodes from the answer of a relay, less what this node had reported to it."""
        rows = self._unpack(address, packed)
        if rows is not None:
            self._note_nodes(rows.nodes, {})
            self._parts.demand_board.record_total(rows, reported)

    def _unpack(self, sender: str, packed: Packed) -> DemandRows | None:
        """Unpack a report; none if there is none, or it is invalid and the earlier figures stay until they expire."""
        if packed is UNSET or not self._is_active():
            return None
        rows = self._get_codec().unpack(packed)
        if isinstance(rows, Fault):
            self._log_fault(sender, rows)
            return None
        return rows if rows.nodes else None

    def _note_nodes(self, reported: int, by_sender: Mapping[VmId, int]) -> None:
        """Note how many nodes a sum holds, and log a sum that holds more nodes than are listed."""
        self.reported_nodes = reported
        listed, now = len(self._parts.view.nodes), read_clock()
        if not listed or reported <= listed or now - self._excess_logged_at < EXCESS_LOG_GAP_S:
            return
        self._excess_logged_at = now
        extra = {"reported": reported, "listed": listed, "senders": by_sender}
        logger.warning("sum of demand holds too many nodes", extra=extra)

    def _log_fault(self, sender: str, fault: Fault) -> None:
        now = read_clock()
        self._logged_at = {one: at for one, at in self._logged_at.items() if now - at < FAULT_LOG_GAP_S}
        if sender not in self._logged_at:
            self._logged_at[sender] = now
            logger.warning("report of demand not understood", extra={"sender": sender, "fault": str(fault)})

    def _is_active(self) -> bool:
        return bool(self._parts.demand_scope.priorities)

    def _get_codec(self) -> DemandCodec:
        """Return the codec for the configuration in force."""
        if self._scope is not self._parts.demand_scope:
            self._scope = self._parts.demand_scope
            self._codec = DemandCodec(self._scope)
        return self._codec


__all__ = ["FAULT_LOG_GAP_S", "DemandSharing", "Packed"]
