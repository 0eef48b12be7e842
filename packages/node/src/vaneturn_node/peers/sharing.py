"""Sharing of the configuration and of leaving marks between nodes."""

from __future__ import annotations

import logging
import zlib
from typing import Final

import anyio

from vaneturn_core.configuration.schema import Configuration
from vaneturn_core.identifiers import Revision, VmId
from vaneturn_core.routing.health import LeavingSource, ServerHealths
from vaneturn_node.clock import read_clock
from vaneturn_node.configuration.inforce import ConfigurationInForce
from vaneturn_node.peers.gossip import Gossip
from vaneturn_node.peers.messages import ConfigurationDocument, FetchConfiguration
from vaneturn_node.peers.requests import PeerClient

FETCH_TIMEOUT_S: Final = 2.0
MARK_LIFETIME_S: Final = 15.0  # of a leaving mark after a peer last reported it

logger = logging.getLogger(__name__)


class Sharing:
    """Fetches newer configurations from peers, and keeps the leaving marks that peers report until they expire."""

    def __init__(
        self, gossip: Gossip, client: PeerClient, in_force: ConfigurationInForce, healths: ServerHealths
    ) -> None:
        self._gossip = gossip
        self._client = client
        self._in_force = in_force
        self._healths = healths
        self._newer: tuple[Revision, str] | None = None
        self._wake = anyio.Event()
        self._mark_expiries: dict[VmId, float] = {}  # monotonic time
        gossip.on_newer_revision(self._note_newer)
        gossip.on_leaving(self._note_leaving)
        in_force.add_listener(self._announce)
        healths.on_leaving(self._report_leaving)

    def _note_newer(self, revision: Revision, address: str) -> None:
        if self._newer is None or revision > self._newer[0]:
            self._newer = (revision, address)
            self._wake.set()

    def _announce(self, _configuration: Configuration) -> None:
        self._gossip.announce_soon()

    def _report_leaving(self) -> None:
        self._gossip.report_leaving(self._healths.list_reported_by(LeavingSource.SERVER))

    def _note_leaving(self, vm: VmId) -> None:
        self._mark_expiries[vm] = read_clock() + MARK_LIFETIME_S
        self._healths.mark_leaving(vm, LeavingSource.PEER)

    async def run(self) -> None:
        """Fetch newer configurations and expire old marks until cancelled."""
        while True:
            with anyio.move_on_after(1.0):
                await self._wake.wait()
            self._wake = anyio.Event()
            newer, self._newer = self._newer, None
            if newer is not None and newer[0] > self._in_force.revision:
                await self._fetch(newer[1])
            self._expire_marks()

    async def _fetch(self, address: str) -> None:
        answer = await self._client.ask(address, FetchConfiguration(), FETCH_TIMEOUT_S)
        data = zlib.decompress(answer.compressed) if isinstance(answer, ConfigurationDocument) else b""
        if data:
            self._in_force.offer(data)

    def _expire_marks(self) -> None:
        now = read_clock()
        self._mark_expiries = {vm: expiry for vm, expiry in self._mark_expiries.items() if expiry > now}
        self._healths.replace_leaving(LeavingSource.PEER, self._mark_expiries)


__all__ = ["Sharing"]
