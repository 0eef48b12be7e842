"""Forwards requests to models over a chain of servers, and over another chain when one fails."""

from __future__ import annotations

from functools import partial
from typing import Final

import anyio

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.retries import RetryReason
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.admissionrequest import UNCOUNTED_PLACE
from vaneturn_node.traffic.serving.admitting import StreamAdmitter
from vaneturn_node.traffic.serving.clientstream import ClientStream
from vaneturn_node.traffic.serving.outcomes import (
    Answered,
    NotRun,
    OwnAnswer,
    TryOutcome,
    classify_retry,
)
from vaneturn_node.traffic.serving.peerforwarding import PeerForwarder
from vaneturn_node.traffic.serving.peertry import PeerTry
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.streamrefusal import Shortage, give_up_stream
from vaneturn_node.traffic.serving.trypreparation import MAX_SENDS, TryPreparer

MAX_REFUSALS: Final = 3  # by servers without free capacity, before the request is refused
MAX_BEGUN_REFUSALS: Final = 10  # the same of one whose answer has begun; it waits after each from the third on
ATTEMPT_WAIT_S: Final = 1.0  # of a begun answer that no server which counts can resume; its client may resume anew
MAX_REFUSAL_WAIT_S: Final = 0.5  # between tries of a begun answer whose attempts are spent
CHAIN_SEARCH_INTERVAL_S: Final = 0.2  # between searches for a chain that can resume a begun answer


class StreamForwarder:
    """Sends a request over a chain, and resumes it over another one when that fails."""

    def __init__(self, parts: TrafficParts, admitter: StreamAdmitter, peers: PeerForwarder) -> None:
        self._parts = parts
        self._peers = peers
        self._admitter = admitter
        self._preparer = TryPreparer(parts, peers)

    async def forward(
        self, context: RequestContext, engine: EngineProfile, answer: ClientAnswer
    ) -> Answered | OwnAnswer | None:
        """Relay a streamed answer; return None if it was relayed, either in full or broken off after its start."""
        record_pause = self._parts.patience.record_pause
        client = ClientStream(answer, context.facts.last_event_id, record_pause, context.empty_ends)
        place = UNCOUNTED_PLACE
        if not self._peers.needs_peer(context):  # the node that it is forwarded to admits it
            self._parts.arrivals.record()
            admitted = await self._admitter.admit(context, engine)
            if isinstance(admitted, OwnAnswer):
                return admitted
            place = admitted
            context.release_place = partial(place.release, is_whole=False)
        started_at = read_clock()
        try:
            outcome = await self._forward(context, engine, client)
            if isinstance(outcome, OwnAnswer):
                self._parts.refusals.record()
            return outcome
        finally:
            place.release(is_whole=answer.is_ended)
            if client.is_begun:
                self._parts.durations[context.service].record(read_clock() - started_at)
            context.longest_pause = client.pace.longest
            if client.first_event_at is not None and client.last_event_at is not None:
                context.first_event = client.first_event_at - context.request.arrived
                context.last_event = client.last_event_at - context.request.arrived

    async def _forward(
        self, context: RequestContext, engine: EngineProfile, client: ClientStream
    ) -> Answered | OwnAnswer | None:
        outcome: TryOutcome | None = None
        refusals = 0
        productive = 0  # tries that have relayed an event; only those that have not use up the sends of a begun answer
        while self._may_try(context, client, refusals, productive):
            is_moved = client.is_begun or context.is_resumed_here
            reason = RetryReason.MOVED if is_moved else classify_retry(outcome)
            prepared = self._preparer.prepare(context, engine, client, reason)
            if isinstance(prepared, Shortage):
                if client.is_begun and await self._wait_for(context, client, prepared):
                    continue
                return give_up_stream(self._parts, context, client, outcome, prepared)
            progress = client.measure_progress()
            result = await prepared.run()
            if result is None or isinstance(result, OwnAnswer):
                return result
            outcome = result
            if isinstance(outcome, Answered) and not client.is_begun:
                return outcome
            if isinstance(outcome, NotRun) and outcome.has_no_path:
                if isinstance(prepared, PeerTry) and not await self._may_search_path(context, client):
                    return give_up_stream(self._parts, context, client, outcome, Shortage.PATH)
                continue
            context.spent_at = None
            is_resumable = context.may_run_again or (client.is_resumed and context.may_repeat)
            if not isinstance(outcome, NotRun) and not is_resumable:
                break
            productive += client.measure_progress()[0] > progress[0]
            is_refused = self._is_refusal(context, client, outcome, progress)
            refusals += is_refused
            if client.is_begun:
                await self._wait_after_refusals(context, refusals, is_refused=is_refused)
        return give_up_stream(self._parts, context, client, outcome)

    def _may_try(self, context: RequestContext, client: ClientStream, refusals: int, productive: int) -> bool:
        """Tell whether one more try is worth its cost; a begun answer would be lost without it."""
        # the node that has forwarded a stream may go on elsewhere
        may_wait_for_key = client.is_begun and not context.is_forwarded and context.may_be_sent_later()
        if context.time_left <= 0 or not (context.may_send() or may_wait_for_key):
            return False
        if client.is_begun:
            return context.sends - refusals - productive < MAX_SENDS and refusals < MAX_BEGUN_REFUSALS
        return context.sends < MAX_SENDS and refusals < MAX_REFUSALS

    async def _may_search_path(self, context: RequestContext, client: ClientStream) -> bool:
        """Tell whether a request that no other node has accepted may be tried again; a begun one waits before."""
        if client.is_begun and not context.may_run_again:
            return await self._wait_for_attempt(context, client, "no other node has taken it")
        if client.is_begun:
            await self._wait_for_chain(context, "no other node has taken it")
            return True
        may_try = not context.has_declined_peers
        context.has_declined_peers = True
        return may_try

    async def _wait_for(self, context: RequestContext, client: ClientStream, shortage: Shortage) -> bool:
        """Wait for what a begun answer lacks; return false if waiting is in vain."""
        if shortage is Shortage.ATTEMPT:
            return await self._wait_for_attempt(context, client, "attempts spent")
        if shortage in {Shortage.CHAIN, Shortage.CROSSING, Shortage.KEY}:
            await self._wait_for_chain(context, "key not confirmed" if shortage is Shortage.KEY else "no chain")
        elif shortage is Shortage.BUDGET:
            with self._parts.retries.wait(context.service):
                await self._wait_for_chain(context, "retry budget used up")
        return shortage in {Shortage.CHAIN, Shortage.CROSSING, Shortage.BUDGET, Shortage.KEY}

    def _is_refusal(
        self, context: RequestContext, client: ClientStream, outcome: TryOutcome, progress: tuple[float, int]
    ) -> bool:
        """Tell whether a try was refused, or made no progress while the attempts allow only servers that ran it.

        :param progress: of all tries before this one.
        """
        if isinstance(outcome, NotRun):
            return not outcome.is_rate_limited
        return client.is_begun and not context.may_run_again and client.measure_progress() == progress

    async def _wait_after_refusals(self, context: RequestContext, refusals: int, *, is_refused: bool) -> None:
        """Wait before the next try of a begun answer after refusals, which may come within milliseconds.

        With its attempts spent, the servers that are left are the same few: each refusal doubles the wait.
        """
        if is_refused and not context.may_run_again:
            delay_s = min(MAX_REFUSAL_WAIT_S, CHAIN_SEARCH_INTERVAL_S * 2 ** (refusals - 1))
            await self._wait_for_chain(context, "attempts spent", delay_s)
        elif is_refused and refusals >= MAX_REFUSALS:
            await self._wait_for_chain(context, "refused again and again")

    async def _wait_for_attempt(self, context: RequestContext, client: ClientStream, reason: str) -> bool:
        """Wait before the next search for a server that the attempts allow; return false if that is in vain.

        A server that counts may fall silent, or refuse connections, and serve again: the search goes on until the
        deadline, or until the client leaves. A node that another one has asked gives the answer back sooner, as a
        further node may reach such a server.
        """
        if context.is_forwarded and context.attempts.has_unnamed:
            return False  # another node may use further attempts, or knows further servers that may be asked again
        now = read_clock()
        if context.spent_at is None:
            context.spent_at = now
        may_come_back = context.attempts.servers - client.empty_ends.servers
        if now - context.spent_at >= ATTEMPT_WAIT_S and (context.is_forwarded or not may_come_back):
            return False
        await self._wait_for_chain(context, reason)
        return True

    async def _wait_for_chain(
        self, context: RequestContext, reason: str, delay_s: float = CHAIN_SEARCH_INTERVAL_S
    ) -> None:
        """Wait before the next search for a chain that can resume a begun answer."""
        context.add_wait_step(reason)
        await anyio.sleep(delay_s)
        context.avoided.clear()  # lost servers are in backoff, and those that are back may serve


__all__ = ["StreamForwarder"]
