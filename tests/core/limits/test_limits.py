"""Fair queueing, retry budgets and concurrency limits."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.limits.concurrency import compute_class_weight, compute_limit
from vaneturn_core.limits.fairqueue import FairQueue
from vaneturn_core.limits.retrybudget import RetryBudget


@given(st.lists(st.sampled_from("abc"), max_size=50), st.data())
def test_queue_returns_each_item_once(flows: list[str], data: st.DataObject) -> None:
    queue: FairQueue[int] = FairQueue()
    entries = {index: queue.push(flow, 1.0, index) for index, flow in enumerate(flows)}
    removed = data.draw(st.sets(st.sampled_from(sorted(entries)))) if entries else set()
    assert all(queue.remove(entries[index]) for index in removed)
    assert not any(queue.remove(entries[index]) for index in removed)
    popped = [queue.pop() for _ in range(len(queue))]
    assert sorted(popped) == sorted(set(entries) - removed)


@given(st.integers(1, 8), st.integers(1, 8))
def test_backlogged_flows_share_by_weight(first: int, second: int) -> None:
    queue: FairQueue[str] = FairQueue()
    weights = {"first": first, "second": second}
    for flow, weight in weights.items():
        for _ in range(200):
            queue.push(flow, weight, flow)
    served = Counter(queue.pop() for _ in range(100))
    for flow, weight in weights.items():
        assert abs(served[flow] - 100 * weight / (first + second)) <= 2


def test_light_flow_is_not_delayed_by_a_heavy_one() -> None:
    queue: FairQueue[str] = FairQueue()
    for number in range(1000):
        queue.push("heavy", 1.0, f"heavy {number}")
    assert queue.count_ahead("light") <= 1
    queue.push("light", 1.0, "light")
    assert "light" in [queue.pop() for _ in range(2)]


def test_retries_stay_a_tenth_of_first_tries() -> None:
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.earn()
        retries += budget.spend()
    assert 100 <= retries <= 111


@given(st.floats(1, 1e6), st.floats(0.001, 1), st.integers(1, 400))
def test_limits_of_all_nodes_carry_the_bound(bound: float, token_time: float, nodes: int) -> None:
    assert nodes * compute_limit(bound, token_time, nodes) >= bound * token_time


def test_priority_level_halves_the_share() -> None:
    assert compute_class_weight(1.0, 0) == 2 * compute_class_weight(1.0, 1)
