"""Forwards requests to plain services, which send one whole answer each."""

from __future__ import annotations

import random
from typing import Final

from vaneturn_core.traffic.blame.contents import Fingerprint
from vaneturn_core.traffic.servers import BackendServer
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import LinkError
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.notrun import withhold
from vaneturn_node.traffic.serving.outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    OwnAnswer,
    Reason,
    TryOutcome,
    classify_retry,
    refuse,
)
from vaneturn_node.traffic.serving.peeranswer import PeerAnswer
from vaneturn_node.traffic.serving.peerforwarding import PEER_SILENCE_S, PeerForwarder
from vaneturn_node.traffic.serving.plaintry import MIN_SERVER_ERROR_STATUS, PlainTry, compute_try_timeout
from vaneturn_node.traffic.serving.requests import RequestContext

MAX_SENDS: Final = 3  # of one request, including those that servers refused
ASSUMED_LATENCY_S: Final = 0.05  # of a server without an answer yet; most answer in 0.05 to 0.1 s
RETRY_AFTER_S: Final = 0.15  # plus random jitter of up to as much
NO_PATH_RETRY_S: Final = 0.3  # the same while no server can be reached; another node may reach one
REPORTED_LOAD_TTL_S: Final = 1.0


class PlainForwarder:
    """Sends a request to one server after another until one has answered."""

    def __init__(self, parts: TrafficParts, peers: PeerForwarder) -> None:
        self._parts = parts
        self._peers = peers
        self._exchange = PlainTry(parts)

    async def forward(self, context: RequestContext) -> Answered | OwnAnswer:
        """Return the answer of a server, or one of this node if no server gave one."""
        last_outcome: TryOutcome | None = None
        error_answer: Answered | None = None  # a server's error answer, returned if no other server gives a better one
        while context.sends < MAX_SENDS and context.time_left > 0:
            outcome = await self._try_next(context, last_outcome)
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

    async def _try_next(
        self, context: RequestContext, last_outcome: TryOutcome | None
    ) -> TryOutcome | OwnAnswer | None:
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
        return await self._try_server(context, server, last_outcome)

    def _refuse_without_path(self, context: RequestContext, cause: str) -> OwnAnswer:
        if context.may_have_run and not context.is_declinable:
            return context.make_may_have_run_answer(cause)
        return refuse(Reason.NO_PATH, NO_PATH_RETRY_S * (1 + random.random()), cause)

    async def _try_server(
        self, context: RequestContext, server: BackendServer, last_outcome: TryOutcome | None
    ) -> TryOutcome | None:
        """Send a request to a server; return None if the retry budget is used up."""
        retries, service = self._parts.retries, context.service
        reason = classify_retry(last_outcome) if context.sends else None
        claim = retries.claim(service, reason, is_lent=context.has_lent_retry)
        context.has_lent_retry = False
        if claim is None:
            context.has_no_retry = True
            context.add_step(f"{classify_retry(last_outcome).value}; retry budget used up")
            return None
        if not await self._parts.permits.obtain(server.id):
            retries.take_back(service, claim)
            context.add_step(f"{server.id} has no room by its rate limit")
            return withhold("rate limit", is_rate_limited=True)
        outcome = await self._exchange.run(context, server)
        if isinstance(outcome, NotRun) and outcome.has_no_path:
            retries.take_back(service, claim)
            context.sends -= 1
            return outcome
        has_answered = isinstance(outcome, Answered) and outcome.status < MIN_SERVER_ERROR_STATUS
        retries.record_outcome(service, claim, is_accepted=has_answered)
        if isinstance(outcome, Answered):
            # an error says that the server has not crashed, but not that it has read the prompt
            fingerprint = context.fingerprint if has_answered else Fingerprint(context.fingerprint.content)
            self._parts.crash_watch.record_success(server, fingerprint)
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
            outcome = await answer.read_whole(self._peers.make_ends(context), context.time_left)
        except LinkError as error:
            outcome = MayHaveRun(f"{answer.peer}: {error.cause}")
        finally:
            await self._peers.release(answer, is_whole=not isinstance(outcome, MayHaveRun))
            context.may_have_run = context.may_have_run or isinstance(outcome, MayHaveRun)
        return outcome

    def _compute_peer_silence(self, context: RequestContext) -> float:
        """Compute the time until a request that may run again is taken from a silent node to another one."""
        return max(PEER_SILENCE_S, compute_try_timeout(context)) if context.may_leave_try else context.time_left

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
            reason = Reason.RETRY_BUDGET if context.has_no_retry else Reason.NOT_RUN
            return refuse(reason, retry_after, last_outcome.cause)
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


__all__ = ["PlainForwarder"]
