"""Servers whose entries may have lapsed: used like listed ones for a time, then only where none can replace them."""

from __future__ import annotations

import pytest

from core.traffic.samples import make_server
from vaneturn_core.traffic.lapses import LAPSE_HOLD_S, LapsedEntries
from vaneturn_core.traffic.servers import BackendServer

LEAVING_TIME_S = 2.0


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def lapse(server: BackendServer, leaving_time: float = LEAVING_TIME_S) -> tuple[LapsedEntries, Clock]:
    clock = Clock()
    lapsed = LapsedEntries(leaving_time, clock)
    lapsed.note(server.id, clock.now)
    return lapsed, clock


def test_server_that_may_have_left_is_replaced_long_before_it_ends() -> None:
    """It got requests for 2.2 s, and those that it had just begun were lost with it."""
    lapsed_server, listed = make_server(1, None), make_server(2, None)
    lapsed, clock = lapse(lapsed_server)
    assert lapsed.prefer_listed([lapsed_server, listed]) == [lapsed_server, listed]
    clock.now += LEAVING_TIME_S / 2
    assert lapsed.prefer_listed([lapsed_server, listed]) == [listed]
    assert lapsed.is_held(lapsed_server.id)


@pytest.mark.parametrize("leaving_time", [0.5, 2.0, 4.0])
def test_time_of_trust_follows_the_bound(leaving_time: float) -> None:
    lapsed_server, listed = make_server(1, None), make_server(2, None)
    lapsed, clock = lapse(lapsed_server, leaving_time)
    clock.now += leaving_time / 2 - 0.01
    assert lapsed_server in lapsed.prefer_listed([lapsed_server, listed])
    clock.now += 0.02
    assert lapsed_server not in lapsed.prefer_listed([lapsed_server, listed])


def test_lapsed_server_without_a_replacement_is_used_until_its_entry_should_be_back() -> None:
    server = make_server(1, None)
    lapsed, clock = lapse(server)
    clock.now += LAPSE_HOLD_S - 0.01
    assert lapsed.prefer_listed([server]) == [server]
    assert lapsed.is_held(server.id)
    clock.now += 0.02
    assert lapsed.list_expired() == [server.id]


@pytest.mark.parametrize(("others", "is_used"), [(((0, 20),), True), (((0, 20), (20, 40)), False)])
def test_lapsed_engine_is_used_while_the_others_lack_a_layer_of_it(
    others: tuple[tuple[int, int], ...], *, is_used: bool
) -> None:
    server = make_server(1, "l4", layers=(10, 30))
    listed = [make_server(number, "l4", layers=layers) for number, layers in enumerate(others, 2)]
    lapsed, clock = lapse(server)
    clock.now += LEAVING_TIME_S
    assert (server in lapsed.prefer_listed([server, *listed])) is is_used


def test_server_that_wrote_its_entry_again_is_used_like_the_others() -> None:
    server, listed = make_server(1, None), make_server(2, None)
    lapsed, clock = lapse(server)
    lapsed.forget(server.id)
    clock.now += LEAVING_TIME_S
    assert lapsed.prefer_listed([server, listed]) == [server, listed]
    assert not lapsed.list_expired()
