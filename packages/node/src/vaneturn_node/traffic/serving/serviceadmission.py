"""The figures of one prioritized service by which a node admits requests, and the requests that wait for it."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.admission.capacity import CapacityEstimate, estimate_capacity
from vaneturn_core.traffic.admission.demand import Demand, ServiceDemand
from vaneturn_core.traffic.admission.durations import expect_duration
from vaneturn_core.traffic.admission.returns import ReturnSchedule
from vaneturn_core.traffic.admission.threshold import AdmissionShares, Decision, compute_shares, decide
from vaneturn_core.traffic.admission.waiting import WaitingQueue
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.servers import BackendServer
from vaneturn_core.traffic.state import SeenService
from vaneturn_node.clock import read_clock
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.admissionrequest import AdmissionRequest
from vaneturn_node.traffic.serving.outcomes import Reason

REFRESH_INTERVAL_S: Final = 0.1  # between two computations of the figures; reports come every 0.6 to 0.8 s
SAME_OVERLOAD_S: Final = 5.0  # a longer time without a refusal ends an overload
MAX_SHOWN: Final = 1e9  # in place of infinity, which JSON cannot express


class ServiceAdmission:
    """Decides on the requests for one service; it ends with the configuration that makes the service prioritized."""

    def __init__(self, service: ServiceName, engine: EngineProfile, parts: TrafficParts) -> None:
        self.service = service
        self.engine = engine  # of the configuration in force
        self.queue: WaitingQueue[AdmissionRequest] = WaitingQueue()
        self._parts = parts
        self._capacity = CapacityEstimate(expect_duration(engine, parts.view.list_servers(service)))
        self._serving: list[BackendServer] = []  # for which the capacity was computed
        self._computed_for = engine
        self._computed = 0.0
        self._returns = ReturnSchedule(random.Random())
        self._demand = ServiceDemand({}, {}, {}, 0.0)
        self._shares = AdmissionShares({}, {})
        self._has_shares = False
        self._has_chain = False
        self._refreshed_at = float("-inf")
        self._own_refused = 0.0  # requests per second that this node refuses
        self._admitted_since = 0  # by this node since the figures were computed
        self._refused_at = float("-inf")
        self._overloaded_since = float("-inf")

    def has_chain(self) -> bool:
        """Tell whether servers hold all layers; without them there is nothing to admit requests to."""
        self.refresh(REFRESH_INTERVAL_S)
        return self._has_chain

    def decide(self, request: AdmissionRequest) -> Decision:
        """Decide on one request."""
        self.refresh(REFRESH_INTERVAL_S)
        return decide(
            self._demand,
            self._capacity,
            self._shares,
            admitted_since=self._admitted_since,
            priority=request.key.priority,
            customer=request.customer,
            draw=request.draw,
        )

    def record_admitted(self) -> None:
        """Record that this node has admitted a request."""
        self._admitted_since += 1

    def record_ended(self, whole_after: float | None) -> None:
        """Record that an admitted request of this node has ended.

        :param whole_after: seconds to the end of the answer if it was whole.
        """
        self.queue.record_end(read_clock())
        if whole_after is not None:
            self._capacity.record_duration(whole_after)

    def record_full(self) -> None:
        """Record that a server had no memory or slot for a request that was admitted."""
        self._capacity.record_refusal(self._sum_in_progress(), read_clock())

    def assign_return(self, time_left: float) -> float:
        """Return the seconds after which a client that is refused shall return."""
        now = read_clock()
        if now - self._refused_at > SAME_OVERLOAD_S:
            self._overloaded_since = now
        self._refused_at = now
        return self._returns.assign(now, self._capacity.rate * self._compute_refused_share(), time_left)

    def explain(self, reason: Reason) -> str:
        """Explain a refusal to the client."""
        if reason is Reason.CUSTOMER_SHARE:
            return f"{self.service} is overloaded, and this customer sends more than its share"
        return f"{self.service} is overloaded"

    def describe(self) -> SeenService:
        """Describe the figures for operators."""
        self.refresh(REFRESH_INTERVAL_S)
        now = read_clock()
        is_overloaded = now - self._refused_at <= SAME_OVERLOAD_S
        return SeenService(
            name=self.service,
            limit=round_shown(self._capacity.limit),
            in_progress=round_shown(self._sum_in_progress()),
            waiting=len(self.queue),
            age=round_shown(self._demand.age),
            refusing_for=round_shown(now - self._overloaded_since) if is_overloaded else None,
            shares=self.list_shares(),
            customer_rates=self.list_customer_rates(),
            customers=self.list_customers(),
        )

    def list_shares(self) -> dict[int, float]:
        """List the admitted share of the arrivals by priority."""
        return {priority: round_shown(share) for priority, share in sorted(self._shares.by_priority.items())}

    def list_customer_rates(self) -> dict[int, float]:
        """List the largest admitted requests per second of one customer by priority."""
        return {priority: round_shown(rate) for priority, rate in sorted(self._shares.customer_rate.items())}

    def list_customers(self) -> dict[str, float]:
        """List the arrivals per second of the largest customers."""
        return {customer: round_shown(rate) for customer, rate in self._demand.customers.items()}

    def refresh(self, max_age: float) -> None:
        """Compute the figures again if they are older than that."""
        now = read_clock()
        elapsed = now - self._refreshed_at
        if elapsed < max_age:
            return
        parts = self._parts
        serving = parts.beliefs.list_unfailed(parts.view.list_servers(self.service), now)
        if serving != self._serving or self.engine is not self._computed_for:
            self._serving, self._computed_for = serving, self.engine
            self._computed = estimate_capacity(self.engine, serving)
        self._has_chain = self._computed > 0
        if self._has_chain:  # the estimate rises slowly, so it is not lowered to 0 while a layer is loaded again
            self._capacity.update(self._computed, now)
        own = parts.demand.list_rows()
        self._own_refused = _sum_refused([row for key, row in own.demand.items() if key.service == self.service])
        self._demand = parts.demand_board.read(self.service, own, parts.view.count_nodes())
        previous = self._shares if self._has_shares else None
        self._shares = compute_shares(self._demand, self._capacity, previous, elapsed)
        self._has_shares = True
        self._refreshed_at = now
        self._admitted_since = 0

    def _sum_in_progress(self) -> int:
        return sum(demand.in_progress for demand in self._demand.by_priority.values()) + self._admitted_since

    def _compute_refused_share(self) -> float:
        """Compute this node's share of the refused requests; equal shares before the figures show any."""
        total = _sum_refused(self._demand.by_priority.values())
        if not self._own_refused or not total:
            return 1 / self._parts.view.count_nodes()
        return min(1.0, self._own_refused / total)


def _sum_refused(rows: Iterable[Demand]) -> float:
    return sum(row.refused for row in rows)


def round_shown(value: float) -> float:
    """Round a figure for logs and operators; infinity, which JSON cannot express, becomes a large number."""
    return round(min(value, MAX_SHOWN), 3)


__all__ = ["ServiceAdmission", "round_shown"]
