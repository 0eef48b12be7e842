"""All nodes together stay within the shared retry budget."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.nodeshare import SETTLE_TIME_S, STARTING_SHARE, NodeShare
from vaneturn_core.traffic.retries import (
    EARNED_LIFETIME_S,
    MAX_ARRIVAL_DELAY_S,
    RetryReason,
    SendClaim,
    WindowedRetryBudget,
)

VM, OTHER = VmId("entry-1"), VmId("entry-2")


def make_budget(
    ratio: float, slack: float, now: list[float], share: float = 1.0, rounding: float = 0.0
) -> WindowedRetryBudget:
    return WindowedRetryBudget(ratio, slack, 10.0, compute_share=lambda: share, clock=lambda: now[0], rounding=rounding)


@given(st.lists(st.tuples(st.floats(0, 0.5), st.integers(0, 7), st.booleans()), max_size=400))
def test_nodes_together_stay_within_the_budget(events: list[tuple[float, int, bool]]) -> None:
    now = [0.0]
    nodes = [make_budget(0.2, 20.0, now, share=1 / 8, rounding=(number + 0.5) / 8) for number in range(8)]
    firsts: list[float] = []
    seconds: list[float] = []
    for pause, node, is_first in events:
        now[0] += pause
        if is_first:
            nodes[node].record_first()
            firsts.append(now[0])
        elif nodes[node].spend(RetryReason.REFUSED):
            seconds.append(now[0])
        recent = [time for time in seconds if time > now[0] - 10.0]
        assert len(recent) <= 0.2 * len([time for time in firsts if time >= now[0] - 10.0]) + 20.0


def test_spent_budget_comes_back_after_the_window() -> None:
    now = [0.0]
    budget = make_budget(0.2, 2.0, now)
    assert budget.spend(RetryReason.REFUSED)
    assert not budget.spend(RetryReason.REFUSED)
    now[0] = 10.1 + MAX_ARRIVAL_DELAY_S
    assert budget.spend(RetryReason.REFUSED)


def test_earned_retries_expire() -> None:
    now = [0.0]
    budget = make_budget(1.0, 0.0, now)
    for _ in range(4):
        budget.record_first()
    assert budget.spend(RetryReason.REFUSED)
    now[0] = EARNED_LIFETIME_S + 0.1
    assert not budget.spend(RetryReason.REFUSED)


def test_first_send_that_was_not_made_earns_nothing() -> None:
    budget = make_budget(1.0, 0.0, [0.0])
    for _ in range(100):
        budget.take_back(budget.record_first())
    assert budget.count_earned() <= 1


def test_lent_retry_counts_at_the_node_that_has_lent_it() -> None:
    lender, borrower = make_budget(0.0, 2.0, [0.0]), make_budget(0.0, 2.0, [0.0])
    claim = lender.lend(RetryReason.MOVED)
    assert claim
    borrower.take_back(SendClaim(0.0, RetryReason.MOVED, is_lent=True))
    assert [len(budget.counts.sent) for budget in (lender, borrower)] == [1, 0]
    assert not lender.spend(RetryReason.MOVED)
    assert not lender.lend(RetryReason.MOVED)
    assert not lender.counts.declined[RetryReason.LOST]
    lender.take_back(claim)
    assert lender.spend(RetryReason.MOVED)


def test_retry_that_was_not_made_is_available_again() -> None:
    budget = make_budget(0.0, 2.0, [0.0])
    claim = budget.spend(RetryReason.REFUSED)
    assert claim
    assert not budget.spend(RetryReason.REFUSED)
    budget.take_back(claim)
    assert budget.spend(RetryReason.REFUSED)


def test_answers_in_progress_have_a_reserve() -> None:
    """Refused requests spent the whole budget, and streams whose server was lost were broken off."""
    budget = make_budget(0.0, 20.0, [0.0])
    while budget.spend(RetryReason.REFUSED):
        pass
    assert budget.spend(RetryReason.MOVED)


def test_retries_that_are_mostly_refused_leave_more_for_lost_servers() -> None:
    budget = make_budget(0.0, 40.0, [0.0])
    while (claim := budget.spend(RetryReason.REFUSED)) is not None:
        budget.record_outcome(claim, is_accepted=False)
    assert budget.spend(RetryReason.LOST)


def test_waiting_requests_come_before_refused_ones() -> None:
    """A stream whose server had lost it waited for 3 s, while refused requests took all retries."""
    budget = make_budget(0.0, 20.0, [0.0])
    budget.waiting = 1
    assert not budget.spend(RetryReason.REFUSED)
    assert budget.spend(RetryReason.LOST)
    assert budget.spend(RetryReason.MOVED)


def test_process_that_has_just_started_has_a_small_part_and_what_it_has_earned() -> None:
    """Each start had a full part again, and four kills in a row nearly doubled what the operators allow."""
    now = [0.0]
    share = NodeShare(VM, 10.0, lambda: now[0])
    budget = WindowedRetryBudget(1.0, 200.0, 10.0, compute_share=lambda: share.compute(0.0), clock=lambda: now[0])
    assert not budget.spend(RetryReason.MOVED)
    share.note({VM})
    assert sum(budget.spend(RetryReason.MOVED) is not None for _ in range(200)) <= STARTING_SHARE * 200
    budget.record_first()
    budget.record_first()
    assert budget.spend(RetryReason.LOST)
    assert budget.compute_limit() <= STARTING_SHARE * 200
    now[0] = 10.1 + SETTLE_TIME_S
    assert budget.compute_limit() > STARTING_SHARE * 200


def test_part_does_not_grow_while_nodes_that_left_may_have_spent_theirs() -> None:
    now = [0.0]
    share = NodeShare(VM, 10.0, lambda: now[0])
    share.note({VM, OTHER})
    now[0] = 20.0
    share.note({VM})
    assert share.compute(0.0) == 0.5
    now[0] = 20.1 + 10.0 + SETTLE_TIME_S
    assert share.compute(0.0) == 1.0


def test_node_without_a_recent_list_or_entry_has_no_part_and_a_small_one_when_it_is_back() -> None:
    now = [0.0]
    share = NodeShare(VM, 10.0, lambda: now[0])
    share.note({VM})
    now[0] = 20.0
    assert share.compute(SETTLE_TIME_S + 0.1) == 0.0
    share.note({OTHER})
    assert share.compute(0.0) == 0.0
    share.note({VM, OTHER})
    assert share.compute(0.0) == STARTING_SHARE / 2
