"""Delays stay finite however long a series of failures is."""

from __future__ import annotations

import pytest

from vaneturn_core.backoff import compute_backoff
from vaneturn_core.traffic.beliefs import MAX_BACKOFF_S, ServerStatus
from vaneturn_core.traffic.outage import MAX_RETRY_DELAY_S, draw_retry

MANY = 100_000


@pytest.mark.parametrize(("failures", "expected"), [(0, 0.5), (1, 1.0), (3, 4.0), (4, 5.0), (MANY, 5.0)])
def test_delay_doubles_up_to_the_longest(failures: int, expected: float) -> None:
    assert compute_backoff(0.5, 5.0, failures) == expected


def test_outage_of_the_store_with_a_thousand_failed_calls_ends_no_task() -> None:
    """After seven minutes the follower of the store failed, and learnt of the store's return seconds late."""
    assert 0 <= draw_retry(MANY) <= MAX_RETRY_DELAY_S


def test_server_may_fail_any_number_of_times_in_a_row() -> None:
    status = ServerStatus()
    assert {status.record_failure(0.001 * number) for number in range(2000)} >= {MAX_BACKOFF_S}
