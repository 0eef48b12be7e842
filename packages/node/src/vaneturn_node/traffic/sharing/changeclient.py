"""Asks relays for changes of the store; state received from them never counts as more recent than it is."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

import msgspec
from msgspec import UNSET

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.admission.demand import NO_ROWS, DemandRows
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.loads import LoadBoard, Loads
from vaneturn_core.traffic.relays import RelayTimes
from vaneturn_core.traffic.reporttarget import Counting, ReportTarget
from vaneturn_core.traffic.view import PlatformView, StoreContact
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller, Reply
from vaneturn_node.platform.epochs import StoreState, get_epoch, is_state
from vaneturn_node.traffic.servers.permits import Permits
from vaneturn_node.traffic.sharing.changelog import Change
from vaneturn_node.traffic.sharing.changeserver import CHANGES_PATH, LOADS_PATH, OUT_OF_TOUCH
from vaneturn_node.traffic.sharing.crashsharing import CrashSharing
from vaneturn_node.traffic.sharing.demandsharing import DemandSharing, Packed
from vaneturn_node.traffic.sharing.losssharing import LossSharing
from vaneturn_node.traffic.sharing.peerwords import (
    LoadReport,
    RelayAnswer,
    decode_reply,
    send_message,
    unpack_total,
)
from vaneturn_node.traffic.sharing.serverrows import pack_loads
from vaneturn_node.traffic.sharing.slownesssharing import apply_packed_slowness, pack_known_slowness

REPORT_TIMEOUT_S: Final = 0.5  # time until a report of loads times out; the next report replaces a lost one


@dataclass(frozen=True, slots=True)
class RelayedChanges:
    """The changes after a revision, as a relay knows them."""

    revision: StoreState
    changes: list[Change]
    contact: StoreContact


@dataclass(frozen=True, slots=True)
class _FollowerReport:
    """A report to a relay, and the figures that the relay adds to its sums."""

    message: LoadReport
    loads: Loads
    demand: DemandRows
    counting: Counting


class NoChanges(Enum):
    """Why a relay sent no changes."""

    OUT_OF_TOUCH = "out of touch"  # it cannot reach the store either, or has not since the store was restored
    NO_ANSWER = "no answer"  # timeout, invalid answer, or the relay no longer keeps the changes


class ChangeClient:
    """Asks relays for changes and reports loads to them."""

    def __init__(
        self,
        *,
        caller: Caller,
        times: RelayTimes,
        vm: VmId,
        view: PlatformView,
        beliefs: ServerStatuses,
        board: LoadBoard,
        losses: LossSharing,
        crashes: CrashSharing,
        permits: Permits,
        demand: DemandSharing,
    ) -> None:
        self._target = ReportTarget(read_clock)
        self._demand = demand
        self._permits = permits
        self._losses = losses
        self._crashes = crashes
        self._vm = vm
        self._view = view
        self._beliefs = beliefs
        self._board = board
        self._caller = caller
        self._times = times

    async def ask(self, address: str, since: StoreState) -> RelayedChanges | NoChanges:
        """Ask a relay for the changes after a revision, and wait until it has some."""
        started = read_clock()
        report = self._make_follower_report(address)
        body = msgspec.json.encode(report.message)
        reply = await self._caller.call(address, "POST", f"{CHANGES_PATH}?since={since}", self._times.ask, body=body)
        if isinstance(reply, Reply) and reply.status == OUT_OF_TOUCH:
            if report.counting is Counting.CONTINUES:
                self._take_figures_without_store(reply, address, report)
            return NoChanges.OUT_OF_TOUCH
        answer = decode_reply(reply, RelayAnswer)
        if answer is None or not all(map(is_state, (answer.revision, *(one.revision for one in answer.changes)))):
            return NoChanges.NO_ANSWER
        revision = StoreState(answer.revision)
        if get_epoch(revision) < get_epoch(since):
            return NoChanges.OUT_OF_TOUCH
        sent_at = started + max(0.0, answer.held)
        contact = StoreContact(
            _compute_time(sent_at, answer.confirmed_age),
            _compute_time(sent_at, answer.failed_age),
            _compute_time(sent_at, answer.returned_age),
            _compute_time(sent_at, None if answer.verified_age is UNSET else answer.verified_age),
        )
        if read_clock() - contact.confirmed_at > self._times.ask:
            return NoChanges.NO_ANSWER
        self._take_figures(answer, address, report)
        return RelayedChanges(revision, answer.changes, contact)

    def _make_follower_report(self, address: str) -> _FollowerReport:
        counting = self._target.select(address, replaces_relay=self._board.replaces_relay())
        if counting is Counting.NONE:
            return _FollowerReport(self._make_report({}, UNSET, is_counted=False), {}, NO_ROWS, counting)
        loads = self._board.sum_followers(self._beliefs.list_loads())
        demand = self._demand.sum_followers()
        return _FollowerReport(self._make_report(loads, self._demand.pack(demand)), loads, demand, counting)

    def _take_figures_without_store(self, reply: Reply, address: str, report: _FollowerReport) -> None:
        """Take the sums of a relay that cannot reach the store; older builds send none.

        They hold only few nodes where the others ask the store, so a relay that is not followed is not believed.
        """
        figures = decode_reply(reply, RelayAnswer, OUT_OF_TOUCH) if reply.body else None
        if figures is not None:
            self._take_figures(figures, address, report)

    def _take_figures(self, answer: RelayAnswer, address: str, report: _FollowerReport) -> None:
        total = unpack_total(answer.loads, self._view.servers)
        if total is not None:
            self._board.record_total(total, report.loads)
        self._demand.take_total(address, answer.demand, report.demand)
        self._losses.take_confirmed(answer.losses, address)
        self._permits.apply_limits(answer.limits)
        apply_packed_slowness(self._beliefs, answer.slow, self._view.servers)

    async def report_loads(self, address: str, loads: Loads, demand: Packed) -> None:
        """Report the load and demand of this relay and its followers to another relay.

        The next report replaces a lost one.
        """
        await send_message(self._caller, address, LOADS_PATH, REPORT_TIMEOUT_S, self._make_report(loads, demand))

    async def withdraw_report(self, address: str) -> None:
        """Tell another relay that it must no longer count this node, which now follows a relay."""
        message = self._make_report({}, UNSET, is_counted=False)
        await send_message(self._caller, address, LOADS_PATH, REPORT_TIMEOUT_S, message)

    def _make_report(self, loads: Loads, demand: Packed, *, is_counted: bool = True) -> LoadReport:
        limits = self._permits.list_changed_limits()
        slow = pack_known_slowness(self._beliefs)
        check = self._crashes.check
        return LoadReport(self._vm, pack_loads(loads), check, limits, demand, slow, UNSET if is_counted else False)


def _compute_time(now: float, age: float | None) -> float:
    return float("-inf") if age is None else now - age


__all__ = ["ChangeClient", "NoChanges", "RelayedChanges"]
