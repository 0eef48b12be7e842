"""Gives the memory of answers that their clients do not read to others."""

from __future__ import annotations

from typing import Final

from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.traffic.serving.requests import RequestContext

ABANDONED_AFTER_S: Final = 1.0  # without a byte taken; connections of callers may be silent for about that long


def yield_unread_answers(context: RequestContext, answer: ClientAnswer) -> None:
    """Let others take the memory of an answer once its client does not read it and the time of its request is up."""

    def is_abandoned() -> bool:
        return context.time_left <= 0 and answer.stalled >= ABANDONED_AFTER_S

    for holder in context.held_answers:
        holder.yield_when(is_abandoned, answer.close)


__all__ = ["yield_unread_answers"]
