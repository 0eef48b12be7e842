"""Forwards requests over other nodes while this node reaches no server of their service, or has no retry for them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Final

import anyio

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.peerchoice import DeclineReason, PeerChoice
from vaneturn_core.traffic.retries import RetryReason, SendClaim
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import AnswerHead, HttpLink, LinkError
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.answerends import AnswerEnds
from vaneturn_node.traffic.serving.attempts import AttemptLoan
from vaneturn_node.traffic.serving.notrun import judge_lost, judge_node_answer, withhold
from vaneturn_node.traffic.serving.outcomes import MayHaveRun, NotRun
from vaneturn_node.traffic.serving.peeranswer import PeerAnswer
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.sends import Send
from vaneturn_node.traffic.serving.withdrawals import Withdrawals
from vaneturn_node.traffic.sharing.forwarding import (
    FORWARDED_PATH,
    MAX_STATED_SERVERS,
    ForwardedRequest,
    drop_marks,
    encode_forwarded,
    read_marks,
)

ACCEPT_TIMEOUT_S: Final = 0.15  # until a node accepts a request; a healthy one does so in a few milliseconds
MAX_PEER_IDLE_S: Final = 2.0  # of pooled connections; nodes close idle ones after some seconds
MAX_OFFERS: Final = 8  # of one request to other nodes
PEER_SILENCE_S: Final = 1.5  # of a node that has accepted a request, or its server, until the request is moved

MakeMessage = Callable[[int], ForwardedRequest]  # from the attempts that count


@dataclass(frozen=True, slots=True)
class _Declined:
    """A node did not take a request, which it has not sent to any server."""

    cause: str
    reason: DeclineReason


class PeerForwarder:
    """Offers requests to other nodes, one after the other, until one accepts."""

    def __init__(self, parts: TrafficParts) -> None:
        self._parts = parts
        self.withdrawals = Withdrawals()
        self._choice = PeerChoice(parts.vm, read_clock)
        self._newest_version = 0  # of the configuration by which a request of this node was answered

    def needs_peer(self, context: RequestContext) -> bool:
        """Tell whether a request should go to another node.

        This node tries itself, once no other node has accepted the request, until several rounds of probes have failed.
        """
        is_lost = self._parts.connectivity.is_lost(context.service)
        return is_lost and (
            not context.has_declined_peers or self._parts.connectivity.is_confirmed_lost(context.service)
        )

    async def offer(
        self,
        context: RequestContext,
        last_event_id: str | None,
        silence: float,
        *,
        is_resumed: bool = False,
        max_offers: int = MAX_OFFERS,
    ) -> PeerAnswer | MayHaveRun | NotRun:
        """Offer a request to other nodes; return the answer of the one that accepts, up to its head.

        :param last_event_id: id of the last event that the client has received.
        :param silence: seconds to wait for the head of the answer.
        :param is_resumed: whether the client has received a part of the answer.
        :param max_offers: to different nodes.
        """
        lent = self._lend_retry(context, is_resumed=is_resumed)
        make_message = partial(
            self._make_message, context, last_event_id, is_resumed=is_resumed, has_retry=lent is not None
        )
        outcome = await self._offer_to_nodes(context, make_message, silence, max_offers)
        if lent is not None and isinstance(outcome, NotRun):
            self._parts.retries.take_back(context.service, lent)
        return outcome

    def _lend_retry(self, context: RequestContext, *, is_resumed: bool) -> SendClaim | None:
        """Spend a retry on a request that is to be sent once more by another node, which may have none itself."""
        if not context.sends or context.is_forwarded:
            return None
        return self._parts.retries.get(context.service).lend(RetryReason.MOVED if is_resumed else RetryReason.LOST)

    async def _offer_to_nodes(
        self, context: RequestContext, make_message: MakeMessage, silence: float, max_offers: int
    ) -> PeerAnswer | MayHaveRun | NotRun:
        nodes: Mapping[VmId, str | None] = self._parts.view.nodes
        asked: set[VmId] = set()
        while not context.is_forwarded and len(asked) < max_offers and context.time_left > 0:
            peer = self._choice.choose(nodes, asked)
            address = nodes.get(peer) if peer is not None else None
            if peer is None or address is None:
                break
            asked.add(peer)
            outcome = await self._offer_to(peer, address, context, make_message, silence)
            if not isinstance(outcome, _Declined):
                return outcome
            context.add_step(f"{peer}: {outcome.cause}")
            self._choice.record_declined(peer, outcome.reason)
        return withhold(f"none of {len(asked)} nodes asked has taken it", has_no_path=True)

    async def _offer_to(
        self,
        peer: VmId,
        address: str,
        context: RequestContext,
        make_message: MakeMessage,
        silence: float,
    ) -> PeerAnswer | MayHaveRun | NotRun | _Declined:
        link: HttpLink | None = None
        send: Send | None = None
        loan: AttemptLoan | None = None
        is_kept = False
        self._choice.record_begun(peer)
        try:
            link = await self._parts.pool.acquire(address, MAX_PEER_IDLE_S, request=context.facts.id)
            obstacle = context.find_obstacle()
            if obstacle is not None:
                return withhold(obstacle)
            headers = [(b"host", address.encode()), (b"content-type", b"application/msgpack")]
            loan = AttemptLoan(context.attempts, context.route.max_attempts)
            message = encode_forwarded(make_message(loan.count))
            send = context.record_send(peer, link)
            await link.send_when_accepted("POST", FORWARDED_PATH, headers, message, ACCEPT_TIMEOUT_S)
            del message  # may be as long as the body, and the answer may take seconds
            context.sends += 1
            context.add_step(f"forwarded to {peer}")
            head = await self._read_head(link, context, silence)
            marks = read_marks(head.headers)
            reason = judge_node_answer(send, marks)
            if reason is not None:
                context.sends -= 1
                loan.take_back()
                return _Declined(f"declined with {head.status}, {reason.value}", reason)
            assert marks is not None  # noqa: S101 # an answer without marks has raised
            self._choice.record_accepted(peer)
            self._newest_version = max(self._newest_version, marks.version)
            loan.record_begun(marks.runs, marks.attempted)
            is_kept = True
            return PeerAnswer(peer, link, AnswerHead(head.status, list(drop_marks(head.headers))), marks, loan)
        except LinkError as error:
            if isinstance(judge_lost(send, error), NotRun):
                return _Declined(error.cause, DeclineReason.NO_ANSWER)
            context.add_step(f"{peer}: {error.cause}")
            return MayHaveRun(f"{peer}: {error.cause}")
        finally:
            if loan is not None and link is not None and not link.was_sent:
                loan.take_back()
            if not is_kept:
                self._choice.record_ended(peer)
                if link is not None:
                    await self.withdrawals.withdraw(link, loan)

    async def _read_head(self, link: HttpLink, context: RequestContext, silence: float) -> AnswerHead:
        """Wait for the head of the answer, until the deadline if the request may not run once more.

        :raises LinkError: it did not arrive in time, or the connection was lost.
        """
        while True:
            try:
                return await link.read_head(silence)
            except LinkError as error:
                if not error.is_unresponsive or context.may_run_again or context.time_left <= 0:
                    raise

    def _make_message(
        self, context: RequestContext, last_event_id: str | None, runs: int, *, is_resumed: bool, has_retry: bool
    ) -> ForwardedRequest:
        configuration = self._parts.view.configuration
        request = context.request
        # a node that reaches no server has failed to reach healthy ones too
        is_path_lost = self._parts.connectivity.is_lost(context.service)
        return ForwardedRequest(
            vm=self._parts.vm,
            method=request.method,
            target=request.target,
            headers=list(request.headers),
            body=request.body,
            elapsed=context.age,
            version=max(self._newest_version, configuration.version if configuration is not None else 0),
            sends=context.sends,
            runs=runs,
            may_have_run=context.may_have_run,
            last_event_id=last_event_id,
            is_resumed=is_resumed,
            must_run_once=not context.may_repeat,
            has_retry=has_retry,
            avoided=[] if is_path_lost else sorted(context.avoided),
            attempted=sorted(context.attempts.servers)[:MAX_STATED_SERVERS],
            reads_servers=True,
            exhausted=sorted(context.empty_ends.servers)[:MAX_STATED_SERVERS],
        )

    def make_ends(self, context: RequestContext) -> AnswerEnds:
        """Make what decides whether the answers of other nodes to a request are whole."""
        return AnswerEnds(self._parts, context)

    async def release(self, answer: PeerAnswer, *, is_whole: bool) -> None:
        """Return the connection to the pool if the answer is whole; else take the request back from the other node."""
        self._choice.record_ended(answer.peer)
        if not is_whole:
            await self.withdrawals.withdraw(answer.link, answer.loan)
            return
        address = self._parts.view.nodes.get(answer.peer)
        with anyio.CancelScope(shield=True):
            if address is None:
                await answer.link.abort()
            else:
                await self._parts.pool.release(answer.link, address)


__all__ = ["MAX_OFFERS", "PEER_SILENCE_S", "PeerAnswer", "PeerForwarder"]
