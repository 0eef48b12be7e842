"""Admission of requests: by customer, by pipeline, in fair order, and never longer than is of use."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

from vaneturn_core.configuration.schema import Customer, Pipeline, WorkClass
from vaneturn_core.identifiers import CustomerName, PipelineName
from vaneturn_core.limits.concurrency import compute_class_weight, compute_limit
from vaneturn_core.limits.fairqueue import FairQueue
from vaneturn_core.outcomes import NotRun, Reason
from vaneturn_node.metrics import Metrics

FIRST_GUESS: Final = 2.0  # seconds of an answer, until one was measured
SECONDS_WEIGHT: Final = 0.05  # of the newest answer in the average


@dataclass
class _Waiting:
    """A request in the queue of a pipeline."""

    granted: anyio.Event = field(default_factory=anyio.Event)


@dataclass
class _Gate:
    """The answers of one pipeline on this node."""

    in_progress: int = 0
    seconds: float = FIRST_GUESS  # average of an answer
    queue: FairQueue[_Waiting] = field(default_factory=FairQueue)


class Admission:
    """Counts what is in progress, and lets the next request in when one ends."""

    def __init__(
        self, metrics: Metrics, read_bound: Callable[[PipelineName], float], count_nodes: Callable[[], int]
    ) -> None:
        self._metrics = metrics
        self._read_bound = read_bound
        self._count_nodes = count_nodes
        self._by_customer: Counter[CustomerName] = Counter()
        self._gates: dict[PipelineName, _Gate] = {}
        self._idle = anyio.Event()
        self.ready = True  # false first, so that the balancer can turn away before requests are refused
        self.stopping = False

    def enter(self, customer: Customer) -> NotRun | None:
        """Admit a request to this node, or say why not; an admitted one must leave."""
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

    async def enter_pipeline(self, pipeline: Pipeline, customer: Customer, work_class: WorkClass) -> NotRun | None:
        """Wait for a place in a pipeline, or say at once why it is not worth to wait; a place must be left."""
        gate = self._gates.setdefault(pipeline.name, _Gate())
        limit = self._compute_limit(pipeline)
        if gate.in_progress < limit and not gate.queue:
            gate.in_progress += 1
            return None
        flow = f"{work_class.name} {customer.name}"
        expected = (gate.queue.count_ahead(flow) + 1) * gate.seconds / limit
        if expected > work_class.max_wait:
            return NotRun(Reason.OVERLOAD, retry_after=expected)
        waiting = _Waiting()
        place = gate.queue.push(flow, compute_class_weight(work_class.weight, work_class.priority), waiting)
        try:
            with anyio.move_on_after(work_class.max_wait):
                await waiting.granted.wait()
        except BaseException:
            if not gate.queue.remove(place):
                self._pass_on(gate, limit)
            raise
        if waiting.granted.is_set():
            return None
        gate.queue.remove(place)
        return NotRun(Reason.OVERLOAD, retry_after=expected)

    def enter_resumed(self, pipeline: Pipeline) -> None:
        """Enter a pipeline beyond its limit with an answer that another node had let in."""
        self._gates.setdefault(pipeline.name, _Gate()).in_progress += 1

    def leave_pipeline(self, pipeline: Pipeline, seconds: float) -> None:
        """Give a place back.

        :param seconds: that the answer took.
        """
        gate = self._gates[pipeline.name]
        gate.seconds += SECONDS_WEIGHT * (seconds - gate.seconds)
        self._pass_on(gate, self._compute_limit(pipeline))

    def _pass_on(self, gate: _Gate, limit: int) -> None:
        """Free a place and let in as many as now fit."""
        gate.in_progress -= 1
        if gate.in_progress < 0:
            raise AssertionError("more places left than entered")
        while gate.queue and gate.in_progress < limit:
            gate.in_progress += 1
            gate.queue.pop().granted.set()

    def _compute_limit(self, pipeline: Pipeline) -> int:
        return compute_limit(self._read_bound(pipeline.name), pipeline.token_time, self._count_nodes())


__all__ = ["Admission"]
