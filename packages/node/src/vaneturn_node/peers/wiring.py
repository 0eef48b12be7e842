"""The parts of a node that talk to other nodes, made together."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
import zmq.asyncio
from anyio.abc import TaskGroup

from vaneturn_core.membership.table import MemberTable
from vaneturn_node.peers.gossip import Gossip
from vaneturn_node.peers.meeting import join_meeting
from vaneturn_node.peers.messages import Answer, ConfigurationDocument, FetchConfiguration, Query
from vaneturn_node.peers.requests import PeerClient, PeerServer
from vaneturn_node.peers.seal import Sealer
from vaneturn_node.peers.sharing import Sharing
from vaneturn_node.runtime import Runtime


@dataclass(frozen=True)
class Peers:
    """Membership and what flows on it."""

    runtime: Runtime
    gossip: Gossip
    server: PeerServer
    client: PeerClient
    sharing: Sharing

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.gossip.run)
            tasks.start_soon(self.server.run, self._handle)
            tasks.start_soon(self.sharing.run)
            tasks.start_soon(join_meeting, self.runtime.store, self.gossip)

    async def stop(self) -> None:
        """Tell the others that this node stops."""
        await self.gossip.stop()

    async def _handle(self, query: Query) -> Answer | None:
        match query:
            case FetchConfiguration():
                return ConfigurationDocument(self.runtime.in_force.data)
        return None


def make_peers(runtime: Runtime, table: MemberTable, tasks: TaskGroup) -> Peers:
    """Make the parts over a runtime."""
    settings = runtime.settings
    sealer = Sealer(settings.cluster_key)
    context = zmq.asyncio.Context()
    gossip = Gossip(table, sealer, settings.seeds, lambda: runtime.in_force.revision, runtime.metrics)
    client = PeerClient(context, tasks, sealer, runtime.metrics)
    return Peers(
        runtime=runtime,
        gossip=gossip,
        server=PeerServer(context, settings.peer_address, sealer, runtime.metrics),
        client=client,
        sharing=Sharing(gossip, client, runtime.in_force, runtime.healths),
    )


__all__ = ["Peers", "make_peers"]
