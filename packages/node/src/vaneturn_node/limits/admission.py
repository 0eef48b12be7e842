"""Admission of requests: limits for each customer and pipeline, and a fair queue with a bounded wait."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

import anyio

from vaneturn_core.configuration.schema import Customer, Pipeline, WorkClass
from vaneturn_core.identifiers import CustomerName, PipelineName
from vaneturn_core.limits.concurrency import compute_class_weight, compute_limit
from vaneturn_core.limits.fairqueue import FairQueue
from vaneturn_core.outcomes import NotRun, Reason
from vaneturn_node.metrics import Metrics

INITIAL_ANSWER_TIME_S: Final = 2.0  # initial average duration of an answer, until one has been observed
ANSWER_TIME_WEIGHT: Final = 0.05  # weight of the newest answer in the moving average of durations


@dataclass
class _WaitingRequest:
    """A request in the queue for a pipeline."""

    granted: anyio.Event = field(default_factory=anyio.Event)


@dataclass
class _PipelineState:
    """The admission state of one pipeline on this node."""

    in_progress: int = 0
    answer_time: float = INITIAL_ANSWER_TIME_S  # moving average of the duration of an answer in seconds
    queue: FairQueue[_WaitingRequest] = field(default_factory=FairQueue)


class Admission:
    """Counts the requests in progress, and admits the next one when one ends."""

    def __init__(
        self, metrics: Metrics, read_bound: Callable[[PipelineName], float], count_nodes: Callable[[], int]
    ) -> None:
        self._metrics = metrics
        self._read_bound = read_bound
        self._count_nodes = count_nodes
        self._by_customer: Counter[CustomerName] = Counter()
        self._pipelines: dict[PipelineName, _PipelineState] = {}
        self._idle = anyio.Event()
        self._scopes: set[anyio.CancelScope] = set()
        self._is_aborting = False
        self.is_ready = True  # becomes false first, so that load balancers stop sending before requests are refused
        self.is_stopping = False

    def enter(self, customer: Customer) -> NotRun | None:
        """Admit a request to this node, or return why not; call leave() at the end of an admitted request."""
        if self.is_stopping:
            return NotRun(Reason.STOPPING)
        if self._by_customer[customer.name] >= customer.max_in_progress:
            return NotRun(Reason.CUSTOMER_LIMIT)
        self._by_customer[customer.name] += 1
        self._metrics.in_progress.inc()
        return None

    def leave(self, customer: Customer) -> None:
        """Record the end of an admitted request."""
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

    @contextmanager
    def open_scope(self) -> Iterator[None]:
        """Run work that abort_requests() cancels; what follows the block runs on to answer the request."""
        with anyio.CancelScope() as scope:
            if self._is_aborting:
                scope.cancel()
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def abort_requests(self) -> None:
        """Cancel the work of all requests, as the process is about to end."""
        self._is_aborting = True
        for scope in self._scopes:
            scope.cancel()

    async def enter_pipeline(self, pipeline: Pipeline, customer: Customer, work_class: WorkClass) -> NotRun | None:
        """Wait for a place in a pipeline, or refuse at once if the expected wait is too long.

        Call leave_pipeline() to free the place.
        """
        state = self._pipelines.setdefault(pipeline.name, _PipelineState())
        limit = self._compute_limit(pipeline)
        if state.in_progress < limit and not state.queue:
            state.in_progress += 1
            return None
        flow = f"{work_class.name} {customer.name}"
        expected_wait = (state.queue.count_ahead(flow) + 1) * state.answer_time / limit
        if expected_wait > work_class.max_wait:
            return NotRun(Reason.OVERLOAD, retry_after=expected_wait)
        waiting = _WaitingRequest()
        place = state.queue.push(flow, compute_class_weight(work_class.weight, work_class.priority), waiting)
        try:
            with anyio.move_on_after(work_class.max_wait):
                await waiting.granted.wait()
        except BaseException:
            if not state.queue.remove(place):
                self._free_place(state, limit)
            raise
        if waiting.granted.is_set():
            return None
        state.queue.remove(place)
        return NotRun(Reason.OVERLOAD, retry_after=expected_wait)

    def enter_resumed(self, pipeline: Pipeline) -> None:
        """Take a place regardless of the limit, for an answer that another node had admitted."""
        self._pipelines.setdefault(pipeline.name, _PipelineState()).in_progress += 1

    def leave_pipeline(self, pipeline: Pipeline, answer_time: float) -> None:
        """Free a place.

        :param answer_time: duration of the answer in seconds.
        """
        state = self._pipelines[pipeline.name]
        state.answer_time += ANSWER_TIME_WEIGHT * (answer_time - state.answer_time)
        self._free_place(state, self._compute_limit(pipeline))

    def _free_place(self, state: _PipelineState, limit: int) -> None:
        """Free a place and admit as many waiting requests as the limit allows."""
        state.in_progress -= 1
        if state.in_progress < 0:
            raise AssertionError("more places freed than taken")
        while state.queue and state.in_progress < limit:
            state.in_progress += 1
            state.queue.pop().granted.set()

    def _compute_limit(self, pipeline: Pipeline) -> int:
        return compute_limit(self._read_bound(pipeline.name), pipeline.token_time, self._count_nodes())


__all__ = ["Admission"]
