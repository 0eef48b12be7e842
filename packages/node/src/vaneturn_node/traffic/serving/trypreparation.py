"""Prepares the next try of a stream: its chain, its claim on the retry budget, or another node that resumes it."""

from __future__ import annotations

from typing import Final

from vaneturn_core.traffic.chains import ChainChooser
from vaneturn_core.traffic.chaintimes import NO_OBJECTIVES, RequestObjectives
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.retries import RetryReason
from vaneturn_core.traffic.servers import BackendServer
from vaneturn_node.clock import read_clock
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.clientstream import ClientStream
from vaneturn_node.traffic.serving.peerforwarding import PeerForwarder
from vaneturn_node.traffic.serving.peertry import PeerTry
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.streamrefusal import Shortage
from vaneturn_node.traffic.serving.streamtry import OnAccepted, StreamTry

MAX_SENDS: Final = 5  # of one request, including those that servers refused
PEER_ASK_INTERVAL_S: Final = 1.0  # between rounds in which other nodes are asked for a retry of one request
MAX_RETRY_OFFERS: Final = 2  # in a round; when no node has a retry, many answers ask at once


class TryPreparer:
    """Prepares tries of streams."""

    def __init__(self, parts: TrafficParts, peers: PeerForwarder) -> None:
        self._parts = parts
        self._peers = peers

    def prepare(
        self,
        context: RequestContext,
        engine: EngineProfile,
        client: ClientStream,
        reason: RetryReason,
        on_accepted: OnAccepted | None = None,
    ) -> StreamTry | PeerTry | Shortage:
        """Prepare a try: choose its chain and, unless it is the first, take it from the retry budget.

        A try over another node is taken from the budget of that node, if this one has no retry to lend.

        :param reason: of the try, unless it is the first.
        """
        shortage = _find_early_shortage(context, client)
        if shortage is not None:
            return shortage
        if self._peers.needs_peer(context):
            if context.is_forwarded:
                return Shortage.PATH
            return PeerTry(forwarder=self._peers, context=context, client=client, on_accepted=on_accepted)
        chooser = self._make_chooser(context, engine, is_begun=client.is_begun)
        chain = chooser.choose(self._list_eligible(context, client))
        if chain is None and client.repeated_event is not None:
            chain = chooser.choose(self._list_eligible(context, client, is_last_resort=True))
        if chain is None:
            return _find_shortage(context, client, chooser)
        retry_reason = reason if context.sends else None
        claim = self._parts.retries.claim(context.service, retry_reason, is_lent=context.has_lent_retry)
        context.has_lent_retry = False
        context.has_no_retry = claim is None
        if claim is None:
            context.add_wait_step(f"{reason.value}; retry budget used up")
            return self._prepare_peer_retry(context, client, on_accepted) or Shortage.BUDGET

        def prepare_next(on_next_accepted: OnAccepted) -> StreamTry | PeerTry | None:
            # the last send is kept for when no try is left
            if context.sends >= MAX_SENDS - 1 or not context.may_send():
                return None
            next_reason = RetryReason.MOVED if client.is_begun else RetryReason.LOST
            prepared = self.prepare(context, engine, client, next_reason, on_next_accepted)
            return None if isinstance(prepared, Shortage) else prepared

        return StreamTry(
            parts=self._parts,
            context=context,
            chooser=chooser,
            chain=chain,
            claim=claim,
            client=client,
            prepare_next=prepare_next,
            on_accepted=on_accepted,
        )

    def _list_eligible(
        self, context: RequestContext, client: ClientStream, *, is_last_resort: bool = False
    ) -> list[BackendServer]:
        """List the servers that may get the request, but none that had no event after the newest one.

        Whether a stream is over is asked of a server that ran it, also if it has just lost its connection: this is no
        further attempt. One that had no event is asked again, to repeat the newest one, if no other may be. A begun
        stream whose attempts are spent has no other servers left, and asks them at its own pace: the backoff of a
        server that fails may be longer than its client waits. It asks none that is silent, as a try there would be in
        vain.

        :param is_last_resort: whether no other server holds a chain, though attempts may be left.
        """
        ended = client.empty_ends.servers
        is_spent = client.is_begun and not context.may_run_again
        eligible = self._parts.list_eligible(context.service, context.avoided | ended)
        if ended or is_spent:
            listed = self._parts.view.list_servers(context.service)
            attempted = context.attempts.servers
            may_ask_again = (is_spent or is_last_resort) and client.repeated_event is not None and attempted <= ended
            asked = attempted if may_ask_again else attempted - (ended or context.avoided)
            ran = [server for server in listed if server.id in asked]
            eligible += self._parts.beliefs.list_eligible(ran, (), read_clock())
        silences = self._parts.silences
        is_unreachable = silences.is_silent if is_spent else silences.is_lost
        return [server for server in eligible if not is_unreachable(server.id)]

    def _prepare_peer_retry(
        self, context: RequestContext, client: ClientStream, on_accepted: OnAccepted | None
    ) -> PeerTry | None:
        """Prepare to send a request with a retry of another node; none if the others were asked just before.

        Only for a begun answer, and for a request that its server has lost: a node that has just started has few
        retries itself.
        """
        now = read_clock()
        may_ask = (client.is_begun or context.was_lost_by_server) and not context.is_forwarded
        if not may_ask or now - context.peers_asked_at < PEER_ASK_INTERVAL_S:
            return None
        context.peers_asked_at = now
        return PeerTry(
            forwarder=self._peers,
            context=context,
            client=client,
            on_accepted=on_accepted,
            max_offers=MAX_RETRY_OFFERS,
        )

    def _make_chooser(self, context: RequestContext, engine: EngineProfile, *, is_begun: bool) -> ChainChooser:
        answer = min(context.facts.max_answer_tokens or engine.usual_answer, engine.usual_answer)
        prompt = context.facts.prompt_tokens or engine.usual_prompt
        nodes = self._parts.view.count_nodes()
        return ChainChooser(
            layer_map=self._parts.get_layer_map(context.service, engine),
            statuses=self._parts.beliefs,
            node=self._parts.vm,
            hall=self._parts.hall,
            share=self._parts.beliefs.estimate_share(nodes, read_clock()),
            prompt=prompt,
            tokens=prompt + answer,
            now=read_clock(),
            board=self._parts.board,
            get_total_rate=self._parts.estimate_total_rate,
            draw=0.0 if is_begun else context.draw,
            objectives=self._list_objectives(context, is_begun=is_begun),
            may_lead=lambda server: context.attempts.allow(server, context.route.max_attempts),
        )

    def _list_objectives(self, context: RequestContext, *, is_begun: bool) -> RequestObjectives:
        """List the objectives of a request for a prioritized service; none for other services.

        An answer that has begun has no first event to come.
        """
        configuration = self._parts.view.configuration
        shortest = None if configuration is None else configuration.get_shortest_objective(context.service)
        if shortest is None:
            return NO_OBJECTIVES
        return RequestObjectives(
            first_event=None if is_begun else context.route.objective or None,
            pause=context.route.pause_objective or None,
            elapsed=context.age,
            shortest=shortest,
        )


def _find_early_shortage(context: RequestContext, client: ClientStream) -> Shortage | None:
    """Find why there is no try, whatever the chains."""
    if not client.can_resume:
        return Shortage.EVENT_ID
    return Shortage.KEY if context.may_be_sent_later() else None


def _find_shortage(context: RequestContext, client: ClientStream, chooser: ChainChooser) -> Shortage:
    """Find why there is no chain."""
    if chooser.is_crossing_refused:
        return Shortage.CROSSING
    is_bound = context.attempts.count >= context.route.max_attempts or client.empty_ends.servers
    return Shortage.ATTEMPT if is_bound else Shortage.CHAIN


__all__ = ["MAX_SENDS", "TryPreparer"]
