"""Handles the head of a server's answer to a try, and the body where it is no success."""

from __future__ import annotations

import dataclasses
from typing import Final

from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.completeness import BodyEnd
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import AnswerHead, LinkError
from vaneturn_node.platform.headers import AnswerFacts, read_answer_facts
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.answerends import AnswerEnds
from vaneturn_node.traffic.serving.chainreservation import ChainReservation
from vaneturn_node.traffic.serving.notrun import judge_refusal
from vaneturn_node.traffic.serving.outcomes import Answered, MayHaveRun, NotRun, TryOutcome
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.sends import Send

SUCCESS_STATUSES: Final = range(200, 300)
MIN_BODY_TIMEOUT_S: Final = 0.05  # for the body of an answer that is no success


async def handle_head(
    parts: TrafficParts, context: RequestContext, reservation: ChainReservation, send: Send, head: AnswerHead
) -> TryOutcome | None:
    """Handle the head of an answer; return the outcome of the try if it is no success.

    :raises LinkError: the answer does not name the request, or is not from the server.
    """
    facts = read_answer_facts(head.status, head.headers)
    server_status = parts.beliefs[reservation.first_server.id]
    now = read_clock()
    if facts.load is not None:
        server_status.take_load(facts.load[0] + facts.load[1], now)
    if not may_answer(facts, context.facts.id):
        raise LinkError("the answer does not name the request", was_sent=True)
    if not facts.is_wrong_server:
        parts.directives.apply(reservation.first_server, facts.directives, reservation.sent_at)
    if head.status not in SUCCESS_STATUSES:
        return await _read_failure(parts, context, reservation, send, head)
    if not facts.is_sealed:
        raise LinkError("unsealed answer", was_sent=True)
    reservation.count_run()
    server_status.record_success(now - reservation.reserved_at)
    return None


def may_answer(facts: AnswerFacts, request: RequestId | None) -> bool:
    """Tell whether an answer may be that to a request; only a refusal or an error may lack the id of its request."""
    return facts.id == request or (facts.id is None and not facts.is_sealed)


async def _read_failure(
    parts: TrafficParts, context: RequestContext, reservation: ChainReservation, send: Send, head: AnswerHead
) -> TryOutcome:
    """Read an answer that is no success; return the outcome of the try."""
    facts = read_answer_facts(head.status, head.headers)
    timeout_s = max(MIN_BODY_TIMEOUT_S, context.time_left)
    body_end = BodyEnd.NOT_NEEDED if facts.was_refused else BodyEnd.UNKNOWN
    body = await AnswerEnds(parts, context).read_whole(send.link, timeout_s, body_end, reservation.first_server)
    if facts.was_refused:
        return _take_refusal(context, reservation, send, facts)
    reservation.count_run()
    context.avoided.add(reservation.first_server.id)
    parts.beliefs[reservation.first_server.id].record_error(read_clock())
    if facts.is_sealed:
        return Answered(head.status, head.headers, body)
    return MayHaveRun(f"unsealed answer {head.status}")


def _take_refusal(
    context: RequestContext, reservation: ChainReservation, send: Send, facts: AnswerFacts
) -> NotRun | MayHaveRun:
    outcome = judge_refusal(send, facts, context.facts.id, f"refused with {facts.status}")
    if isinstance(outcome, NotRun):
        faulty = reservation.record_refusal(facts)
        return dataclasses.replace(outcome, cause=f"{outcome.cause} at {faulty.id}")
    reservation.count_run()
    context.avoided.add(reservation.first_server.id)
    return outcome


__all__ = ["handle_head", "may_answer"]
