"""Demand for prioritized services: the figures that nodes exchange, and the recorder of one node's own figures."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Final, NamedTuple

from vaneturn_core.identifiers import CustomerName, DataHall, ServiceName
from vaneturn_core.traffic.admission.prioritized import DemandScope
from vaneturn_core.traffic.admission.windowcounts import WindowedCounts

MAX_ROWS: Final = 64  # in one message
MAX_CUSTOMERS: Final = 8  # of each service in one message
MAX_FIGURE: Final = 1e6  # a larger one makes a report invalid
RANKING_AGE_S: Final = 0.1  # for reuse of the largest customers: ranking 1,000 of them takes about 0.1 ms


class DemandKey(NamedTuple):
    """What one row of a report is about."""

    service: ServiceName
    hall: DataHall  # of the node
    priority: int


class Demand(NamedTuple):
    """The figures of one row."""

    arrivals: float  # requests per second, mean over the last 2 s, including refused ones
    in_progress: int  # admitted and not ended
    waiting: int
    refused: float  # requests per second


class CustomerKey(NamedTuple):
    """A customer of one service."""

    service: ServiceName
    customer: CustomerName


@dataclass(frozen=True, slots=True)
class DemandRows:
    """What one report carries."""

    demand: Mapping[DemandKey, Demand]
    customers: Mapping[CustomerKey, float]  # arrivals per second; the 8 largest of each service
    nodes: int  # whose figures are included


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """The sums over all nodes, for one service."""

    by_priority: Mapping[int, Demand]
    by_hall: Mapping[DataHall, Demand]
    customers: Mapping[CustomerName, float]  # arrivals per second of the largest ones, at most 8
    age: float  # seconds since the oldest report in the sums; inf without a recent report


NO_DEMAND: Final = Demand(0.0, 0, 0, 0.0)
NO_ROWS: Final = DemandRows({}, {}, 0)  # of a node without prioritized services; it sends none


class DemandRecorder:
    """This node's own figures."""

    def __init__(self, clock: Callable[[], float], services: Collection[ServiceName] = ()) -> None:
        """Create a recorder without figures.

        :param services: the prioritized ones; `forget` and `restrict` replace them.
        """
        self._clock = clock
        self._services = frozenset(services)
        self._arrivals = WindowedCounts[DemandKey](clock)
        self._refused = WindowedCounts[DemandKey](clock)
        self._customers = WindowedCounts[CustomerKey](clock)
        self._in_progress: Counter[DemandKey] = Counter()  # of all services, see `forget`
        self._waiting: dict[DemandKey, int] = {}
        self._largest: dict[CustomerKey, float] = {}
        self._ranked_at = float("-inf")

    def record_arrival(self, key: DemandKey, customer: CustomerName | None) -> None:
        """Record a request, before it is admitted, waits or is refused."""
        if key.service not in self._services:
            return
        self._arrivals.record(key)
        if customer is not None:
            self._customers.record(CustomerKey(key.service, customer))

    def record_admitted(self, key: DemandKey) -> None:
        """Record that a request was admitted."""
        self._in_progress[key] += 1

    def record_refused(self, key: DemandKey) -> None:
        """Record that a request was refused."""
        if key.service in self._services:
            self._refused.record(key)

    def record_ended(self, key: DemandKey) -> None:
        """Record that an admitted request has ended; the key is that of its admission."""
        if self._in_progress[key] <= 1:
            del self._in_progress[key]
            return
        self._in_progress[key] -= 1

    def set_waiting(self, key: DemandKey, count: int) -> None:
        """Set the number of requests that wait."""
        if count > 0 and key.service in self._services:
            self._waiting[key] = count
            return
        self._waiting.pop(key, None)

    def forget(self, services: Collection[ServiceName]) -> None:
        """Drop the figures of all services but these, the prioritized ones.

        Requests in progress stay counted and are not listed: if the count began again at 0 when a service is
        prioritized again, the ends of older requests would be taken from it, and it would stay too low under load.
        """
        self._services = frozenset(services)
        self._drop(lambda key: key.service in services)
        self._customers.keep(lambda key: key.service in services)
        self._ranked_at = float("-inf")

    def restrict(self, scope: DemandScope) -> None:
        """Drop the services, priorities and customers that the configuration no longer has.

        Requests in progress stay listed under the priority with which they were admitted until they end.
        """
        self.forget(scope.priorities.keys())
        self._drop(lambda key: key.priority in scope.priorities[key.service])
        self._customers.keep(lambda key: key.customer in scope.customers)

    def list_rows(self) -> DemandRows:
        """List the rows of the prioritized services; no rows and no node without such services."""
        if not self._services:
            return NO_ROWS
        arrivals, refused = self._arrivals.list_rates(), self._refused.list_rates()
        running = [key for key in self._in_progress if key.service in self._services]
        keys = dict.fromkeys([*arrivals, *refused, *running, *self._waiting])
        rows = {
            key: Demand(
                arrivals.get(key, 0.0),
                self._in_progress.get(key, 0),
                self._waiting.get(key, 0),
                refused.get(key, 0.0),
            )
            for key in keys
        }
        return DemandRows(rows, self._rank_customers(), 1)

    def _rank_customers(self) -> dict[CustomerKey, float]:
        now = self._clock()
        if now - self._ranked_at >= RANKING_AGE_S:
            self._largest = select_largest(self._customers.list_rates())
            self._ranked_at = now
        return self._largest

    def _drop(self, is_kept: Callable[[DemandKey], bool]) -> None:
        self._arrivals.keep(is_kept)
        self._refused.keep(is_kept)
        self._waiting = {key: count for key, count in self._waiting.items() if is_kept(key)}


def select_largest(rates: Mapping[CustomerKey, float]) -> dict[CustomerKey, float]:
    """Select the customers with the most arrivals of each service, among equal ones by name, as on all nodes."""
    by_service: defaultdict[ServiceName, list[tuple[float, CustomerKey]]] = defaultdict(list)
    for key, rate in rates.items():
        by_service[key.service].append((-rate, key))
    return {key: -rate for ranked in by_service.values() for rate, key in heapq.nsmallest(MAX_CUSTOMERS, ranked)}


__all__ = [
    "MAX_CUSTOMERS",
    "MAX_FIGURE",
    "MAX_ROWS",
    "NO_DEMAND",
    "NO_ROWS",
    "CustomerKey",
    "Demand",
    "DemandKey",
    "DemandRecorder",
    "DemandRows",
    "ServiceDemand",
    "select_largest",
]
