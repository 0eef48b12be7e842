"""The rig's judge of cut streams: it excuses only those that trouble of the node, the store or servers explains."""

from __future__ import annotations

from typing import Any

import pytest

from rig.trafficjudge import Cut, Span, Troubles, find_pauses, merge_spans

CUT = Cut("request", "/letter/1", 0, "", 10.0, 11.0)
SERVERS = ["first", "second"]


def make_troubles(**troubles: Any) -> Troubles:
    made = Troubles()
    for name, value in troubles.items():
        found = getattr(made, name)
        found.extend(value) if isinstance(found, list) else found.update(value)
    return made


@pytest.mark.parametrize(
    "troubles",
    [
        {},
        {"nodes": {1: [Span(10.0, 11.0)]}},
        {"nodes": {0: [Span(1.0, 6.9)]}},
        {"stores": {0: [Span(10.0, 12.9)]}},
        {"lost_at": {"third": 10.5}},
        {"lost_at": {"first": 11.5}},
        {"silences": {"first": [Span(10.0, 10.9)]}},
        {"silences": {"third": [Span(9.0, 11.0)]}},
        {"silences": {"first": [Span(9.0, 9.6)], "second": [Span(10.0, 10.6)]}},
        {"waits": {1: [Span(9.0, 11.0)]}},
        {"silences": {"first": [Span(4.0, 6.5)]}},
    ],
    ids=[
        "nothing", "another node", "node long ago", "short outage", "another server lost", "server lost later",
        "short silence", "another server", "two short silences", "another link", "long silence long ago",
    ],
)  # fmt: skip
def test_cut_of_a_sound_stream_is_not_excused(troubles: dict[str, Any]) -> None:
    assert make_troubles(**troubles).find_excuse(CUT, SERVERS) is None


@pytest.mark.parametrize(
    ("troubles", "excuse"),
    [
        ({"nodes": {0: [Span(5.0, 7.5)]}}, "node killed or frozen"),
        ({"stores": {0: [Span(6.0, 9.5)]}}, "store long out of reach"),
        ({"lost_at": {"second": 10.5}}, "server ended"),
        ({"silences": {"second": [Span(9.9, 11.0)]}}, "long silence"),
        ({"silences": {"first": [Span(9.5, 10.1)], "second": [Span(10.2, 10.6)]}}, "long silence"),
        ({"silences": {"first": [Span(9.5, 10.1)]}, "waits": {0: [Span(10.0, 10.6)]}}, "long silence"),
        ({"pauses": [Span(9.5, 10.6)]}, "long silence"),
    ],
    ids=["node", "store", "server", "silence", "silences in a row", "silence and full link", "stand-ins held up"],
)
def test_cut_that_the_promises_allow_is_excused(troubles: dict[str, Any], excuse: str) -> None:
    assert make_troubles(**troubles).find_excuse(CUT, SERVERS) == excuse


def test_spans_that_nearly_touch_are_joined() -> None:
    assert merge_spans([Span(2.0, 3.0), Span(0.0, 1.0), Span(1.1, 1.5)]) == [Span(0.0, 1.5), Span(2.0, 3.0)]


def test_pause_is_where_the_clock_stood_still() -> None:
    assert find_pauses([0.0, 0.05, 0.5, 0.55], 0.2) == [Span(0.05, 0.5)]


@pytest.mark.parametrize(
    ("store_age", "outages", "is_excused"),
    [
        pytest.param(4.4, [Span(6.7, 8.4), Span(9.2, 11.0)], True, id="two outages in a row"),
        pytest.param(4.1, [Span(6.9, 8.4), Span(9.2, 11.0)], False, id="keys still valid"),
        pytest.param(4.4, [Span(6.7, 8.0), Span(9.5, 11.0)], False, id="two short outages"),
        pytest.param(4.4, [Span(1.0, 6.5), Span(9.5, 11.0)], False, id="before the last confirmation"),
    ],
)
def test_outages_in_a_row_excuse_what_needed_a_confirmed_key(
    store_age: float, outages: list[Span], *, is_excused: bool
) -> None:
    troubles = make_troubles(stores={0: outages})
    assert bool(troubles.find_excuse(CUT._replace(store_age=store_age), SERVERS)) is is_excused


PATH_LOST = Span(9.0, 10.5)


@pytest.mark.parametrize(
    ("cut", "paths", "is_excused"),
    [
        pytest.param(CUT, {0: [PATH_LOST]}, False, id="another node could resume it"),
        pytest.param(CUT, {0: [PATH_LOST], 1: [PATH_LOST], 2: [PATH_LOST]}, True, id="no node could resume it"),
        pytest.param(CUT._replace(path="/notice/1"), {0: [PATH_LOST]}, True, id="not resumable"),
        pytest.param(CUT._replace(path="/notice/1"), {1: [PATH_LOST]}, False, id="path of another node"),
    ],
)
def test_lost_path_excuses_what_no_node_could_resume(
    cut: Cut, paths: dict[int, list[Span]], *, is_excused: bool
) -> None:
    troubles = make_troubles(paths=paths)
    troubles.node_count = 3
    assert bool(troubles.find_excuse(cut, SERVERS)) is is_excused
