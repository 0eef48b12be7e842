"""Sums and differences of demand rows, and their reduction to what one message may carry."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Final

from vaneturn_core.identifiers import DataHall
from vaneturn_core.traffic.admission.demand import (
    MAX_ROWS,
    CustomerKey,
    Demand,
    DemandKey,
    DemandRows,
    select_largest,
)
from vaneturn_core.traffic.admission.prioritized import DemandScope

ALL_HALLS: Final = DataHall("")  # of rows in which the halls were summed because there were too many rows
MIN_RATE: Final = 0.01  # requests per second; messages round rates to it, and a smaller difference is rounding


def add_demand(figures: Iterable[Demand]) -> Demand:
    """Sum the figures of several rows."""
    arrivals = refused = 0.0
    in_progress = waiting = 0
    for one in figures:
        arrivals += one.arrivals
        in_progress += one.in_progress
        waiting += one.waiting
        refused += one.refused
    return Demand(arrivals, in_progress, waiting, refused)


def add_rows(parts: Iterable[DemandRows]) -> DemandRows:
    """Sum the rows of several reports; of the customers, only the largest of each report are known."""
    demand: defaultdict[DemandKey, list[Demand]] = defaultdict(list)
    customers: defaultdict[CustomerKey, float] = defaultdict(float)
    nodes = 0
    for rows in parts:
        nodes += rows.nodes
        for key, figures in rows.demand.items():
            demand[key].append(figures)
        for customer, rate in rows.customers.items():
            customers[customer] += rate
    return DemandRows({key: add_demand(figures) for key, figures in demand.items()}, select_largest(customers), nodes)


def subtract_rows(total: DemandRows, reported: DemandRows) -> DemandRows:
    """Take the rows of one report from a sum; the report may be newer than the one in the sum."""
    demand = {key: _subtract_demand(figures, reported.demand.get(key)) for key, figures in total.demand.items()}
    rates = {key: rate - reported.customers.get(key, 0.0) for key, rate in total.customers.items()}
    return DemandRows(
        {key: figures for key, figures in demand.items() if any(figures)},
        {key: rate for key, rate in rates.items() if rate >= MIN_RATE},
        max(0, total.nodes - reported.nodes),
    )


def restrict_rows(rows: DemandRows, scope: DemandScope) -> DemandRows:
    """Drop services and customers that are gone, and all but the requests in progress of priorities that are gone."""
    demand = {
        key: figures if key.priority in scope.priorities[key.service] else Demand(0.0, figures.in_progress, 0, 0.0)
        for key, figures in rows.demand.items()
        if key.service in scope.priorities
    }
    customers = {
        key: rate
        for key, rate in rows.customers.items()
        if key.service in scope.priorities and key.customer in scope.customers
    }
    return DemandRows({key: figures for key, figures in demand.items() if any(figures)}, customers, rows.nodes)


def limit_rows(demand: Mapping[DemandKey, Demand]) -> Mapping[DemandKey, Demand]:
    """Reduce rows to what one message may carry: without halls first, since the sums by priority matter more."""
    if len(demand) <= MAX_ROWS:
        return demand
    grouped: defaultdict[DemandKey, list[Demand]] = defaultdict(list)
    for key, figures in demand.items():
        grouped[key._replace(hall=ALL_HALLS)].append(figures)
    sums = {key: add_demand(figures) for key, figures in grouped.items()}
    largest = sorted(sums, key=lambda key: (-sums[key].in_progress, -sums[key].arrivals, key))
    return {key: sums[key] for key in largest[:MAX_ROWS]}


def _subtract_demand(total: Demand, reported: Demand | None) -> Demand:
    if reported is None:
        return total
    arrivals, refused = total.arrivals - reported.arrivals, total.refused - reported.refused
    return Demand(
        arrivals if arrivals >= MIN_RATE else 0.0,
        max(0, total.in_progress - reported.in_progress),
        max(0, total.waiting - reported.waiting),
        refused if refused >= MIN_RATE else 0.0,
    )


__all__ = [
    "ALL_HALLS",
    "MIN_RATE",
    "add_demand",
    "add_rows",
    "limit_rows",
    "restrict_rows",
    "subtract_rows",
]
