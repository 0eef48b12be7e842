"""Marks the answers to requests that other nodes have forwarded to this one."""

from __future__ import annotations

from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.messages import Headers
from vaneturn_node.traffic.serving.outcomes import Answered, OwnAnswer, Reason
from vaneturn_node.traffic.serving.requests import FirstNode, RequestContext
from vaneturn_node.traffic.sharing.forwarding import AnswerKind, AnswerMarks, build_marks


def mark_answer(
    view: PlatformView, first_node: FirstNode, context: RequestContext | None, result: Answered | OwnAnswer | None
) -> Headers:
    """Build the marks of an answer.

    :param context: None for a request that was not admitted.
    :param result: None for a stream that a server has begun.
    """
    kind = AnswerKind.SERVER
    if isinstance(result, OwnAnswer):
        kind = AnswerKind.DECLINED if _is_declined(first_node, context, result) else AnswerKind.NODE
    return _build(view, kind, context.runs if context is not None else first_node.runs)


def mark_broken_off(view: PlatformView, context: RequestContext) -> Headers:
    """Build the marks at the end of a begun answer that is not whole."""
    return _build(view, AnswerKind.BROKEN_OFF, context.runs)


def _build(view: PlatformView, kind: AnswerKind, runs: int) -> Headers:
    version = view.configuration.version if view.configuration is not None else 0
    return build_marks(AnswerMarks(kind, runs, version))


def _is_declined(first_node: FirstNode, context: RequestContext | None, result: OwnAnswer) -> bool:
    """Tell whether the first node is to ask another one, as this one has not sent the request to any server.

    An answer in progress has no other use for the refusal of one node.
    """
    if result.reason in {Reason.NO_PATH, Reason.NO_CONFIGURATION}:
        return True
    is_untouched = context is None or context.is_declinable
    return is_untouched and (first_node.is_resumed or result.reason is Reason.MAY_HAVE_RUN)


__all__ = ["mark_answer", "mark_broken_off"]
