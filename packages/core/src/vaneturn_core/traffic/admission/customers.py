"""Equal rates for the customers of a priority (max-min fairness), from the arrivals of the largest ones."""

from __future__ import annotations

import math
from typing import Final

from vaneturn_core.identifiers import CustomerName
from vaneturn_core.traffic.admission.demand import MAX_CUSTOMERS, ServiceDemand

FLOOR: Final = 0.3  # of the share of the priority, for each customer: none is served below a quarter of the mean
SEARCH_STEPS: Final = 16  # halve the range of rates


class CustomerRates:
    """The arrivals of each customer at one priority, per second.

    The sums hold the arrivals of a customer at all priorities together, so its part of each is taken as that of all.
    Customers outside the sums count as small ones of equal rate, and requests without a customer as one of them.
    """

    def __init__(self, demand: ServiceDemand, priority: int) -> None:
        total = sum(figures.arrivals for figures in demand.by_priority.values())
        figures = demand.by_priority.get(priority)
        part = figures.arrivals / total if figures is not None and total > 0 else 0.0
        self._rates = {customer: rate * part for customer, rate in demand.customers.items()}
        rest = max(0.0, total * part - sum(self._rates.values()))
        smallest = min(self._rates.values(), default=0.0)
        is_full = len(self._rates) >= MAX_CUSTOMERS and smallest > 0
        self._others = max(1, math.ceil(rest / smallest)) if is_full else 1
        self._other_rate = rest / self._others

    def compute_limit(self, share: float) -> float:
        """Compute the equal rate at which a share of all arrivals is admitted."""
        rates = [*self._rates.values(), self._other_rate]
        counts = [1] * len(self._rates) + [self._others]
        wanted = share * sum(rate * count for rate, count in zip(rates, counts, strict=True))
        low, high = 0.0, max(rates)
        for _ in range(SEARCH_STEPS):
            limit = (low + high) / 2
            admitted = sum(
                count * min(rate, max(limit, FLOOR * share * rate)) for rate, count in zip(rates, counts, strict=True)
            )
            low, high = (limit, high) if admitted < wanted else (low, limit)
        return high

    def compute_share(self, customer: CustomerName | None, share: float, limit: float) -> float:
        """Compute the admitted share of one customer's requests.

        :param share: of the priority.
        :param limit: largest admitted requests per second of one customer.
        """
        rate = self._other_rate if customer is None else self._rates.get(customer, self._other_rate)
        return share if rate <= 0 else min(1.0, max(limit / rate, FLOOR * share))


__all__ = ["CustomerRates"]
