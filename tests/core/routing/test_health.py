"""Servers are ejected after failures, within a cap, and their concurrency limits follow the observed latency."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.identifiers import VmId
from vaneturn_core.routing.health import (
    EJECTION_S,
    FAILURES_TO_EJECT,
    MAX_EJECTED_SHARE,
    MIN_LIMIT,
    LeavingSource,
    ServerHealth,
    ServerHealths,
)

SERVERS = [VmId(f"vm-{number}") for number in range(6)]


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def make_healths(clock: Clock | None = None) -> ServerHealths:
    healths = ServerHealths(clock or Clock())
    for vm in SERVERS:
        healths.record_reply(vm, 0.01)
    return healths


@given(st.lists(st.sampled_from(SERVERS), max_size=100))
def test_ejections_never_exceed_the_cap(failing: list[VmId]) -> None:
    healths = make_healths()
    for vm in failing:
        healths.record_failure(vm)
        assert len(healths.list_ejected()) <= MAX_EJECTED_SHARE * len(SERVERS)


def test_ejection_ends_and_grows_with_repeated_failures() -> None:
    clock = Clock()
    healths = make_healths(clock)
    for _ in range(FAILURES_TO_EJECT):
        healths.record_failure(SERVERS[0])
    assert healths.list_ejected() == {SERVERS[0]}
    clock.now = EJECTION_S + 0.1
    assert not healths.list_ejected()
    healths.record_failure(SERVERS[0])
    clock.now += 1.5 * EJECTION_S
    assert healths.list_ejected() == {SERVERS[0]}


def test_limit_falls_when_replies_slow_down_but_not_below_the_minimum() -> None:
    health = ServerHealth()
    for _ in range(20):
        health.record_reply(0.01, 1, 0.0)
    before = health.limit
    for _ in range(200):
        health.record_reply(1.0, 1, 0.0)
    assert MIN_LIMIT <= health.limit < before


def test_slowness_decays_without_replies() -> None:
    clock = Clock()
    healths = make_healths(clock)
    for _ in range(50):
        healths.record_reply(SERVERS[0], 1.0)
    slow = healths.estimate_latency(SERVERS[0])
    clock.now = 60.0
    assert healths.estimate_latency(SERVERS[0]) < slow / 10


@pytest.mark.parametrize("source", LeavingSource)
def test_any_source_marks_a_server_as_leaving_until_it_withdraws(source: LeavingSource) -> None:
    healths = make_healths()
    notified: list[frozenset[VmId]] = []
    healths.on_leaving(lambda: notified.append(healths.list_leaving()))
    healths.mark_leaving(SERVERS[0], source)
    healths.mark_leaving(SERVERS[0], source)
    healths.unmark_leaving(SERVERS[0], source)
    assert notified == [frozenset({SERVERS[0]}), frozenset()]
