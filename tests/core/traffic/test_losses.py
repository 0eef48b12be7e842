"""Losses that nodes report to each other: two nodes must have found the same loss."""

from __future__ import annotations

import pytest

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ALIVE_AGE_S, LIKELY_FULL_SHARE, ServerStatuses
from vaneturn_core.traffic.losses import MAX_REPORT_AGE_S, FinderChecksum, Finding, LossBoard, compute_finder
from vaneturn_core.traffic.servers import ServerId

LOST, OTHER = ServerId("i-1"), ServerId("i-2")


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def board() -> LossBoard:
    return LossBoard(Clock())


def test_word_of_one_node_confirms_nothing(board: LossBoard) -> None:
    board.record_follower(VmId("entry-2"), {LOST: Finding(103.0)}, {})
    board.record_follower(VmId("entry-2"), {LOST: Finding(104.0)}, {})
    assert board.list_confirmed({}) == {}
    assert board.version == 0


def test_two_nodes_confirm_a_loss_for_as_long_as_both_leave_it_alone(board: LossBoard) -> None:
    board.record_follower(VmId("entry-2"), {LOST: Finding(103.0), OTHER: Finding(103.0)}, {})
    board.record_follower(VmId("entry-3"), {LOST: Finding(101.4)}, {})
    assert board.list_confirmed({}) == {LOST: 101.4}
    assert board.version == 1


def test_own_finding_is_one_of_the_two(board: LossBoard) -> None:
    own = {LOST: Finding(100.7)}
    board.record_follower(VmId("entry-2"), {LOST: Finding(103.0)}, own)
    assert board.list_confirmed(own) == {LOST: 100.7}


def test_finding_that_arrives_over_two_relays_confirms_nothing(board: LossBoard) -> None:
    """A node that has changed its relay is in the reports of both for 2 s."""
    finding = Finding(103.0, finder=compute_finder(VmId("entry-2")))
    board.record_relay(VmId("entry-8"), {LOST: finding}, {})
    board.record_relay(VmId("entry-9"), {LOST: finding._replace(latest=102.5)}, {})
    assert board.list_confirmed({}) == {}
    board.record_relay(VmId("entry-9"), {LOST: Finding(102.5, 101.0, finding.finder, FinderChecksum(9))}, {})
    assert board.list_confirmed({}) == {LOST: 101.0}


def test_finders_of_older_builds_count_as_different_nodes(board: LossBoard) -> None:
    board.record_relay(VmId("entry-8"), {LOST: Finding(103.0)}, {})
    board.record_relay(VmId("entry-9"), {LOST: Finding(102.0, finder=compute_finder(VmId("entry-2")))}, {})
    assert board.list_confirmed({}) == {LOST: 102.0}


def test_nodes_behind_two_relays_confirm_a_loss(board: LossBoard) -> None:
    board.record_relay(VmId("entry-8"), {LOST: Finding(103.0)}, {})
    board.record_relay(VmId("entry-9"), {LOST: Finding(102.0)}, {})
    assert board.list_confirmed({}) == {LOST: 102.0}
    assert board.merge_followers({}) == {}, "a relay reports only what it and its followers have found"


def test_two_nodes_behind_one_relay_confirm_a_loss(board: LossBoard) -> None:
    board.record_relay(VmId("entry-9"), {LOST: Finding(103.0, 102.0)}, {})
    assert board.list_confirmed({}) == {LOST: 102.0}


def test_old_word_and_ended_rest_count_for_nothing() -> None:
    clock = Clock()
    board = LossBoard(clock)
    board.record_follower(VmId("entry-2"), {LOST: Finding(108.0), OTHER: Finding(100.7)}, {})
    board.record_follower(VmId("entry-3"), {LOST: Finding(108.0), OTHER: Finding(100.7)}, {})
    clock.now += 1.0
    assert board.list_confirmed({}) == {LOST: 108.0}
    clock.now += MAX_REPORT_AGE_S
    assert board.list_confirmed({}) == {}


def test_told_loss_does_not_count_against_a_server_that_works_for_this_node() -> None:
    statuses = ServerStatuses()
    statuses[LOST].record_token(99.9)
    assert not statuses[LOST].record_reported_loss(103.0, 100.0)
    assert statuses[LOST].record_reported_loss(103.0, 100.0 + ALIVE_AGE_S)
    assert statuses[LOST].backoff_until == 103.0


def test_told_loss_is_not_told_on_as_an_own_finding() -> None:
    statuses = ServerStatuses()
    statuses[LOST].record_reported_loss(103.0, 100.0)
    statuses[OTHER].record_failure(100.0)
    assert set(statuses.list_failed(100.1)) == {OTHER}
    statuses[OTHER].record_token(100.2)
    assert statuses.list_failed(100.3) == {}


def test_refusal_by_a_server_that_should_be_full_is_no_loss() -> None:
    """Of many nodes, few have a recent token from a full server; the others took it for lost, for up to 8 s."""
    statuses = ServerStatuses()
    statuses[LOST].record_refusal(100.0, LIKELY_FULL_SHARE)
    assert statuses.list_failed(100.1) == {}
    assert statuses[LOST].backoff_until < 100.5
    statuses[OTHER].record_refusal(100.0, LIKELY_FULL_SHARE - 0.1)
    assert set(statuses.list_failed(100.1)) == {OTHER}
