"""One try to get a stream over another node, which chooses and repairs the chain."""

from __future__ import annotations

from vaneturn_core.traffic.pace import PauseStep
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import LinkError
from vaneturn_node.traffic.serving.clientstream import ClientStream
from vaneturn_node.traffic.serving.events import EventSplitter
from vaneturn_node.traffic.serving.notrun import judge_node_refusal
from vaneturn_node.traffic.serving.outcomes import REFUSAL_STATUS, MayHaveRun, OwnAnswer, TryOutcome
from vaneturn_node.traffic.serving.peeranswer import PeerAnswer
from vaneturn_node.traffic.serving.peerforwarding import MAX_OFFERS, PEER_SILENCE_S, PeerForwarder
from vaneturn_node.traffic.serving.repair import TryEndedError
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.streamrelay import find_body_end
from vaneturn_node.traffic.serving.streamtry import OnAccepted
from vaneturn_node.traffic.sharing.forwarding import AnswerKind, read_marks

SUCCESS_STATUSES = range(200, 300)


class PeerTry:
    """Forwards a request to another node and relays the answer."""

    def __init__(
        self,
        *,
        forwarder: PeerForwarder,
        context: RequestContext,
        client: ClientStream,
        on_accepted: OnAccepted | None = None,
        max_offers: int = MAX_OFFERS,
    ) -> None:
        """Prepare the try.

        :param on_accepted: called when a server has accepted the request at the other node.
        :param max_offers: to different nodes, until one accepts.
        """
        self._forwarder = forwarder
        self._context = context
        self._client = client
        self._on_accepted = on_accepted
        self._max_offers = max_offers
        self._events = 0

    async def run(self) -> TryOutcome | OwnAnswer | None:
        """Relay the answer; return None when it has ended in full."""
        outcome: TryOutcome | OwnAnswer | None = MayHaveRun("cancelled")
        self._client.pace.record_step(PauseStep.RESUMED, read_clock())
        answer = await self._forwarder.offer(
            self._context,
            self._client.last_event,
            PEER_SILENCE_S,
            is_resumed=self._client.is_begun,
            max_offers=self._max_offers,
        )
        if not isinstance(answer, PeerAnswer):
            self._context.may_have_run = self._context.may_have_run or isinstance(answer, MayHaveRun)
            return answer
        try:
            outcome = await self._handle(answer)
        except LinkError as error:
            outcome = MayHaveRun(f"{answer.peer}: {error.cause}, after {self._events} events")
        except TryEndedError as ended:  # the kept try went on just now
            outcome = ended.outcome
        finally:
            await self._forwarder.release(answer, is_whole=not isinstance(outcome, MayHaveRun))
            self._context.may_have_run = self._context.may_have_run or isinstance(outcome, MayHaveRun)
        if isinstance(outcome, MayHaveRun):
            self._context.add_step(outcome.cause)
        return outcome

    async def _handle(self, answer: PeerAnswer) -> TryOutcome | OwnAnswer | None:
        ends = self._forwarder.make_ends(self._context)
        if answer.marks.kind is not AnswerKind.SERVER or answer.head.status not in SUCCESS_STATUSES:
            self._client.empty_ends.add(answer.marks.exhausted)
            outcome = await answer.read_whole(ends, self._context.time_left)
            if isinstance(outcome, OwnAnswer) and self._client.is_begun:
                is_refusal = outcome.status == REFUSAL_STATUS
                return judge_node_refusal(outcome.cause, is_refusal=is_refusal)  # the answer is resumed again
            return outcome
        self._context.release_place()
        if self._on_accepted is not None:
            await self._on_accepted()
        self._client.set_head(answer.head)
        splitter = EventSplitter()
        is_resumed = self._client.is_resumed
        while (data := await self._read(answer)) is not None:
            relayed = await self._client.relay(splitter, data)
            if relayed:
                self._events += relayed
                self._context.events += relayed
                self._context.wait_steps.clear()
            if splitter.is_too_long:
                raise answer.link.reject("event too long")
        marks = read_marks(answer.link.trailers)
        if marks is not None and marks.kind is AnswerKind.BROKEN_OFF:
            answer.loan.settle(marks.runs, marks.attempted)
            self._client.empty_ends.add(marks.exhausted)
            raise LinkError("answer broken off", was_sent=True)
        # whether a stream without more events is over was decided by the other node
        body_end = find_body_end(answer.head, splitter, is_resumed=is_resumed)
        await ends.require_whole(answer.link, body_end, None, may_be_empty=is_resumed)
        await self._client.end(splitter)
        return None

    async def _read(self, answer: PeerAnswer) -> bytes | None:
        """Wait for more of the answer.

        :raises LinkError: the connection was lost, or the other node is silent and the request may run again.
        """
        while True:
            try:
                return await answer.link.read_data(PEER_SILENCE_S)
            except LinkError as error:
                if not error.is_unresponsive or self._context.may_run_again or self._context.time_left <= 0:
                    raise


__all__ = ["PeerTry"]
