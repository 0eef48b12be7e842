"""Decides that a request has not run where it was sent, from what was sent there and what came back.

No other module decides this; a request that must run once is sent again only after such a decision.
"""

from __future__ import annotations

from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.peerchoice import DeclineReason
from vaneturn_node.http1.link import LinkError
from vaneturn_node.platform.headers import AnswerFacts
from vaneturn_node.traffic.serving.outcomes import MayHaveRun, NotRun
from vaneturn_node.traffic.serving.sends import Evidence, Send
from vaneturn_node.traffic.sharing.forwarding import AnswerKind, AnswerMarks


def withhold(
    cause: str, *, is_unreachable: bool = False, has_no_path: bool = False, is_rate_limited: bool = False
) -> NotRun:
    """Make the outcome of a try that has sent nothing."""
    return NotRun(
        cause,
        Evidence.NOT_SENT,
        is_unreachable=is_unreachable,
        has_no_path=has_no_path,
        is_rate_limited=is_rate_limited,
    )


def judge_lost(send: Send | None, error: LinkError) -> NotRun | MayHaveRun:
    """Judge a try that an error of its connection has ended.

    :param send: None if no connection was opened.
    """
    if error.was_sent or (send is not None and send.was_written):
        return MayHaveRun(error.cause, has_no_memory=error.has_no_memory)
    if send is not None:
        send.evidence = Evidence.NOT_SENT
    return withhold(error.cause, is_unreachable=not error.has_no_path, has_no_path=error.has_no_path)


def judge_refusal(send: Send, facts: AnswerFacts, request: RequestId | None, cause: str) -> NotRun | MayHaveRun:
    """Judge an answer of a server that says that it has not run a request.

    A surplus answer may arrive in place of the one due, so only an answer that names the request is its refusal.
    """
    if facts.id is None or facts.id != request:
        return MayHaveRun(f"{cause}, without the id of the request")
    send.evidence = Evidence.REFUSED
    return NotRun(cause, Evidence.REFUSED)


def judge_node_answer(send: Send, marks: AnswerMarks | None) -> DeclineReason | None:
    """Judge the marks of another node's answer; return why it has declined the request, None if it has not.

    :raises LinkError: the answer has no marks, as one to a request that an error has ended, which may have run.
    """
    if marks is None:
        raise LinkError("answer without marks", was_sent=True)
    if marks.kind is not AnswerKind.DECLINED:
        return None
    send.evidence = Evidence.DECLINED
    return marks.reason


def judge_node_refusal(cause: str, *, is_refusal: bool) -> NotRun | MayHaveRun:
    """Judge the answer of another node, other than a server's, to a request whose answer is in progress."""
    return NotRun(cause, Evidence.REFUSED) if is_refusal else MayHaveRun(cause)


__all__ = ["judge_lost", "judge_node_answer", "judge_node_refusal", "judge_refusal", "withhold"]
