"""The demand that other nodes reported, summed over all nodes and scaled to the nodes in the list."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Hashable
from typing import Final, TypeVar

from vaneturn_core.identifiers import ServiceName, VmId
from vaneturn_core.traffic.admission.demand import (
    NO_ROWS,
    CustomerKey,
    Demand,
    DemandKey,
    DemandRows,
    ServiceDemand,
    select_largest,
)
from vaneturn_core.traffic.admission.demandsums import add_demand, add_rows, restrict_rows, subtract_rows
from vaneturn_core.traffic.admission.prioritized import DemandScope
from vaneturn_core.traffic.reportsums import ReportSums

# Lowest factor from the nodes that reported to the nodes in the list. A node that changes its relay is in two sums for
# up to 3 s, so sums may have to shrink to half; a list much shorter than the reports is one that was not read whole.
MIN_SCALE: Final = 0.5

_Key = TypeVar("_Key", bound=Hashable)


class DemandBoard(ReportSums[DemandRows]):
    """The demand that other nodes reported."""

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(clock, add_rows, subtract_rows)

    def restrict(self, scope: DemandScope) -> None:
        """Drop the services, priorities and customers that the configuration no longer has."""
        self.replace_figures(lambda rows: restrict_rows(rows, scope))

    def count_reported_nodes(self) -> dict[VmId, int]:
        """Count the nodes in the recent report of each sender."""
        return {vm: rows.nodes for vm, rows in self.list_recent().items()}

    def read(self, service: ServiceName, own: DemandRows, nodes: int) -> ServiceDemand:
        """Read the demand of all nodes for a service, scaled to the nodes in the list.

        Without a recent report, each of the other nodes is assumed to have the demand of this one.
        """
        others = self.sum_others()
        age = float("inf") if others is None else self._clock() - self._oldest_at
        parts = [own, others or NO_ROWS]
        reported = sum(part.nodes for part in parts)
        scale = max(MIN_SCALE, nodes / max(1, reported))
        rows = [(key, row) for part in parts for key, row in part.demand.items() if key.service == service]
        rates: defaultdict[CustomerKey, float] = defaultdict(float)
        for part in parts:
            for customer, rate in part.customers.items():
                if customer.service == service:
                    rates[customer] += rate * scale
        return ServiceDemand(
            _sum_scaled(rows, lambda key: key.priority, scale),
            _sum_scaled(rows, lambda key: key.hall, scale),
            {key.customer: rate for key, rate in select_largest(rates).items()},
            age,
        )


def _sum_scaled(
    rows: list[tuple[DemandKey, Demand]], group: Callable[[DemandKey], _Key], scale: float
) -> dict[_Key, Demand]:
    grouped: defaultdict[_Key, list[Demand]] = defaultdict(list)
    for key, figures in rows:
        grouped[group(key)].append(figures)
    return {one: _scale(add_demand(figures), scale) for one, figures in grouped.items()}


def _scale(figures: Demand, scale: float) -> Demand:
    return Demand(
        figures.arrivals * scale,
        round(figures.in_progress * scale),
        round(figures.waiting * scale),
        figures.refused * scale,
    )


__all__ = ["MIN_SCALE", "DemandBoard"]
