"""Exchanges reports of lost servers: a node reports to its relay at once, and the relay informs all others."""

from __future__ import annotations

import logging
from typing import Final

import anyio
from msgspec import Struct

from vaneturn_core.decoding import decode_json
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.losses import Finding, Findings, compute_finder
from vaneturn_core.traffic.relays import list_relays, rank_relays
from vaneturn_core.traffic.servers import ServerId
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.sharing.changelog import ChangeLog
from vaneturn_node.traffic.sharing.peerwords import send_message
from vaneturn_node.traffic.sharing.serverrows import pack_finders, pack_findings, unpack_findings

LOSSES_PATH: Final = "/losses"
GATHER_TIME_S: Final = 0.02  # time from a finding to its report; all requests on a server notice its loss together
REPORT_GAP_S: Final = 0.3  # time between two reports of a node; finding a loss of a sixth of the servers takes as long
REPORT_TIMEOUT_S: Final = 0.3  # time until a report times out; its content is soon out of date

logger = logging.getLogger(__name__)


class LossReport(Struct):
    """Losses found by a node, or by a relay and its followers."""

    vm: VmId
    findings: bytes  # packed
    finders: bytes = b""  # packed; empty in reports of older builds


class LossSharing:
    """Sends reports of losses from one task, and applies those of other nodes to the status of servers."""

    def __init__(self, vm: VmId, parts: TrafficParts, caller: Caller, log: ChangeLog) -> None:
        self._vm = vm
        self._finder = compute_finder(vm)
        self._parts = parts
        self._caller = caller
        self._log = log
        self._has_reported = False  # findings that must be withdrawn once there are none left
        self._adopted: dict[ServerId, float] = {}  # servers avoided because of the latest report, and until when

    @property
    def version(self) -> int:
        """Counter that rises whenever a loss is confirmed."""
        return self._parts.losses.version

    async def run(self) -> None:
        """Report the losses found by this node until cancelled."""
        while True:
            await self._parts.loss_found.wait()
            await anyio.sleep(GATHER_TIME_S)
            await self._send_reports()
            await anyio.sleep(REPORT_GAP_S)

    def take(self, body: bytes) -> None:
        """Handle the report of another node; a relay forwards the reports of its followers."""
        try:
            report = decode_json(body, LossReport)
            findings = unpack_findings(report.findings, self._parts.view.servers, read_clock(), report.finders)
        except ValueError as error:
            logger.warning("report of losses not understood", extra={"fault": str(error)})
            return
        before = self.version
        if report.vm in list_relays(self._parts.view.nodes):
            self._parts.losses.record_relay(report.vm, findings, self._list_own())
        else:
            self._parts.losses.record_follower(report.vm, findings, self._list_own())
            self._parts.loss_found.notify()
        if self.version != before:
            self._adopt(self._parts.losses.list_confirmed(self._list_own()), report.vm)
            self._log.wake()  # answers the followers that are waiting for changes

    def pack_confirmed(self, now: float) -> bytes:
        """Pack the losses found by two or more nodes, for the followers of this node."""
        confirmed = self._parts.losses.list_confirmed(self._list_own())
        return pack_findings({server: Finding(until) for server, until in confirmed.items()}, now)

    def take_confirmed(self, data: bytes, relay: str) -> None:
        """Apply the losses that two or more nodes have found, as reported by a relay."""
        try:
            findings = unpack_findings(data, self._parts.view.servers, read_clock())
        except ValueError as error:
            logger.warning("losses from a relay not understood", extra={"fault": str(error)})
            return
        self._adopt({server: finding.latest for server, finding in findings.items()}, relay)

    def _adopt(self, confirmed: dict[ServerId, float], reporter: str) -> None:
        now = read_clock()
        beliefs = self._parts.beliefs
        for server in self._adopted.keys() - confirmed.keys():  # it has responded again to the nodes that reported it
            if beliefs[server].reported_until == self._adopted[server]:
                beliefs[server].reported_until = float("-inf")
        self._adopted = dict(confirmed)
        taken = [server for server, until in confirmed.items() if beliefs[server].record_reported_loss(until, now)]
        if taken:
            backoffs = [round(confirmed[server] - now, 3) for server in taken]
            logger.info("losses told", extra={"servers": taken, "rests": backoffs, "teller": reporter})

    def _list_own(self) -> Findings:
        """List the losses that this node has found; failures on a lost path say nothing about the servers."""
        found = self._parts.beliefs.list_failed(read_clock())
        lost_paths = self._parts.connectivity.list_lost()
        servers = self._parts.view.servers
        return {
            server: Finding(until, finder=self._finder)
            for server, until in found.items()
            if server not in servers or servers[server].service not in lost_paths
        }

    async def _send_reports(self) -> None:
        nodes = self._parts.view.nodes
        ranked = rank_relays(self._vm, nodes)
        targets = ranked[:1] or [relay for relay in list_relays(nodes) if relay != self._vm]
        findings = self._list_own() if ranked else self._parts.losses.merge_followers(self._list_own())
        if not findings and not self._has_reported:
            return
        self._has_reported = bool(findings)
        report = LossReport(self._vm, pack_findings(findings, read_clock()), pack_finders(findings))
        async with anyio.create_task_group() as tasks:
            for target in targets:
                address = nodes[target]
                if address is not None:
                    tasks.start_soon(send_message, self._caller, address, LOSSES_PATH, REPORT_TIMEOUT_S, report)


__all__ = ["LOSSES_PATH", "LossReport", "LossSharing"]
