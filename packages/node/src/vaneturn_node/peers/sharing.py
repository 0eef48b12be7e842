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

FETCH_TIMEOUT: Final = 2.0  # seconds
MARK_LIFE: Final = 15.0  # seconds that a peer's leaving mark holds after it was last told

logger = logging.getLogger(__name__)


class Sharing:
    """Fetches newer documents from the peers that have them, and keeps peers' leaving marks alive."""

    def __init__(
        self, gossip: Gossip, client: PeerClient, in_force: ConfigurationInForce, healths: ServerHealths
    ) -> None:
        self._gossip = gossip
        self._client = client
        self._in_force = in_force
        self._healths = healths
        self._newer: tuple[Revision, str] | None = None
        self._wake = anyio.Event()
        self._marks: dict[VmId, float] = {}  # until when
        gossip.on_newer_revision(self._note_newer)
        gossip.on_leaving(self._note_leaving)
        in_force.add_listener(self._announce)
        healths.on_leaving(self._tell_leaving)

    def _note_newer(self, revision: Revision, address: str) -> None:
        if self._newer is None or revision > self._newer[0]:
            self._newer = (revision, address)
            self._wake.set()

    def _announce(self, _configuration: Configuration) -> None:
        self._gossip.announce_soon()

    def _tell_leaving(self) -> None:
        self._gossip.tell_leaving(self._healths.list_reported_by(LeavingSource.SERVER))

    def _note_leaving(self, vm: VmId) -> None:
        self._marks[vm] = read_clock() + MARK_LIFE
        self._healths.mark_leaving(vm, LeavingSource.PEER)

    async def run(self) -> None:
        """Fetch what is newer, and let old marks lapse, until cancelled."""
        while True:
            with anyio.move_on_after(1.0):
                await self._wake.wait()
            self._wake = anyio.Event()
            newer, self._newer = self._newer, None
            if newer is not None and newer[0] > self._in_force.revision:
                await self._fetch(newer[1])
            self._lapse_marks()

    async def _fetch(self, address: str) -> None:
        answer = await self._client.ask(address, FetchConfiguration(), FETCH_TIMEOUT)
        data = zlib.decompress(answer.compressed) if isinstance(answer, ConfigurationDocument) else b""
        if data:
            self._in_force.offer(data)

    def _lapse_marks(self) -> None:
        now = read_clock()
        self._marks = {vm: until for vm, until in self._marks.items() if until > now}
        self._healths.replace_leaving(LeavingSource.PEER, self._marks)


__all__ = ["Sharing"]
