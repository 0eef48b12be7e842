"""A stream is split into complete events, whatever the sizes of the chunks it arrives in."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

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
