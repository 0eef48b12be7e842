"""An engine that has not answered an order in time counts as unresponsive until it reports its holdings."""

from __future__ import annotations

import pytest

from vaneturn_core.engine.messages import Hold, Holdings
from vaneturn_node.stages import holding as module
from vaneturn_node.stages.holding import ANSWER_TIMEOUT_S, Holding

ORDER = Hold(1, ())
REPORT = Holdings(1, (), (), ())


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    now = [100.0]
    monkeypatch.setattr(module, "read_clock", lambda: now[0])
    return now


def order(holding: Holding) -> None:
    holding.order(ORDER, lambda: True)


def test_engine_is_silent_after_the_time_for_its_answer(clock: list[float]) -> None:
    holding = Holding()
    order(holding)
    assert not holding.is_unresponsive
    clock[0] += ANSWER_TIMEOUT_S
    assert holding.is_unresponsive


def test_next_order_does_not_make_it_heard_again(clock: list[float]) -> None:
    holding = Holding()
    order(holding)
    clock[0] += ANSWER_TIMEOUT_S
    order(holding)
    assert holding.is_unresponsive


def test_next_order_before_the_time_is_over_does_not_make_it_silent(clock: list[float]) -> None:
    holding = Holding()
    order(holding)
    clock[0] += ANSWER_TIMEOUT_S / 2
    order(holding)
    assert not holding.is_unresponsive


@pytest.mark.parametrize(
    "end", [lambda holding: holding.record_report(REPORT), Holding.forget_order], ids=["report", "link"]
)
def test_word_or_a_new_link_ends_it(clock: list[float], end: object) -> None:
    holding = Holding()
    order(holding)
    clock[0] += ANSWER_TIMEOUT_S
    order(holding)
    assert callable(end)
    end(holding)
    assert not holding.is_unresponsive
