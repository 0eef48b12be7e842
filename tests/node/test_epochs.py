"""States of the store: an epoch that its responses state, and a revision number that is unique within its epoch."""

from __future__ import annotations

import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.faults import Fault
from vaneturn_node.platform.epochs import (
    MAX_FENCE,
    MAX_NUMBER,
    EpochTracker,
    get_epoch,
    get_number,
    make_fence,
    make_state,
    move_to_epoch,
)

NUMBERS = st.integers(0, MAX_NUMBER)
EPOCHS = st.integers(0, 10**15 - 1)


@given(EPOCHS, NUMBERS, EPOCHS, NUMBERS)
def test_states_are_ordered_by_epoch_and_then_by_number(epoch: int, number: int, other: int, other_number: int) -> None:
    state = make_state(epoch, number)
    assert (get_epoch(state), get_number(state)) == (epoch, number)
    assert (state < make_state(other, other_number)) == ((epoch, number) < (other, other_number))
    assert move_to_epoch(state, other) == make_state(other, number)


@given(EPOCHS, NUMBERS)
def test_fence_fits_in_what_servers_take(epoch: int, number: int) -> None:
    fence = make_fence(make_state(epoch, number))
    assert fence <= MAX_FENCE
    assert fence == number or fence == make_state(epoch, number)


def test_state_of_a_store_without_epochs_is_its_revision() -> None:
    """Nodes of builds without epochs send and expect the bare number."""
    assert make_state(0, 111) == 111


def check(tracker: EpochTracker, *stated: bytes) -> Fault | None:
    return tracker.check([(b"store-era", value) for value in stated])


def test_epoch_only_rises() -> None:
    tracker = EpochTracker()
    assert [check(tracker, value) for value in (b"0", b" 3 ", b"3", b"999999999999999")] == [None] * 4
    assert tracker.current == 10**15 - 1


def test_response_without_an_epoch_is_accepted() -> None:
    tracker = EpochTracker()
    assert check(tracker) is None
    assert tracker.current == 0
    assert check(tracker, b"4") is None
    assert check(tracker) is None
    assert tracker.current == 4


@pytest.mark.parametrize(
    "stated",
    [
        [b""],
        [b"-1"],
        [b"1.5"],
        [b"one"],
        [b"0x1"],
        [b"1000000000000000"],
        [b"9" * 5000],
        [b"5", b"5"],
        [b"\xb2"],
        [b"4"],
    ],
)
def test_malformed_or_falling_epoch_is_rejected_and_logged_once(
    stated: list[bytes], caplog: pytest.LogCaptureFixture
) -> None:
    tracker = EpochTracker()
    assert check(tracker, b"5") is None
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            assert isinstance(check(tracker, *stated), Fault)
    assert len(caplog.records) == 1
    assert tracker.current == 5
