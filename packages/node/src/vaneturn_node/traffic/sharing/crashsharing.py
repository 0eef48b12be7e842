"""Exchanges reports of crashed servers and the requests that had just begun on them, over the relays.

A client whose request crashed a server retries within 0.1 s, at any node. Reports are therefore pushed at once, even
while the store is unavailable. Requests to a relay carry a checksum, so that a node that was frozen, disconnected or
restarted gets the missing reports after its next request.
"""

from __future__ import annotations

import logging
from typing import Final

import anyio
from msgspec import Struct

from vaneturn_core.decoding import decode_json
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.blame.crashboard import CrashBoard
from vaneturn_core.traffic.relays import list_relays, rank_relays
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller
from vaneturn_node.traffic.servers.crashrows import Checksum, CrashRow, pack_crashes, unpack_crashes
from vaneturn_node.traffic.servers.signals import Signal
from vaneturn_node.traffic.sharing.peerwords import send_message

CRASHES_PATH: Final = "/crashes"
GATHER_TIME_S: Final = 0.01  # time from a change to its report; all requests on a server notice its crash together
REPORT_GAP_S: Final = 0.1  # time between two reports of a node
REPORT_TIMEOUT_S: Final = 0.3  # time until a report times out; checksums reveal lost reports
# Seconds until the same report is sent again to a node with a different checksum. If there are more crashes than are
# kept, the checksums of two nodes may never agree.
REPEAT_AFTER_S: Final = 2.0

logger = logging.getLogger(__name__)


class CrashReport(Struct):
    """Crashes that a node knows of: those that have changed since its last report, or all."""

    vm: VmId
    check: Checksum  # checksum of all crashes that it knows of
    ends: list[CrashRow]


class CrashSharing:
    """Sends crash reports to other nodes from one task, and handles theirs."""

    def __init__(self, vm: VmId, board: CrashBoard, view: PlatformView, caller: Caller) -> None:
        self._vm = vm
        self._board = board
        self._view = view
        self._caller = caller
        self._has_news = Signal()
        self._reported_check = board.check  # checksum of what this node has reported
        self._reported_revision = board.revision
        self._differing: set[VmId] = set()  # nodes whose checksum differs
        self._reported_to: dict[VmId, tuple[int, int, float]] = {}  # their checksum, the own one, time of the report
        board.listeners.append(self._has_news.notify)

    @property
    def check(self) -> int:
        """Checksum of the crashes that this node knows of."""
        return self._board.check

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await self._has_news.wait()
            await anyio.sleep(GATHER_TIME_S)
            await self._send_reports()
            await anyio.sleep(REPORT_GAP_S)

    def compare(self, vm: VmId, check: int) -> None:
        """Compare the checksum of another node with the own one; if they differ, send a report to that node."""
        own, now = self._board.check, read_clock()
        if check == own:
            return
        reported_check, reported_own, reported_at = self._reported_to.get(vm, (own, own, float("-inf")))
        if (reported_check, reported_own) == (check, own) and now < reported_at + REPEAT_AFTER_S:
            return
        self._reported_to = {node: reported for node, reported in self._reported_to.items() if node in self._view.nodes}
        self._reported_to[vm] = check, own, now
        self._differing.add(vm)
        self._has_news.notify()

    def take(self, body: bytes) -> None:
        """Handle the report of another node."""
        try:
            report = decode_json(body, CrashReport)
            crashes = unpack_crashes(report.ends, read_clock())
        except ValueError as error:
            logger.warning("report of crashed servers not understood", extra={"fault": str(error)})
            return
        if self._board.join(crashes):
            logger.info("ended servers told", extra={"servers": sorted(crashes), "teller": report.vm})
            if self._vm not in list_relays(self._view.nodes):
                # received from its relay, which needs no report of it
                self._reported_check, self._reported_revision = self._board.check, self._board.revision
        self.compare(report.vm, report.check)

    async def _send_reports(self) -> None:
        is_new = self._reported_check != self._board.check
        differing, informed = self._differing, self._list_targets() - self._differing if is_new else set()
        since, self._reported_revision = self._reported_revision, self._board.revision
        self._reported_check, self._differing = self._board.check, set()
        async with anyio.create_task_group() as tasks:
            for targets, crashes in (
                (informed, self._board.list_crashes(since)),
                (differing, self._board.list_crashes()),
            ):
                report = CrashReport(self._vm, self._board.check, pack_crashes(crashes, read_clock()))
                for address in [self._view.nodes.get(target) for target in targets if target != self._vm]:
                    if address is not None:
                        tasks.start_soon(send_message, self._caller, address, CRASHES_PATH, REPORT_TIMEOUT_S, report)

    def _list_targets(self) -> set[VmId]:
        """List the nodes to report to: its own relay or, on a relay, the other relays and its followers."""
        nodes = self._view.nodes
        ranked = rank_relays(self._vm, nodes)
        if ranked:
            return set(ranked[:1])
        relays = list_relays(nodes)
        return {node for node in nodes if node in relays or rank_relays(node, nodes)[0] == self._vm}


__all__ = ["CRASHES_PATH", "CrashReport", "CrashSharing"]
