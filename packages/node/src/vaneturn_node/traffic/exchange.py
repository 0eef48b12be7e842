"""What every forwarder of a node shares."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import anyio

from vaneturn_core.identifiers import DataHall, ServiceName
from vaneturn_core.traffic.retries import WindowedRetryBudget
from vaneturn_core.traffic.servers import ServerBeliefs
from vaneturn_core.traffic.settings import Bounds
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.link import HttpLink
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.servers import ServerCalls


@dataclass
class TrafficParts:
    """One instance for each process."""

    hall: DataHall
    bounds: Bounds
    view: PlatformView
    beliefs: ServerBeliefs
    pool: LinkPool
    calls: ServerCalls
    budgets: dict[ServiceName, WindowedRetryBudget] = field(default_factory=dict)

    def find_budget(self, service: ServiceName) -> WindowedRetryBudget:
        """Find the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = WindowedRetryBudget(
                self.bounds.retry_ratio,
                self.bounds.retry_slack,
                self.bounds.retry_window_s,
                self.view.count_nodes,
                time.monotonic,
            )
        return budget

    async def release(self, link: HttpLink, address: str, *, is_whole: bool) -> None:
        """Keep a connection whose exchange ended as it should, and close any other at once."""
        with anyio.CancelScope(shield=True):
            if is_whole:
                await self.pool.put_back(link, address)
            else:
                await link.abort()


__all__ = ["TrafficParts"]
