from __future__ import annotations

import pytest

from vaneturn_core.traffic.pace import PauseStep, StreamPace


def play(pace: StreamPace, pauses: list[float], start: float = 100.0) -> float:
    now = start
    pace.record_event(now)
    for pause in pauses:
        now += pause
        pace.record_event(now)
    return now


def test_steady_answer_explains_little_more_than_its_usual_pause() -> None:
    pace = StreamPace()
    play(pace, [0.025] * 30)
    assert pace.usual == pytest.approx(0.025)
    assert pace.estimate_normal_pause() == pytest.approx(0.025, abs=0.002)


def test_uneven_answer_explains_long_silences() -> None:
    pace = StreamPace()
    play(pace, [0.02, 0.06] * 20)
    normal_pause = pace.estimate_normal_pause()
    assert normal_pause is not None
    assert normal_pause > 0.1


def test_first_pauses_explain_nothing_yet() -> None:
    pace = StreamPace()
    play(pace, [0.025] * 2)
    assert pace.estimate_normal_pause() is None


def test_pause_after_a_loss_says_nothing_of_the_pace() -> None:
    pace = StreamPace()
    now = play(pace, [0.025] * 10)
    pace.record_step(PauseStep.FOUND, now + 0.1)
    pace.record_event(now + 0.3)
    assert pace.usual == pytest.approx(0.025)
    assert pace.longest.length == pytest.approx(0.3)


def test_longest_pause_tells_what_was_done_in_it() -> None:
    pace = StreamPace()
    now = play(pace, [0.025] * 10)
    for step, at in (
        (PauseStep.PROBED, 0.07),
        (PauseStep.FOUND, 0.13),
        (PauseStep.RESUMED, 0.14),
        (PauseStep.PROBED, 0.2),
    ):
        pace.record_step(step, now + at)
    pause = pace.record_event(now + 0.24)
    assert pause is pace.longest
    assert (pause.looked, pause.found, pause.went_on) == pytest.approx((0.07, 0.13, 0.14))
    assert pace.record_event(now + 0.26) is not None
    assert pace.longest is pause
