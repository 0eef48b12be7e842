"""Wiring of the components of a node that communicate with other nodes."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import anyio
import zmq.asyncio

from vaneturn_core.configuration.schema import ClaimMode
from vaneturn_core.membership.table import MemberTable
from vaneturn_node.peers.gossip import Gossip
from vaneturn_node.peers.meeting import discover_peers
from vaneturn_node.peers.messages import (
    Accepted,
    Answer,
    ClaimAnswer,
    ClaimRequest,
    ConfigurationDocument,
    FetchConfiguration,
    HandOver,
    Introduce,
    Introduction,
    Query,
    ReleaseRequest,
)
from vaneturn_node.peers.requests import PeerServer
from vaneturn_node.peers.seal import Sealer
from vaneturn_node.peers.sharing import Sharing
from vaneturn_node.runtime import Runtime


@dataclass(frozen=True)
class Peers:
    """Membership, and the exchange of messages between members."""

    runtime: Runtime
    gossip: Gossip
    server: PeerServer
    sharing: Sharing

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.gossip.run)
            tasks.start_soon(self.server.run, self._handle)
            tasks.start_soon(self.sharing.run)
            tasks.start_soon(self._own_slots)
            tasks.start_soon(discover_peers, self.runtime.store, self.gossip)

    async def announce_stopping(self) -> None:
        """Announce that this node will stop, and hand over the slots that other nodes must continue to serve."""
        await self.gossip.announce_stopping()
        await self.runtime.ownership.hand_over(self.runtime.peer_client)

    async def announce_stopped(self) -> None:
        """Announce that this node stops now."""
        await self.gossip.announce_stopped()

    async def _own_slots(self) -> None:
        """Start to own slots once the configuration sets that claims are made by slot."""
        in_force = self.runtime.in_force
        while in_force.view.configuration.claims is not ClaimMode.BY_SLOT:
            await in_force.changed.wait()
        await self.runtime.ownership.run()

    async def _handle(self, query: Query) -> Answer | None:
        match query:
            case FetchConfiguration():
                return ConfigurationDocument(zlib.compress(self.runtime.in_force.data))
            case ClaimRequest(customer, repeat_key, claim):
                return ClaimAnswer(self.runtime.ownership.claim(customer, repeat_key, claim))
            case ReleaseRequest(customer, repeat_key, claim):
                self.runtime.ownership.release(customer, repeat_key, claim)
                return Accepted()
            case HandOver():
                return Accepted() if await self.runtime.ownership.take_over(query) else None
            case Introduce(member):
                self.gossip.table.merge([member])
                return Introduction(self.gossip.table.own)
        return None


def make_peers(runtime: Runtime, table: MemberTable) -> Peers:
    """Make the components for a runtime."""
    settings = runtime.settings
    sealer = Sealer(settings.cluster_key)
    gossip = Gossip(table, sealer, settings.seeds, lambda: runtime.in_force.revision, runtime.metrics)
    return Peers(
        runtime=runtime,
        gossip=gossip,
        server=PeerServer(zmq.asyncio.Context.instance(), settings.peer_address, sealer, runtime.metrics),
        sharing=Sharing(gossip, runtime.peer_client, runtime.in_force, runtime.healths),
    )


__all__ = ["Peers", "make_peers"]
