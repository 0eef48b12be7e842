"""Marks the answers to requests that other nodes have forwarded to this one."""

from __future__ import annotations

import contextlib
from dataclasses import replace
from typing import Final

import anyio

from vaneturn_core.traffic.peerchoice import DeclineReason
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.http1.messages import Headers
from vaneturn_node.http1.server import CLIENT_LEFT_ERRORS
from vaneturn_node.traffic.serving.firstnode import FirstNode
from vaneturn_node.traffic.serving.outcomes import Answered, OwnAnswer, Reason
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.sharing.forwarding import AnswerKind, AnswerMarks, build_marks

FINAL_COUNT_TIMEOUT_S: Final = 0.1  # for the first node to take it; a planned stop has no more time
UNFINISHED_STATUS: Final = 502  # promises nothing

_DECLINE_REASONS: Final = {
    Reason.NO_PATH: DeclineReason.NO_PATH,
    Reason.NO_CONFIGURATION: DeclineReason.OLDER_CONFIGURATION,
    Reason.STOPPING: DeclineReason.STOPPING,
}


def mark_answer(
    view: PlatformView, first_node: FirstNode, context: RequestContext | None, result: Answered | OwnAnswer | None
) -> Headers:
    """Build the marks of an answer.

    :param context: None for a request that was not admitted.
    :param result: None for a stream that a server has begun.
    """
    if not isinstance(result, OwnAnswer):
        return _build(view, AnswerKind.SERVER, context, first_node.runs)
    if not _is_declined(first_node, context, result):
        return _build(view, AnswerKind.NODE, context, first_node.runs)
    reason = _DECLINE_REASONS.get(result.reason, DeclineReason.NOT_ADMITTED)
    return _build(view, AnswerKind.DECLINED, context, first_node.runs, reason)


def mark_unread(view: PlatformView) -> Headers:
    """Build the marks of the answer to a request that was not read whole, so that no handler got it."""
    return _build(view, AnswerKind.DECLINED, None, 0, DeclineReason.NO_ANSWER)


def mark_broken_off(view: PlatformView, context: RequestContext | None, runs: int = 0) -> Headers:
    """Build the marks of an answer that is not whole.

    :param runs: that count as attempts, of a request without a context.
    """
    return _build(view, AnswerKind.BROKEN_OFF, context, runs)


async def end_unfinished(
    view: PlatformView, first_node: FirstNode, context: RequestContext | None, answer: ClientAnswer
) -> None:
    """End an answer that is not whole with the final count, which the first node may still read when it has left.

    :param context: None for a request that was not admitted.
    """
    marks = mark_broken_off(view, context, first_node.runs)
    with anyio.move_on_after(FINAL_COUNT_TIMEOUT_S, shield=True), contextlib.suppress(*CLIENT_LEFT_ERRORS):
        if answer.is_begun:
            await answer.end(marks)
            return
        answer.list_added_headers = None
        await answer.send_whole(UNFINISHED_STATUS, marks, b"")


def _build(
    view: PlatformView,
    kind: AnswerKind,
    context: RequestContext | None,
    runs: int = 0,
    reason: DeclineReason = DeclineReason.NO_PATH,
) -> Headers:
    """Build marks.

    :param runs: that count as attempts, of a request without a context.
    """
    version = view.configuration.version if view.configuration is not None else 0
    if context is None:
        return build_marks(AnswerMarks(kind, runs, version, reason))
    marks = AnswerMarks(kind, context.attempts.count, version, reason)
    if context.first_node is not None and context.first_node.reads_servers:
        marks = replace(marks, attempted=context.attempts.servers, exhausted=context.empty_ends.servers)
    return build_marks(marks)


def _is_declined(first_node: FirstNode, context: RequestContext | None, result: OwnAnswer) -> bool:
    """Tell whether the first node is to ask another one, as this one has not sent the request to any server.

    An answer in progress has no other use for the refusal of one node, and another node may have the retry that this
    one lacks.
    """
    if result.reason in _DECLINE_REASONS:
        return True
    is_untouched = context is None or context.is_declinable
    has_no_retry = context is not None and context.has_no_retry
    return is_untouched and (first_node.is_resumed or has_no_retry or result.reason is Reason.MAY_HAVE_RUN)


__all__ = ["end_unfinished", "mark_answer", "mark_broken_off", "mark_unread"]
