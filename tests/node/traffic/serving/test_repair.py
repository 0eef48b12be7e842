"""A request that its first server has lost is moved as soon as another server can take it."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from vaneturn_node.traffic.serving import repair
from vaneturn_node.traffic.serving.repair import LOST_REQUEST_AGE_S, ChainRepair

pytestmark = pytest.mark.anyio

SENT_AT = 100.0


class Reservation:
    """The chain of a request that the first server does not know."""

    sent_at = SENT_AT

    def __init__(self) -> None:
        self.questions = 0

    async def is_known_to_server(self) -> bool:
        self.questions += 1
        return False


class Clock:
    def __init__(self) -> None:
        self.now = SENT_AT

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(repair, "read_clock", clock)
    return clock


async def test_lost_request_is_moved_at_each_probe_until_a_server_takes_it(clock: Clock) -> None:
    """Asking the first server again before each attempt left a stream without a chain for up to 1 s more."""
    moves: list[float] = []

    async def move(cause: str, *, is_first_lost: bool) -> None:
        assert cause
        assert not is_first_lost
        moves.append(clock.now)

    reservation, client = Reservation(), SimpleNamespace(last_event_at=None)
    unused: Any = SimpleNamespace(facts=SimpleNamespace(id="request-1"))
    chain: Any = reservation
    answer: Any = client
    lost = ChainRepair(unused, unused, chain, answer, move)
    for _ in range(15):
        clock.now += 0.1
        await lost._find_lost_request()
    assert moves[0] == pytest.approx(SENT_AT + LOST_REQUEST_AGE_S, abs=0.11)
    assert len(moves) >= 5
    assert reservation.questions == 1
    client.last_event_at = clock.now
    moves.clear()
    await lost._find_lost_request()
    assert not moves
