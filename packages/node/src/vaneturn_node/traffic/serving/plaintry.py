"""One try to get an answer of a plain service from one server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import anyio

from vaneturn_core.traffic.completeness import BodyEnd
from vaneturn_core.traffic.configuration import Repeatability
from vaneturn_core.traffic.servers import BackendServer
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import AnswerHead, HttpLink, LinkError
from vaneturn_node.http1.pool import MAX_IDLE_S
from vaneturn_node.platform.headers import AnswerFacts, build_server_headers, read_answer_facts
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.answerends import AnswerEnds
from vaneturn_node.traffic.serving.heads import may_answer
from vaneturn_node.traffic.serving.notrun import judge_lost, judge_refusal, withhold
from vaneturn_node.traffic.serving.outcomes import Answered, MayHaveRun, NotRun, TryOutcome
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.sends import Send

FIRST_TRY_OBJECTIVE_SHARE: Final = 0.6  # after this time, a safe request goes to a second server
FIRST_TRY_TIME_LEFT_SHARE: Final = 0.4  # used if it is longer
PATH_CHECK_DELAY_S: Final = 0.25  # without an answer, until the path to the servers is checked
PATH_CHECK_LATENCIES: Final = 4.0  # times the latency of the server, if that is longer
UNSAFE_IDLE_LIMIT_S: Final = 1.0  # of a pooled connection that is to carry a request that must not run twice
MIN_SERVER_ERROR_STATUS: Final = 500


@dataclass(frozen=True, slots=True)
class _ReceivedAnswer:
    """An answer whose bytes have ended."""

    head: AnswerHead
    facts: AnswerFacts
    body: bytes
    body_end: BodyEnd
    sent_at: float  # monotonic time of the request


class PlainTry:
    """Sends a request to one server."""

    def __init__(self, parts: TrafficParts) -> None:
        self._parts = parts

    async def run(self, context: RequestContext, server: BackendServer) -> TryOutcome:
        """Send a request to a server and read its answer."""
        server_status = self._parts.beliefs[server.id]
        started_at = read_clock()
        timeout_s = compute_try_timeout(context)
        context.sends += 1
        server_status.in_progress += 1
        try:
            outcome = await self._exchange(context, server, timeout_s)
        finally:
            server_status.in_progress -= 1
        context.may_have_run = context.may_have_run or isinstance(outcome, MayHaveRun)
        seconds = read_clock() - started_at
        if isinstance(outcome, Answered):
            context.add_step(f"{server.id} answered {outcome.status}")
            if outcome.status >= MIN_SERVER_ERROR_STATUS:
                server_status.record_error(read_clock())
            else:
                server_status.record_success(seconds)
        else:
            context.add_step(f"{server.id} {outcome.cause}")
            if _is_lost(outcome):
                server_status.latency = max(server_status.latency, seconds)
                has_path = await self._parts.connectivity.check(context.service, started_at)
                if has_path and await self._parts.can_reach_others({server.id}, started_at):
                    server_status.record_failure(read_clock())
        return outcome

    async def _exchange(self, context: RequestContext, server: BackendServer, timeout_s: float) -> TryOutcome:
        link: HttpLink | None = None
        send: Send | None = None
        is_whole = False
        sent_at = float("inf")
        try:
            answer: _ReceivedAnswer | None = None
            with anyio.move_on_after(timeout_s):
                max_idle = MAX_IDLE_S if context.may_repeat else UNSAFE_IDLE_LIMIT_S
                link = await self._parts.connectivity.acquire(server, max_idle, request=context.facts.id)
                obstacle = context.claim_send(self._parts.beliefs[server.id])
                if obstacle is not None:
                    return withhold(obstacle)
                send = context.record_send(server.id, link)
                sent_at = read_clock()
                answer = await self._send_and_receive(context, server, link, timeout_s)
            if link is None or send is None:
                return withhold("no connection in time", is_unreachable=True)
            if answer is None:
                context.attempts.record(server.id)
                return MayHaveRun("no answer in time")
            # the check of an answer that has arrived has a limit of its own
            outcome = await self._judge(context, server, send, answer)
        except LinkError as error:
            return await self._handle_lost(context, server, error, send, sent_at)
        except anyio.get_cancelled_exc_class():
            if sent_at < read_clock():
                context.attempts.record(server.id)
                self._parts.crash_watch.record_cancelled(server, context.describe_loss(0, sent_at))
            raise
        else:
            is_whole = isinstance(outcome, Answered | NotRun)
            return outcome
        finally:
            if link is not None:
                await self._parts.release(link, server.address, is_whole=is_whole)

    async def _handle_lost(
        self, context: RequestContext, server: BackendServer, error: LinkError, send: Send | None, sent_at: float
    ) -> TryOutcome:
        outcome = judge_lost(send, error)
        if isinstance(outcome, NotRun):
            return outcome
        context.attempts.record(server.id)
        if not error.is_unresponsive and not error.has_no_memory:
            await self._parts.crash_watch.record_cut_connection(server, context.describe_loss(0, sent_at))
        return outcome

    async def _send_and_receive(
        self,
        context: RequestContext,
        server: BackendServer,
        link: HttpLink,
        timeout_s: float,
    ) -> _ReceivedAnswer:
        request = context.request
        headers = build_server_headers(request.headers, context.make_dispatch(server.name))
        sent_at = read_clock()
        await link.send(request.method, request.target, headers, request.body, timeout_s)
        head = await self._read_head(context, server, link, timeout_s)
        facts = read_answer_facts(head.status, head.headers)
        body_end = BodyEnd.NOT_NEEDED if facts.was_refused else BodyEnd.UNKNOWN
        body = await AnswerEnds(self._parts, context).read_body(link, timeout_s, body_end, server)
        return _ReceivedAnswer(head, facts, body, body_end, sent_at)

    async def _judge(
        self, context: RequestContext, server: BackendServer, send: Send, answer: _ReceivedAnswer
    ) -> TryOutcome:
        """Decide what an answer whose bytes have ended means for the request.

        :raises LinkError: it was broken off, or does not name the request.
        """
        await AnswerEnds(self._parts, context).require_whole(send.link, answer.body_end, server)
        head, facts = answer.head, answer.facts
        server_status = self._parts.beliefs[server.id]
        if facts.load is not None:
            server_status.take_load(facts.load[0] + facts.load[1], read_clock())
        if not may_answer(facts, context.facts.id):
            raise LinkError("the answer does not name the request", was_sent=True)
        if not facts.is_wrong_server:
            self._parts.directives.apply(server, facts.directives, answer.sent_at)
        if facts.was_refused:
            refusal = judge_refusal(send, facts, context.facts.id, f"refused with {head.status}")
            if isinstance(refusal, NotRun):
                server_status.is_replaced = server_status.is_replaced or facts.is_wrong_server
            else:
                context.attempts.record(server.id)
            return refusal
        context.attempts.record(server.id)
        if facts.is_sealed:
            return Answered(head.status, head.headers, answer.body)
        return MayHaveRun(f"unsealed answer {head.status}")

    async def _read_head(
        self, context: RequestContext, server: BackendServer, link: HttpLink, timeout_s: float
    ) -> AnswerHead:
        """Wait for the head of an answer; if it is late, check whether this node still reaches any server.

        :raises LinkError: none came in time, or none can come and the request may run again over another node.
        """
        delay_s = max(PATH_CHECK_DELAY_S, PATH_CHECK_LATENCIES * self._parts.beliefs[server.id].latency)
        try:
            return await link.read_head(min(delay_s, timeout_s))
        except LinkError as error:
            if not error.is_unresponsive or delay_s >= timeout_s:
                raise
        has_path = await self._parts.connectivity.check(context.service, read_clock() - delay_s)
        if not has_path and context.may_leave_try:
            raise LinkError("no path to any server of the service", was_sent=True, is_unresponsive=True)
        return await link.read_head(timeout_s)


def _is_lost(outcome: MayHaveRun | NotRun) -> bool:
    """Tell whether a server may have failed."""
    if isinstance(outcome, MayHaveRun):
        return not outcome.has_no_memory
    return outcome.is_unreachable


def compute_try_timeout(context: RequestContext) -> float:
    """Compute the timeout of a try in seconds; that of a safe request leaves time for a second try."""
    if context.route.repeatability is Repeatability.SAFE and context.attempts.count + 1 < context.route.max_attempts:
        return min(
            context.time_left,
            max(FIRST_TRY_OBJECTIVE_SHARE * context.route.objective, FIRST_TRY_TIME_LEFT_SHARE * context.time_left),
        )
    return context.time_left


__all__ = ["MIN_SERVER_ERROR_STATUS", "PlainTry", "compute_try_timeout"]
