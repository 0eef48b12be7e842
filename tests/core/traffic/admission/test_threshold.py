"""Shares keep the order of priorities, and customers get equal rates."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.identifiers import CustomerName
from vaneturn_core.traffic.admission.capacity import CapacityEstimate
from vaneturn_core.traffic.admission.demand import Demand, ServiceDemand
from vaneturn_core.traffic.admission.threshold import (
    AdmissionShares,
    Decision,
    Verdict,
    compute_shares,
    decide,
    fix_draw,
)
from vaneturn_core.traffic.blame.contents import Content


def make_capacity(limit: float = 100.0) -> CapacityEstimate:
    capacity = CapacityEstimate(duration=1.0)
    capacity.update(limit / 0.9, 0.0)
    return capacity


def make_demand(
    arrivals: dict[int, float], in_progress: int = 100, customers: dict[str, float] | None = None, age: float = 0.0
) -> ServiceDemand:
    rows = {priority: Demand(rate, 0, 0, 0.0) for priority, rate in arrivals.items()}
    rows[-1] = Demand(0.0, in_progress, 0, 0.0)  # whatever priority they have
    names = {CustomerName(name): rate for name, rate in (customers or {}).items()}
    return ServiceDemand(rows, {}, names, age)


def ask(
    demand: ServiceDemand, shares: AdmissionShares, draw: float, customer: str | None = None, since: int = 0
) -> Decision:
    name = None if customer is None else CustomerName(customer)
    return decide(demand, make_capacity(), shares, admitted_since=since, priority=0, customer=name, draw=draw)


RATES = st.dictionaries(st.integers(0, 9), st.floats(min_value=0.01, max_value=1e4), min_size=1, max_size=5)


@given(st.lists(st.tuples(RATES, st.integers(0, 400), st.floats(min_value=0.0, max_value=3.0)), max_size=6))
def test_less_urgent_priority_never_gets_a_larger_share(steps: list[tuple[dict[int, float], int, float]]) -> None:
    """Prevents priority inversion, also while shares rise and priorities come and go."""
    shares = None
    for arrivals, in_progress, elapsed in steps:
        shares = compute_shares(make_demand(arrivals, in_progress, age=elapsed), make_capacity(), shares, elapsed)
        ordered = [shares.by_priority[priority] for priority in sorted(arrivals)]
        assert ordered == sorted(ordered, reverse=True)
        assert all(0 <= share <= 1 for share in ordered)


def test_capacity_goes_to_the_urgent_and_leaves_a_floor_to_all() -> None:
    shares = compute_shares(make_demand({0: 60.0, 1: 60.0, 2: 80.0}), make_capacity(), None, 0.0)
    assert shares.by_priority == pytest.approx({0: 1.0, 1: 0.25 + 5 / 60, 2: 0.25})


def test_shares_fall_at_once_and_rise_slowly() -> None:
    """Prevents an oscillation of all nodes on figures that are 3 s old."""
    calm = compute_shares(make_demand({0: 50.0}), make_capacity(), None, 0.0)
    busy = compute_shares(make_demand({0: 200.0}), make_capacity(), calm, 1.0)
    assert busy.by_priority[0] == pytest.approx(0.5)
    after = compute_shares(make_demand({0: 50.0}), make_capacity(), busy, 1.0)
    assert after.by_priority[0] == pytest.approx(0.7)


def test_everything_is_admitted_below_the_limit() -> None:
    demand = make_demand({0: 1000.0}, in_progress=90)
    shares = AdmissionShares({0: 0.0}, {0: 0.0})
    assert ask(demand, shares, 0.99).verdict is Verdict.ADMIT
    assert ask(demand, shares, 0.99, since=10).verdict is Verdict.WAIT
    unknown = decide(demand, CapacityEstimate(), shares, admitted_since=99, priority=0, customer=None, draw=0.99)
    assert unknown.verdict is Verdict.ADMIT


def test_nodes_project_the_admissions_since_the_report() -> None:
    """Prevents that all nodes admit everything until the next report, which shows far more than the limit."""
    shares = compute_shares(make_demand({0: 200.0}, in_progress=80, age=0.5), make_capacity(), None, 0.0)
    assert ask(make_demand({0: 200.0}, in_progress=80, age=0.5), shares, 0.99).verdict is Verdict.WAIT


def test_customer_over_its_rate_is_refused_and_the_others_are_not() -> None:
    """Prevents that one customer, which sends ten times its share, takes the places of the others."""
    customers = {"big": 100.0, **{f"c{number}": 10.0 for number in range(6)}}
    demand = make_demand({0: 160.0}, customers=customers)
    shares = compute_shares(demand, make_capacity(), None, 0.0)
    assert shares.customer_rate[0] == pytest.approx(40.0, rel=0.01)
    assert ask(demand, shares, 0.35, "big").verdict is Verdict.ADMIT
    assert ask(demand, shares, 0.45, "big").verdict is Verdict.REFUSE
    assert all(ask(demand, shares, 0.99, f"c{number}").verdict is Verdict.ADMIT for number in range(6))


def test_requests_without_a_customer_share_one_limit() -> None:
    demand = make_demand({0: 200.0}, customers={"a": 50.0, "b": 50.0})
    shares = compute_shares(demand, make_capacity(), None, 0.0)
    assert shares.customer_rate[0] == pytest.approx(100 / 3, rel=0.01)
    assert ask(demand, shares, 0.5, None).verdict is Verdict.REFUSE
    assert ask(demand, shares, 0.5, "a").verdict is Verdict.ADMIT


def test_customer_beyond_the_largest_eight_is_served() -> None:
    customers = {f"c{number}": 10.0 for number in range(8)}
    demand = make_demand({0: 200.0}, customers=customers)
    shares = compute_shares(demand, make_capacity(), None, 0.0)
    assert ask(demand, shares, 0.45, "other").verdict is Verdict.ADMIT
    assert ask(demand, shares, 0.55, "other").verdict is Verdict.WAIT


def test_no_capacity_admits_nothing_and_cuts_no_customer() -> None:
    capacity = make_capacity(0.0)
    demand = make_demand({0: 10.0}, in_progress=0, customers={"a": 10.0})
    shares = compute_shares(demand, capacity, None, 0.0)
    found = decide(demand, capacity, shares, admitted_since=0, priority=0, customer=CustomerName("a"), draw=0.01)
    assert found.verdict is Verdict.WAIT


def test_draw_hardly_changes_for_a_client_that_retries_at_once() -> None:
    """Prevents that more tries get more chances."""
    draws = [fix_draw(Content(number * 2**54), 1.7e9) for number in range(1024)]
    assert sum(draws) / len(draws) == pytest.approx(0.5, abs=0.01)
    first, again, later = (fix_draw(Content(2**63), 1000.0 + wait) for wait in (0.0, 0.025, 1.0))
    assert math.isclose(first - again, 0.01, abs_tol=1e-6) or first < 0.01
    assert (first - later) % 1.0 == pytest.approx(0.4)
