"""Whether an answer is whole, by its framing, the end of its bytes and the end of its body."""

from __future__ import annotations

import itertools

import pytest

from vaneturn_core.traffic.completeness import AnswerEnd, BodyEnd, Completeness, Ending, Framing, judge_end

BY_FRAMING = {
    Framing.LENGTH: Ending.FRAMED,
    Framing.CHUNKS: Ending.FRAMED,
    Framing.CLOSE: Ending.CLOSED,
}


@pytest.mark.parametrize(("framing", "ending"), BY_FRAMING.items())
@pytest.mark.parametrize(
    ("body_end", "expected"),
    [
        (BodyEnd.AFTER_EVENT, Completeness.WHOLE),
        (BodyEnd.UNKNOWN, Completeness.WHOLE),
        (BodyEnd.AFTER_DOCUMENT, Completeness.WHOLE),
        (BodyEnd.NOT_NEEDED, Completeness.WHOLE),
        (BodyEnd.INSIDE_EVENT, Completeness.BROKEN_OFF),
        (BodyEnd.INSIDE_DOCUMENT, Completeness.BROKEN_OFF),
        (BodyEnd.EMPTY, Completeness.BROKEN_OFF),
    ],
)
def test_answer_that_ends_as_framed_is_judged_by_its_body(
    framing: Framing, ending: Ending, body_end: BodyEnd, expected: Completeness
) -> None:
    needs_server = framing is Framing.CLOSE and body_end in {BodyEnd.AFTER_EVENT, BodyEnd.UNKNOWN}
    judged = judge_end(AnswerEnd(framing, ending, body_end))
    assert judged is (Completeness.UNCONFIRMED if needs_server else expected)


@pytest.mark.parametrize(
    ("framing", "expected"),
    [
        (Framing.LENGTH, Completeness.WHOLE),
        (Framing.CHUNKS, Completeness.WHOLE),
        (Framing.CLOSE, Completeness.UNCONFIRMED),
    ],
)
def test_stream_resumed_after_its_last_event_may_be_empty(framing: Framing, expected: Completeness) -> None:
    end = AnswerEnd(framing, BY_FRAMING[framing], BodyEnd.EMPTY)
    assert judge_end(end, may_be_empty=True) is expected


def test_answer_that_does_not_end_as_framed_is_broken_off_whatever_its_body() -> None:
    for framing, ending, body_end in itertools.product(Framing, Ending, BodyEnd):
        if ending is not BY_FRAMING[framing] and not (framing is Framing.CLOSE and ending is Ending.FRAMED):
            assert judge_end(AnswerEnd(framing, ending, body_end), may_be_empty=True) is Completeness.BROKEN_OFF
