"""The limits of a process, which follow from the memory and the descriptors of its machine."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, Self

from vaneturn_core.traffic.settings import TrafficSettings
from vaneturn_node.bytebudget import ByteBudget
from vaneturn_node.http1.connectiontable import ConnectionTable
from vaneturn_node.http1.resources import SharedResources

CALL_SHARE: Final = 1 / 8  # of the byte budget, for answers to calls of the node itself
LARGE_SHARE: Final = 3 / 4  # for large requests and the answers to them; what is left is for small ones
FILE_DESCRIPTORS: Final = 200  # not for connections
CLIENT_SHARE: Final = 1 / 2  # of the descriptors for connections; what is left is for connections to servers
PEER_SHARE: Final = 1 / 4
OPERATOR_SHARE: Final = 1 / 32


@dataclass(frozen=True, slots=True)
class ReachedLimit:
    """How often a limit was reached."""

    limit: str
    evicted: int
    refused: int


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """The byte budgets and the tables of the connections at each address.

    Calls have a budget of their own: requests of clients could else cut the node off from the store.
    """

    resources: SharedResources
    calls: ByteBudget
    clients: ConnectionTable
    peers: ConnectionTable
    readiness: ConnectionTable
    metrics: ConnectionTable

    @classmethod
    def derive(cls, settings: TrafficSettings) -> Self:
        """Derive the limits from the settings."""
        connections = settings.max_descriptors - FILE_DESCRIPTORS
        total = settings.compute_byte_budget()
        calls = ByteBudget(int(CALL_SHARE * total))
        return cls(
            resources=SharedResources(ByteBudget(total - calls.limit, int(LARGE_SHARE * total))),
            calls=calls,
            clients=ConnectionTable("client", int(CLIENT_SHARE * connections)),
            peers=ConnectionTable("peer", int(PEER_SHARE * connections)),
            readiness=ConnectionTable("readiness", int(OPERATOR_SHARE * connections)),
            metrics=ConnectionTable("metrics", int(OPERATOR_SHARE * connections)),
        )

    def list_reached(self) -> Iterator[ReachedLimit]:
        """List how often each limit was reached."""
        for name, budget in (("bytes", self.resources.budget), ("call_bytes", self.calls)):
            yield ReachedLimit(name, budget.evicted, budget.refused)
        for table in (self.clients, self.peers, self.readiness, self.metrics):
            yield ReachedLimit(f"{table.name}_connections", table.evicted, table.refused)


__all__ = ["ProcessLimits", "ReachedLimit"]
