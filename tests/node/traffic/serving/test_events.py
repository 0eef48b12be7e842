"""A stream is split into complete events, whatever the sizes of the chunks it arrives in."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.traffic.completeness import BodyEnd
from vaneturn_node.traffic.serving.events import EventSplitter

STREAM = b"".join(b"versions: 3\nid: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 8))


@given(st.lists(st.integers(0, len(STREAM)), max_size=12), st.integers(0, len(STREAM)))
def test_events_are_whole_however_the_bytes_come(cuts: list[int], end: int) -> None:
    bounds = [0, *sorted(min(cut, end) for cut in cuts), end]
    splitter = EventSplitter()
    events = [event for start, stop in itertools.pairwise(bounds) for event in splitter.split(STREAM[start:stop])]
    relayed = b"".join(event.data for event in events)
    assert relayed + splitter.remainder == STREAM[:end]
    assert all(event.data.endswith(b"\n\n") for event in events)
    assert [event.id for event in events] == [str(number) for number in range(1, len(events) + 1)]


@given(st.binary(max_size=300))
def test_any_bytes_are_passed_on_or_kept(data: bytes) -> None:
    splitter = EventSplitter()
    events = splitter.split(data)
    assert b"".join(event.data for event in events) + splitter.remainder == data


@given(st.text("\r\n:a", max_size=40), st.lists(st.integers(0, 40), max_size=6))
def test_events_do_not_depend_on_the_pieces_in_which_they_arrive(text: str, cuts: list[int]) -> None:
    """Only the bytes that are new, and the two before them, are searched for the end of an event."""
    data = text.encode()
    whole, parted = EventSplitter(), EventSplitter()
    bounds = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    events = [event for start, stop in itertools.pairwise(bounds) for event in parted.split(data[start:stop])]
    assert events == whole.split(data)
    assert parted.remainder == whole.remainder


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"], ids=["lf", "crlf", "cr"])
def test_cut_at_any_byte_is_inside_an_event_or_after_one(line_end: bytes) -> None:
    event = b"".join(line + line_end for line in (b"id: 1", b"data: token 1", b""))
    stream = event * 3
    for end in range(len(stream) + 1):
        splitter = EventSplitter()
        whole = len(splitter.split(stream[:end]))
        expected = BodyEnd.INSIDE_EVENT if end % len(event) else BodyEnd.AFTER_EVENT if end else BodyEnd.EMPTY
        assert (whole, splitter.body_end) == (end // len(event), expected)


def test_blank_lines_and_comments_after_the_last_event_cut_none() -> None:
    splitter = EventSplitter()
    splitter.split(b"id: 1\ndata: x\n\n\n: end of strea")
    assert splitter.body_end is BodyEnd.AFTER_EVENT


def test_comments_are_no_events() -> None:
    splitter = EventSplitter()
    assert [event.has_fields for event in splitter.split(b": keep-alive\n\n")] == [False]
    assert splitter.body_end is BodyEnd.EMPTY


def test_line_ends_may_be_mixed() -> None:
    splitter = EventSplitter()
    assert len(splitter.split(b"data: x\n\r\ndata: y\r\n\n")) == 2
    assert splitter.body_end is BodyEnd.AFTER_EVENT


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_events_are_left_out_up_to_the_repeated_one(size: int) -> None:
    splitter = EventSplitter("3")
    events = [event for start in range(0, len(STREAM), size) for event in splitter.split(STREAM[start : start + size])]
    assert [event.id for event in events] == ["4", "5", "6", "7"]


def test_body_is_empty_until_the_repeated_event_has_arrived() -> None:
    splitter = EventSplitter("2")
    pieces = [b"id: 1\ndata: x\n\n", b"id: 2\nda", b"ta: y\n\n"]
    ends = []
    for piece in pieces:
        assert splitter.split(piece) == []
        ends.append(splitter.body_end)
    assert ends == [BodyEnd.EMPTY, BodyEnd.INSIDE_EVENT, BodyEnd.AFTER_EVENT]


@pytest.mark.parametrize(
    ("repeated", "event", "has_passed"),
    [
        ("9", "8", False),
        ("9", "10", True),
        ("10", "9", False),
        ("9", "9", False),
        ("9", "x10", False),
        ("x9", "10", False),
    ],
)
def test_run_that_is_past_the_repeated_event_cannot_send_it(repeated: str, event: str, *, has_passed: bool) -> None:
    splitter = EventSplitter(repeated)
    assert splitter.split(f"id: {event}\ndata: x\n\n".encode()) == []
    assert splitter.has_passed is has_passed


def test_events_after_the_repeated_one_are_not_past_it() -> None:
    splitter = EventSplitter("3")
    splitter.split(STREAM)
    assert not splitter.has_passed
