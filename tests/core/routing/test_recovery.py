"""The method with the shortest estimate is chosen to move a cache."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.configuration.schema import Link
from vaneturn_core.identifiers import DataHall
from vaneturn_core.routing.recovery import (
    LinkTable,
    Method,
    Move,
    choose_method,
    estimate_import,
    estimate_rebuild,
)

OLD, NEW, NODE = DataHall("ams-a"), DataHall("rtm-c"), DataHall("ams-b")


def make_move(positions: int) -> Move:
    return Move(positions=positions, layers=8, cache_bytes=4096, old_hall=OLD, new_hall=NEW, node_hall=NODE)


def choose(positions: int, bandwidth: float, position_seconds: float) -> Method:
    links = LinkTable()
    links.declare([Link(halls=(OLD, NODE), latency=0.001, bandwidth=bandwidth)])
    return choose_method(
        {
            Method.IMPORT: estimate_import(make_move(positions), links),
            Method.REBUILD: estimate_rebuild(positions, [position_seconds] * 2),
        }
    )


def test_fast_link_imports_and_slow_link_rebuilds() -> None:
    assert choose(4000, 1e9, 0.001) is Method.IMPORT
    assert choose(4000, 1e7, 0.001) is Method.REBUILD


def test_measured_bandwidth_takes_precedence_over_the_declared_one() -> None:
    links = LinkTable()
    links.declare([Link(halls=(OLD, NODE), latency=0.0, bandwidth=1e9)])
    fast = links.estimate_transfer(OLD, NODE, 1e6)
    links.record_transfer(NODE, OLD, 1000, 1.0)
    assert links.estimate_transfer(OLD, NODE, 1e6) > 100 * fast


@given(st.integers(0, 10_000), st.integers(0, 10_000))
def test_longer_sessions_take_longer(first: int, second: int) -> None:
    links = LinkTable()
    shorter, longer = sorted((first, second))
    assert estimate_import(make_move(shorter), links) <= estimate_import(make_move(longer), links)
    assert estimate_rebuild(shorter, [0.1]) <= estimate_rebuild(longer, [0.1])
