"""Records how the answers of servers end."""

from __future__ import annotations

from vaneturn_core.traffic.completeness import AnswerEnd, BodyEnd
from vaneturn_node.http1.link import HttpLink
from vaneturn_node.traffic.serving.requests import RequestContext


def record_end(context: RequestContext, link: HttpLink, body_end: BodyEnd) -> None:
    """Record the end of an answer, for the log; an answer without a head has none."""
    if link.framing is not None and link.ending is not None:
        context.answer_end = AnswerEnd(link.framing, link.ending, body_end)


__all__ = ["record_end"]
