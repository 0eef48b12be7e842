"""Forwarded requests and the marks of their answers survive the way between nodes, and nothing else counts as one."""

from __future__ import annotations

import pytest

from vaneturn_core.identifiers import VmId
from vaneturn_node.traffic.sharing.forwarding import (
    AnswerKind,
    AnswerMarks,
    ForwardedRequest,
    build_marks,
    decode_forwarded,
    drop_marks,
    encode_forwarded,
    read_marks,
)


def test_forwarded_request_arrives_unchanged() -> None:
    headers = [(b"host", b"desk.example"), (b"x-request-id", b"\xff1")]
    sent = ForwardedRequest(
        VmId("entry-1"),
        "POST",
        "/letter/1?a=b",
        headers,
        b"\x00\xff",
        0.5,
        7,
        1,
        1,
        last_event_id="12",
        must_run_once=True,
    )
    assert decode_forwarded(encode_forwarded(sent)) == sent


@pytest.mark.parametrize("body", [b"", b"{}", b"\xff\xff", encode_forwarded(None)])  # type: ignore[arg-type]
def test_other_bodies_are_no_forwarded_request(body: bytes) -> None:
    assert decode_forwarded(body) is None


@pytest.mark.parametrize("kind", list(AnswerKind))
def test_marks_are_read_and_then_dropped(kind: AnswerKind) -> None:
    marks = AnswerMarks(kind, 2, 11)
    headers = [(b"content-type", b"text/plain"), *build_marks(marks)]
    assert read_marks(headers) == marks
    assert list(drop_marks(headers)) == [(b"content-type", b"text/plain")]


@pytest.mark.parametrize(
    "headers",
    [[], [(b"vaneturn-answer", b"server")], [(b"vaneturn-answer", b"x"), (b"vaneturn-runs", b"1")]],
    ids=["older build", "incomplete", "unknown kind"],
)
def test_answer_without_marks_is_none_of_a_node(headers: list[tuple[bytes, bytes]]) -> None:
    assert read_marks(headers) is None
