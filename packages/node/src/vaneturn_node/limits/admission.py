"""Requests in progress on a node, counted for the limits and for a planned stop."""

from __future__ import annotations

from collections import Counter

import anyio

from vaneturn_core.configuration.schema import Customer
from vaneturn_core.identifiers import CustomerName
from vaneturn_core.outcomes import NotRun, Reason
from vaneturn_node.metrics import Metrics


class Admission:
    """Admits requests while the node is not stopping and their customer is within its limit."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._by_customer: Counter[CustomerName] = Counter()
        self._idle = anyio.Event()
        self.ready = True  # false first, so that the balancer can turn away before requests are refused
        self.stopping = False

    def enter(self, customer: Customer) -> NotRun | None:
        """Admit a request, or say why not; an admitted one must leave."""
        if self.stopping:
            return NotRun(Reason.STOPPING)
        if self._by_customer[customer.name] >= customer.max_in_progress:
            return NotRun(Reason.CUSTOMER_LIMIT)
        self._by_customer[customer.name] += 1
        self._metrics.in_progress.inc()
        return None

    def leave(self, customer: Customer) -> None:
        """Count an admitted request as ended."""
        self._by_customer[customer.name] -= 1
        if not self._by_customer[customer.name]:
            del self._by_customer[customer.name]
        self._metrics.in_progress.dec()
        if not self._by_customer:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self._by_customer:
            self._idle = anyio.Event()
            await self._idle.wait()


__all__ = ["Admission"]
