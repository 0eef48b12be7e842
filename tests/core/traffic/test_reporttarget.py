"""A node reports to one relay at a time, so that no sum over all nodes counts it twice."""

from __future__ import annotations

import pytest

from core.traffic.admission.samples import Clock
from vaneturn_core.traffic.reportsums import MAX_REPORT_AGE_S
from vaneturn_core.traffic.reporttarget import Counting, ReportTarget


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def target(clock: Clock) -> ReportTarget:
    target = ReportTarget(clock)
    assert target.select("first", replaces_relay=False) is Counting.BEGINS
    return target


def test_relay_that_counts_the_node_goes_on(target: ReportTarget, clock: Clock) -> None:
    for _ in range(3):
        clock.now += MAX_REPORT_AGE_S
        assert target.select("first", replaces_relay=False) is Counting.CONTINUES


def test_other_relay_counts_the_node_once_its_last_report_has_expired(target: ReportTarget, clock: Clock) -> None:
    clock.now += MAX_REPORT_AGE_S
    assert target.select("second", replaces_relay=False) is Counting.NONE
    clock.now += 0.01
    assert target.select("second", replaces_relay=False) is Counting.BEGINS
    assert target.select("first", replaces_relay=False) is Counting.NONE


def test_relay_asked_again_after_the_report_has_expired_begins_anew(target: ReportTarget, clock: Clock) -> None:
    clock.now += MAX_REPORT_AGE_S + 0.01
    assert target.select("first", replaces_relay=False) is Counting.BEGINS


def test_replacement_of_a_relay_reports_as_a_follower_only_after_its_last_sums_have_expired(
    target: ReportTarget, clock: Clock
) -> None:
    clock.now += MAX_REPORT_AGE_S + 0.01
    assert target.select("first", replaces_relay=True) is Counting.NONE
    assert target.select("first", replaces_relay=False) is Counting.NONE
    clock.now += MAX_REPORT_AGE_S + 0.01
    assert target.select("first", replaces_relay=False) is Counting.BEGINS
