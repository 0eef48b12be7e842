"""A request that its first server has lost is moved as soon as another server can take it."""

from __future__ import annotations

from contextlib import nullcontext
from types import SimpleNamespace
from typing import Any

import pytest

from vaneturn_node.traffic.serving import repair
from vaneturn_node.traffic.serving.repair import (
    LOST_REQUEST_AGE_S,
    LOST_REQUEST_WAIT_S,
    ChainRepair,
    TryEndedError,
)
from vaneturn_node.traffic.serving.streamrelay import PROBE_INTERVAL_S

pytestmark = pytest.mark.anyio

SENT_AT = 100.0
CLIENT_SILENCE_S = 2.0  # without an event, after which clients of streams leave at the earliest
MAX_DELAY_S = 0.2  # of the request on its way to the server, and of the answer to the client


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


def make_context(*, may_run_again: bool, may_repeat: bool = True) -> Any:
    facts = SimpleNamespace(id="request-1")
    return SimpleNamespace(
        facts=facts, may_repeat=may_repeat, may_run_again=may_run_again, was_lost_by_server=False, sends=1
    )


async def test_lost_request_is_moved_at_each_probe_until_a_server_takes_it(clock: Clock) -> None:
    """Asking the first server again before each attempt left a stream without a chain for up to 1 s more."""
    moves: list[float] = []

    async def move(cause: str, *, is_first_lost: bool) -> None:
        assert cause
        assert not is_first_lost
        moves.append(clock.now)

    reservation, client = Reservation(), SimpleNamespace(last_event_at=None, is_resumed=True, is_begun=True)
    context = make_context(may_run_again=True)
    chain: Any = reservation
    answer: Any = client
    lost = ChainRepair(context, context, chain, answer, move)
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


@pytest.mark.parametrize(
    ("is_resumed", "may_repeat", "may_run_again", "is_ended"),
    [
        pytest.param(True, True, False, True, id="attempts spent"),
        pytest.param(True, True, True, False, id="attempts left"),
        pytest.param(True, False, False, False, id="must run once"),
        pytest.param(False, True, False, False, id="no event yet"),
    ],
)
async def test_lost_request_is_sent_to_its_server_again_when_no_other_may_run_it(
    clock: Clock, *, is_resumed: bool, may_repeat: bool, may_run_again: bool, is_ended: bool
) -> None:
    """A stream waited until its deadline for a server that had forgotten it."""

    async def move(cause: str, *, is_first_lost: bool) -> None:
        assert cause
        assert not is_first_lost

    context = make_context(may_run_again=may_run_again, may_repeat=may_repeat)
    chain: Any = Reservation()
    answer: Any = SimpleNamespace(last_event_at=None, is_resumed=is_resumed, is_begun=is_resumed)
    lost = ChainRepair(context, context, chain, answer, move)
    clock.now += LOST_REQUEST_AGE_S
    with pytest.raises(TryEndedError) if is_ended else nullcontext():
        await lost._find_lost_request()


@pytest.mark.parametrize("may_repeat", [True, False])
async def test_lost_request_without_another_try_is_given_up_if_it_may_be_repeated(
    clock: Clock, *, may_repeat: bool
) -> None:
    """It waited until its deadline; a request that must run once still does, as its server may yet receive it."""

    async def move(cause: str, *, is_first_lost: bool) -> None:
        assert cause
        assert not is_first_lost

    context = make_context(may_run_again=may_repeat, may_repeat=may_repeat)
    chain: Any = Reservation()
    answer: Any = SimpleNamespace(last_event_at=None, is_resumed=False, is_begun=False)
    lost = ChainRepair(context, context, chain, answer, move)
    clock.now += LOST_REQUEST_AGE_S
    await lost._find_lost_request()
    clock.now += LOST_REQUEST_WAIT_S
    with pytest.raises(TryEndedError) if may_repeat else nullcontext():
        await lost._find_lost_request()


@pytest.mark.parametrize("phase", [0.0, 0.05, 0.099])
async def test_lost_request_without_another_try_is_given_up_before_its_client_leaves(
    clock: Clock, phase: float
) -> None:
    """The try ended 2.0 to 2.2 s after the send, when its client had left."""

    async def move(cause: str, *, is_first_lost: bool) -> None:
        assert cause
        assert not is_first_lost

    context = make_context(may_run_again=True)
    chain: Any = Reservation()
    answer: Any = SimpleNamespace(last_event_at=None, is_resumed=False, is_begun=False)
    lost = ChainRepair(context, context, chain, answer, move)
    clock.now += phase

    async def probe_until_client_leaves() -> None:
        while clock.now < SENT_AT + CLIENT_SILENCE_S:
            clock.now += PROBE_INTERVAL_S
            await lost._find_lost_request()

    with pytest.raises(TryEndedError):
        await probe_until_client_leaves()
    assert clock.now - SENT_AT < CLIENT_SILENCE_S - MAX_DELAY_S
