"""Nodes tell each other which servers they have found lost: at once to a relay, which tells all others."""

from __future__ import annotations

import logging
from typing import Final

import anyio
import msgspec
from msgspec import Struct

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.losses import Finding, Findings
from vaneturn_core.traffic.relays import list_relays, rank_relays
from vaneturn_core.traffic.servers import ServerId
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.sharing.changelog import ChangeLog
from vaneturn_node.traffic.sharing.peerwords import send_word
from vaneturn_node.traffic.sharing.serverrows import pack_findings, unpack_findings

LOSSES_PATH: Final = "/losses"
GATHER: Final = 0.02  # seconds from a finding to the word of it: requests over one server find its loss together
TELL_GAP: Final = 0.3  # seconds between two words of a node: a sixth of the servers lost is found in about that time
TELL_TIME: Final = 0.3  # seconds for a word; what it tells is over soon

logger = logging.getLogger(__name__)


class LossWord(Struct):
    """What a node has found, or a relay with those that ask it."""

    vm: VmId
    findings: bytes  # packed


class LossSharing:
    """One task, and what the words of others do to the beliefs of this node."""

    def __init__(self, vm: VmId, parts: TrafficParts, caller: Caller, log: ChangeLog) -> None:
        self._vm = vm
        self._parts = parts
        self._caller = caller
        self._log = log
        self._has_told = False  # findings that are to be taken back when there are none any more
        self._adopted: dict[ServerId, float] = {}  # what the newest word of others made this node leave alone

    @property
    def version(self) -> int:
        """Rises when a loss was confirmed."""
        return self._parts.losses.version

    async def run(self) -> None:
        """Tell what is found until cancelled."""
        while True:
            await self._parts.loss_found.wait()
            await anyio.sleep(GATHER)
            await self._tell()
            await anyio.sleep(TELL_GAP)

    def take(self, body: bytes) -> None:
        """Take the word of another node; a relay passes on what its followers tell."""
        try:
            word = msgspec.json.decode(body, type=LossWord)
            findings = unpack_findings(word.findings, self._parts.view.servers, read_clock())
        except (msgspec.DecodeError, ValueError) as error:
            logger.warning("word on losses not understood", extra={"fault": str(error)})
            return
        before = self.version
        if word.vm in list_relays(self._parts.view.nodes):
            self._parts.losses.record_relay(word.vm, findings, self._list_own())
        else:
            self._parts.losses.record_follower(word.vm, findings, self._list_own())
            self._parts.loss_found.give()
        if self.version != before:
            self._adopt(self._parts.losses.list_confirmed(self._list_own()), word.vm)
            self._log.wake()  # nodes that ask this one are told now

    def pack_confirmed(self, now: float) -> bytes:
        """Pack what two nodes or more have found, for the nodes that ask this one."""
        confirmed = self._parts.losses.list_confirmed(self._list_own())
        return pack_findings({server: Finding(until) for server, until in confirmed.items()}, now)

    def take_confirmed(self, data: bytes, relay: str) -> None:
        """Take what a relay says that two nodes or more have found."""
        try:
            findings = unpack_findings(data, self._parts.view.servers, read_clock())
        except ValueError as error:
            logger.warning("losses of a relay not understood", extra={"fault": str(error)})
            return
        self._adopt({server: finding.latest for server, finding in findings.items()}, relay)

    def _adopt(self, confirmed: dict[ServerId, float], teller: str) -> None:
        now = read_clock()
        beliefs = self._parts.beliefs
        for server in self._adopted.keys() - confirmed.keys():  # who found it has heard of it again
            if beliefs[server].reported_until == self._adopted[server]:
                beliefs[server].reported_until = float("-inf")
        self._adopted = dict(confirmed)
        taken = [server for server, until in confirmed.items() if beliefs[server].record_reported_loss(until, now)]
        if taken:
            rests = [round(confirmed[server] - now, 3) for server in taken]
            logger.info("losses told", extra={"servers": taken, "rests": rests, "teller": teller})

    def _list_own(self) -> Findings:
        found = self._parts.beliefs.list_failed(read_clock())
        return {server: Finding(until) for server, until in found.items()}

    async def _tell(self) -> None:
        nodes = self._parts.view.nodes
        ranked = rank_relays(self._vm, nodes)
        targets = ranked[:1] or [relay for relay in list_relays(nodes) if relay != self._vm]
        findings = self._list_own() if ranked else self._parts.losses.merge_followers(self._list_own())
        if not findings and not self._has_told:
            return
        self._has_told = bool(findings)
        word = LossWord(self._vm, pack_findings(findings, read_clock()))
        async with anyio.create_task_group() as tasks:
            for target in targets:
                address = nodes[target]
                if address is not None:
                    tasks.start_soon(send_word, self._caller, address, LOSSES_PATH, TELL_TIME, word)


__all__ = ["LOSSES_PATH", "LossSharing", "LossWord"]
