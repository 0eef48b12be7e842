"""Only a prompt answer shows that this VM can reach others, and only for probes that were not sent later."""

from __future__ import annotations

import pytest

from vaneturn_core.traffic.hearing import PROMPT_ANSWER_S, Reachability, compute_probe_timeout


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_prompt_answer_counts_for_questions_as_old_or_older() -> None:
    clock = Clock()
    hearing = Reachability(clock)
    assert not hearing.has_reached_others_since(99.0)
    clock.now += PROMPT_ANSWER_S / 2
    hearing.record_answer(100.0)
    assert hearing.has_reached_others_since(100.0)
    assert not hearing.has_reached_others_since(100.001)


def test_late_answer_counts_for_nothing() -> None:
    """On a full link, tokens and answers still arrive, but late."""
    clock = Clock()
    hearing = Reachability(clock)
    clock.now += 2 * PROMPT_ANSWER_S
    hearing.record_answer(100.0)
    assert not hearing.has_reached_others_since(100.0)


def test_older_answer_does_not_take_a_newer_one_back() -> None:
    clock = Clock()
    hearing = Reachability(clock)
    hearing.record_answer(100.0)
    hearing.record_answer(99.99)
    assert hearing.has_reached_others_since(100.0)


@pytest.mark.parametrize(
    ("asked", "answers", "limit"),
    [
        pytest.param(9, [], None, id="nobody answered"),
        pytest.param(8, [0.003] * 4, None, id="no more than half"),
        pytest.param(9, [0.003] * 5, PROMPT_ANSWER_S, id="most answer at once"),
        pytest.param(3, [0.003, 0.012], 0.048, id="slow answers are waited for"),
    ],
)
def test_silence_shows_beside_the_answers_of_the_same_look(
    asked: int, answers: list[float], limit: float | None
) -> None:
    assert compute_probe_timeout(asked, answers) == (None if limit is None else pytest.approx(limit))
