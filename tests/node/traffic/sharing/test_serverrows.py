"""Loads and losses in messages between nodes: compact, and never attributed to another server."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.losses import Finding, compute_finder
from vaneturn_core.traffic.servers import ServerId, ServerLoad, Slowness
from vaneturn_node.traffic.sharing.serverrows import (
    MAX_SLOW_SERVERS,
    RESERVED_UNIT,
    pack_finders,
    pack_findings,
    pack_loads,
    pack_slowness,
    unpack_findings,
    unpack_loads,
    unpack_slowness,
)

SERVERS = [ServerId(f"i-{number:x}") for number in range(190)]


@given(st.dictionaries(st.sampled_from(SERVERS), st.tuples(st.integers(0, 60000), st.floats(0, 4e6))))
def test_loads_come_back_to_within_a_unit(figures: dict[ServerId, tuple[int, float]]) -> None:
    loads = {server: ServerLoad(*figure) for server, figure in figures.items()}
    told = unpack_loads(pack_loads(loads), SERVERS)
    assert set(told) == set(loads)
    for server, load in loads.items():
        assert told[server].leading == load.leading
        assert abs(told[server].reserved - load.reserved) <= RESERVED_UNIT


def test_loads_beyond_the_range_count_as_the_largest() -> None:
    told = unpack_loads(pack_loads({SERVERS[0]: ServerLoad(70000, 1e9)}), SERVERS)
    assert told[SERVERS[0]] == ServerLoad(65535, 65535 * RESERVED_UNIT)


def test_servers_that_are_not_known_here_are_left_out() -> None:
    packed = pack_loads({SERVERS[0]: ServerLoad(1, 640.0), SERVERS[1]: ServerLoad(2, 1280.0)})
    assert unpack_loads(packed, SERVERS[1:]) == {SERVERS[1]: ServerLoad(2, 1280.0)}


def test_bytes_that_are_no_rows_are_refused() -> None:
    with pytest.raises(ValueError, match="not a multiple of the row size"):
        unpack_loads(b"1234567", SERVERS)


def test_large_fleet_takes_little() -> None:
    assert len(pack_loads({server: ServerLoad(40, 4e5) for server in SERVERS})) == 8 * len(SERVERS)


def test_rests_count_from_when_they_were_told() -> None:
    packed = pack_findings({SERVERS[0]: Finding(12.5, 11.0), SERVERS[1]: Finding(10.7)}, now=10.0)
    told = unpack_findings(packed, SERVERS, now=500.0)
    assert told == {SERVERS[0]: Finding(502.5, 501.0), SERVERS[1]: Finding(500.7)}


def test_finders_come_back_with_their_findings() -> None:
    one, other = compute_finder(VmId("entry-1")), compute_finder(VmId("entry-2"))
    found = {
        SERVERS[0]: Finding(12.5, 11.0, one, other),
        SERVERS[1]: Finding(10.7, finder=one),
        SERVERS[2]: Finding(11.0),
    }
    assert unpack_findings(pack_findings(found, now=10.0), SERVERS, 10.0, pack_finders(found)) == found


def test_slowness_keeps_its_age() -> None:
    """An old slowness that counted as new would keep a recovered server out of use for as long as nodes repeat it."""
    packed = pack_slowness({SERVERS[0]: Slowness(12.0, 8.5)}, now=10.0)
    assert unpack_slowness(packed, SERVERS, now=500.0) == {SERVERS[0]: Slowness(12.0, 498.5)}


def test_slowness_of_many_servers_is_bounded() -> None:
    """A message names the slowest servers only, and one with more rows than that is rejected."""
    slow = {server: Slowness(2.0 + number, 10.0) for number, server in enumerate(SERVERS)}
    packed = pack_slowness(slow, now=10.0)
    assert set(unpack_slowness(packed, SERVERS, now=10.0)) == set(SERVERS[-MAX_SLOW_SERVERS:])
    with pytest.raises(ValueError, match="more than"):
        unpack_slowness(packed + packed, SERVERS, now=10.0)
