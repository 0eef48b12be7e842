"""Forwards requests to plain services, which send one whole answer each."""

from __future__ import annotations

import random
from typing import Final

import anyio

from vaneturn_core.traffic.configuration import Repeatability
from vaneturn_core.traffic.crashes import Suspicion
from vaneturn_core.traffic.servers import BackendServer
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import AnswerHead, HttpLink, LinkError
from vaneturn_node.http1.pool import MAX_IDLE_S
from vaneturn_node.platform.headers import build_server_headers, read_answer_facts
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.outcomes import Answered, MayHaveRun, NotRun, OwnAnswer, Reason, TryOutcome, refuse
from vaneturn_node.traffic.serving.peerforwarding import PEER_SILENCE_S, PeerAnswer, PeerForwarder
from vaneturn_node.traffic.serving.requests import RequestContext

MAX_SENDS: Final = 3  # of one request, including those that servers refused
FIRST_TRY_OBJECTIVE_SHARE: Final = 0.6  # after this time, a safe request goes to a second server
FIRST_TRY_TIME_LEFT_SHARE: Final = 0.4  # used if it is longer
PATH_CHECK_DELAY_S: Final = 0.25  # without an answer, until the path to the servers is checked
PATH_CHECK_LATENCIES: Final = 4.0  # times the latency of the server, if that is longer
ASSUMED_LATENCY_S: Final = 0.05  # of a server without an answer yet; most answer in 0.05 to 0.1 s
UNSAFE_IDLE_LIMIT_S: Final = 1.0  # of a pooled connection that is to carry a request that must not run twice
RETRY_AFTER_S: Final = 0.15  # plus random jitter of up to as much
NO_PATH_RETRY_S: Final = 0.3  # the same while no server can be reached; another node may reach one
MIN_SERVER_ERROR_STATUS: Final = 500
REPORTED_LOAD_TTL_S: Final = 1.0


class PlainForwarder:
    """Sends a request to one server after another until one has answered."""

    def __init__(self, parts: TrafficParts, peers: PeerForwarder) -> None:
        self._parts = parts
        self._peers = peers

    async def forward(self, context: RequestContext) -> Answered | OwnAnswer:
        """Return the answer of a server, or one of this node if no server gave one."""
        last_outcome: TryOutcome | None = None
        error_answer: Answered | None = None  # a server's error answer, returned if no other server gives a better one
        while context.sends < MAX_SENDS and context.time_left > 0:
            outcome = await self._try_next(context)
            if outcome is None:
                break
            if isinstance(outcome, OwnAnswer):
                return outcome
            if isinstance(outcome, Answered):
                if outcome.status < MIN_SERVER_ERROR_STATUS or not context.may_run_again:
                    return outcome
                error_answer = outcome
            elif isinstance(outcome, NotRun) and outcome.is_rate_limited:
                continue
            last_outcome = outcome
            if isinstance(outcome, MayHaveRun) and not context.may_run_again:
                break
        return error_answer or self._give_up(context, last_outcome)

    async def _try_next(self, context: RequestContext) -> TryOutcome | OwnAnswer | None:
        """Send a request to a server, or over another node; return None if nothing can be sent."""
        if self._peers.needs_peer(context):
            outcome = await self._forward_to_peer(context)
            if isinstance(outcome, NotRun):
                if context.is_forwarded or context.has_declined_peers:
                    return self._refuse_without_path(context, outcome.cause)
                context.has_declined_peers = True
            return outcome
        server = self._choose(context)
        if server is None or not context.may_send():
            return None
        return await self._try_server(context, server)

    def _refuse_without_path(self, context: RequestContext, cause: str) -> OwnAnswer:
        if context.may_have_run and not context.is_declinable:
            return context.make_may_have_run_answer(cause)
        return refuse(Reason.NO_PATH, NO_PATH_RETRY_S * (1 + random.random()), cause)

    async def _try_server(self, context: RequestContext, server: BackendServer) -> TryOutcome | None:
        """Send a request to a server; return None if the retry budget is used up."""
        budget = self._parts.get_retry_budget(context.service)
        is_first = not context.sends
        if is_first:
            budget.record_first()
        elif not budget.spend():
            context.add_step("retry budget used up")
            return None
        if not await self._parts.permits.obtain(server.id):
            budget.take_back(is_first=is_first)
            context.add_step(f"{server.id} has no room by its rate limit")
            return NotRun("rate limit", is_rate_limited=True)
        outcome = await self._try(context, server)
        if isinstance(outcome, NotRun) and outcome.has_no_path:
            budget.take_back(is_first=is_first)
            context.sends -= 1
            return outcome
        if isinstance(outcome, Answered):
            self._parts.crash_watch.record_success(server, context.content)
        context.avoided.add(server.id)
        return outcome

    async def _forward_to_peer(self, context: RequestContext) -> TryOutcome | OwnAnswer:
        """Send a request over another node, as this one reaches no server of the service."""
        answer = await self._peers.offer(context, None, self._compute_peer_silence(context))
        if not isinstance(answer, PeerAnswer):
            context.may_have_run = context.may_have_run or isinstance(answer, MayHaveRun)
            return answer
        outcome: TryOutcome | OwnAnswer = MayHaveRun("cancelled")
        try:
            outcome = await answer.read_whole(context.time_left)
        except LinkError as error:
            outcome = MayHaveRun(f"{answer.peer}: {error.cause}")
        finally:
            await self._peers.release(answer, is_whole=not isinstance(outcome, MayHaveRun))
            context.may_have_run = context.may_have_run or isinstance(outcome, MayHaveRun)
        return outcome

    def _compute_peer_silence(self, context: RequestContext) -> float:
        """Compute the time until a request that may run again is taken from a silent node to another one."""
        return max(PEER_SILENCE_S, self._compute_try_timeout(context)) if context.may_leave_try else context.time_left

    def _give_up(self, context: RequestContext, last_outcome: TryOutcome | None) -> OwnAnswer:
        if context.may_have_run:
            return context.make_may_have_run_answer(
                last_outcome.cause if isinstance(last_outcome, MayHaveRun | NotRun) else ""
            )
        wait = self._parts.compute_wait(context.service)
        retry_after = wait + RETRY_AFTER_S * (1 + random.random())
        if not context.may_send():
            return refuse(Reason.KEYS_TOO_OLD, retry_after)
        if isinstance(last_outcome, NotRun):
            return refuse(Reason.NOT_RUN, retry_after, last_outcome.cause)
        return refuse(Reason.SERVERS_LIMITED if wait else Reason.NO_SERVER, retry_after)

    def _choose(self, context: RequestContext) -> BackendServer | None:
        """Choose the server that is expected to answer soonest."""
        candidates = self._parts.list_accepting(context.service, context.avoided)
        if not candidates:
            return None
        random.shuffle(candidates)
        return min(candidates, key=self._estimate_wait)

    def _estimate_wait(self, server: BackendServer) -> float:
        server_status = self._parts.beliefs[server.id]
        reported_load = (
            server_status.reported_load if read_clock() - server_status.reported_at < REPORTED_LOAD_TTL_S else 0
        )
        load = max(server_status.in_progress, reported_load)
        return (server_status.latency or ASSUMED_LATENCY_S) * (1 + load / max(1, server.slots))

    async def _try(self, context: RequestContext, server: BackendServer) -> TryOutcome:
        server_status = self._parts.beliefs[server.id]
        started_at = read_clock()
        timeout_s = self._compute_try_timeout(context)
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
            if isinstance(outcome, MayHaveRun) or outcome.is_unreachable:
                server_status.latency = max(server_status.latency, seconds)
                has_path = await self._parts.connectivity.check(context.service, started_at)
                if has_path and await self._parts.can_reach_others({server.id}, started_at):
                    server_status.record_failure(read_clock())
        return outcome

    def _compute_try_timeout(self, context: RequestContext) -> float:
        """Compute the timeout of a try in seconds; that of a safe request leaves time for a second try."""
        if context.route.repeatability is Repeatability.SAFE and context.runs + 1 < context.route.max_attempts:
            return min(
                context.time_left,
                max(FIRST_TRY_OBJECTIVE_SHARE * context.route.objective, FIRST_TRY_TIME_LEFT_SHARE * context.time_left),
            )
        return context.time_left

    async def _exchange(self, context: RequestContext, server: BackendServer, timeout_s: float) -> TryOutcome:
        link: HttpLink | None = None
        is_whole = False
        try:
            with anyio.fail_after(timeout_s):
                max_idle = MAX_IDLE_S if context.route.may_repeat else UNSAFE_IDLE_LIMIT_S
                link = await self._parts.connectivity.acquire(server, max_idle)
                obstacle = context.claim_send(self._parts.beliefs[server.id])
                if obstacle is not None:
                    return NotRun(obstacle)
                outcome = await self._send_and_receive(context, server, link, timeout_s)
                is_whole = isinstance(outcome, Answered | NotRun)
                return outcome
        except TimeoutError:
            if link is None:
                return NotRun("no connection in time", is_unreachable=True)
            context.runs += 1
            return MayHaveRun("no answer in time")
        except LinkError as error:
            if not error.was_sent:
                return NotRun(error.cause, is_unreachable=not error.has_no_path, has_no_path=error.has_no_path)
            context.runs += 1
            if not error.is_unresponsive:
                await self._parts.crash_watch.record_cut_connection(server, context.content, Suspicion.UNHEARD)
            return MayHaveRun(error.cause)
        finally:
            if link is not None:
                await self._parts.release(link, server.address, is_whole=is_whole)

    async def _send_and_receive(
        self, context: RequestContext, server: BackendServer, link: HttpLink, timeout_s: float
    ) -> TryOutcome:
        request = context.request
        headers = build_server_headers(request.headers, context.make_dispatch(server.name))
        sent_at = read_clock()
        await link.send(request.method, request.target, headers, request.body, timeout_s)
        head = await self._read_head(context, server, link, timeout_s)
        facts = read_answer_facts(head.status, head.headers)
        body = []
        while (data := await link.read_data(timeout_s)) is not None:
            body.append(data)
        server_status = self._parts.beliefs[server.id]
        if facts.load is not None:
            server_status.take_load(facts.load[0] + facts.load[1], read_clock())
        if facts.id is not None and facts.id != context.facts.id:
            raise LinkError("answer to another request", was_sent=True)
        if not facts.is_wrong_server:
            self._parts.directives.apply(server, facts.directives, sent_at)
        if facts.was_refused:
            server_status.is_replaced = server_status.is_replaced or facts.is_wrong_server
            return NotRun(f"refused with {head.status}")
        context.runs += 1
        if facts.is_sealed:
            return Answered(head.status, head.headers, b"".join(body))
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


__all__ = ["PlainForwarder"]
