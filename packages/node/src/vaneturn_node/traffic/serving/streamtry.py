"""One try to get a stream over one chain: reserve, send, relay events, repair the chain when a part of it stalls.

A try whose server may resume is not ended for another that may fail: it is kept until a server has accepted the other.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from functools import partial
from typing import Final, Protocol

import anyio

from vaneturn_core.traffic.chain import Chain
from vaneturn_core.traffic.chains import ChainChooser
from vaneturn_core.traffic.pace import PauseStep
from vaneturn_core.traffic.retries import SendClaim
from vaneturn_core.traffic.servers import BackendServer
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import HttpLink, LinkError
from vaneturn_node.platform.headers import build_server_headers
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.chainreservation import ChainReservation
from vaneturn_node.traffic.serving.clientstream import ClientStream
from vaneturn_node.traffic.serving.heads import handle_head
from vaneturn_node.traffic.serving.lostconnections import handle_lost_connection
from vaneturn_node.traffic.serving.notrun import withhold
from vaneturn_node.traffic.serving.outcomes import Answered, MayHaveRun, NotRun, OwnAnswer, TryOutcome
from vaneturn_node.traffic.serving.repair import ChainRepair, TryEndedError
from vaneturn_node.traffic.serving.requests import RequestContext
from vaneturn_node.traffic.serving.streamrelay import StreamRelay

HEAD_PROBE_DELAY_S: Final = 0.2  # before the first event; most arrive in 0.16 s, and the target is 0.5 s
MOVE_BACKOFF_S: Final = 0.25  # after a refused try; the backoff of a server without capacity is as long

logger = logging.getLogger(__name__)

OnAccepted = Callable[[], Awaitable[None]]


class NextTry(Protocol):
    """Another try of the same request."""

    async def run(self) -> TryOutcome | OwnAnswer | None:
        """Relay its answer; return None when that has ended in full."""


class StreamTry:
    """One send of a streamed request over one chain."""

    def __init__(
        self,
        *,
        parts: TrafficParts,
        context: RequestContext,
        chooser: ChainChooser,
        chain: Chain,
        claim: SendClaim,
        client: ClientStream,
        prepare_next: PrepareNext,
        on_accepted: OnAccepted | None = None,
    ) -> None:
        """Prepare the send.

        :param claim: of the send, in the retry budget of the service.
        :param prepare_next: prepares another try and takes it from the retry budget; None without a chain or budget.
        :param on_accepted: called when a server has accepted the request; until then this try replaces no other, and
            ends as soon as it cannot continue.
        """
        self._parts = parts
        self._context = context
        self._claim = claim
        self._reservation = ChainReservation(parts, context, chooser, chain)
        self._client = client
        self._prepare_next = prepare_next
        self._on_accepted = on_accepted
        self._link: HttpLink | None = None
        self._is_replaced = False  # another try has replaced it
        self._has_resumed = False  # it resumed while another try was opening, which has to end
        self._waits_for_retry = False
        self._cleanup = ExitStack()  # closed when the try ends
        self._next_move_at = float("-inf")  # monotonic time from which another try may be sent
        repair = ChainRepair(parts, context, self._reservation, client, self._move)
        self._relay = StreamRelay(parts, context, self._reservation, client, repair)

    @property
    def _first_server(self) -> BackendServer:
        return self._reservation.first_server

    async def run(self) -> TryOutcome | None:
        """Relay the answer over the chain; return None when it has ended in full."""
        outcome: TryOutcome | None = MayHaveRun("cancelled")
        try:
            outcome = await self._send_and_relay()
        except TryEndedError as ended:
            outcome = ended.outcome
        except LinkError as error:
            outcome = await handle_lost_connection(
                self._parts, self._context, self._reservation, error, claim=self._claim, events=self._relay.events
            )
        except anyio.get_cancelled_exc_class():
            if self._reservation.sent_at > 0:
                self._reservation.count_run()
                self._context.may_have_run = True  # the try before may go on, and be refused by its server later
                lost = self._context.describe_loss(self._relay.events, self._reservation.sent_at)
                self._parts.crash_watch.record_cancelled(self._first_server, lost)
            raise
        finally:
            is_whole = not self._is_replaced and (outcome is None or isinstance(outcome, Answered | NotRun))
            self._cleanup.close()
            await self._close(is_whole=is_whole)
        self._context.may_have_run = self._context.may_have_run or isinstance(outcome, MayHaveRun)
        if not self._is_replaced and isinstance(outcome, NotRun | MayHaveRun):
            self._context.add_step(outcome.cause)
        return outcome

    async def _send_and_relay(self) -> TryOutcome | None:
        context = self._context
        if not await self._parts.permits.obtain(self._first_server.id):
            self._parts.retries.take_back(context.service, self._claim)
            return withhold(f"{self._first_server.id} has no room by its rate limit", is_rate_limited=True)
        context.sends += 1
        self._client.pace.record_step(PauseStep.RESUMED, read_clock())
        self._reservation.reserve()
        self._link = link = await self._parts.connectivity.acquire(self._first_server, request=context.facts.id)
        obstacle = context.claim_send(self._parts.beliefs[self._first_server.id])
        if obstacle is not None:
            return withhold(obstacle)
        repeated, resume_point = self._client.repeated_event, self._client.resume_point
        dispatch = context.make_dispatch(
            self._first_server.name, self._reservation.chain, resume_point, is_resumed=self._client.is_begun
        )
        headers = build_server_headers(context.request.headers, dispatch)
        self._reservation.send = context.record_send(self._first_server.id, link)
        self._reservation.sent_at = read_clock()
        await link.send(
            context.request.method, context.request.target, headers, context.request.body, context.time_left
        )
        head = await self._relay.wait_for(link.read_head, HEAD_PROBE_DELAY_S)
        outcome = await handle_head(self._parts, context, self._reservation, self._reservation.send, head)
        self._parts.retries.record_outcome(context.service, self._claim, is_accepted=outcome is None)
        if outcome is not None:
            return outcome
        if self._on_accepted is not None:
            await self._on_accepted()
            self._on_accepted = None
        await self._relay.run(link, head, repeated)
        return None

    async def _close(self, *, is_whole: bool) -> None:
        """Release what was reserved; a server whose answer is not whole stops its work."""
        if not self._reservation.is_reserved:
            return
        self._reservation.cancel()
        if self._link is not None:
            await self._parts.release(self._link, self._first_server.address, is_whole=is_whole)

    async def _move(self, cause: str, *, is_first_lost: bool) -> None:
        """Move to another try, if there is one; this one is kept until a server has accepted the other.

        Without this, 58 of 63 streams broken off in 12 s had ended a working try and then had no budget for the next.

        :param is_first_lost: whether the first server is unresponsive, has ended or is cut off.
        :raises TryEndedError: another try has replaced this one, or this one cannot continue.
        """
        if self._on_accepted is not None:
            self._count_run(is_first_lost=is_first_lost)
            raise TryEndedError(MayHaveRun(cause))
        context = self._context
        has_path = not self._parts.connectivity.is_lost(context.service)
        lost = context.describe_loss(self._relay.events, self._reservation.sent_at)
        if is_first_lost and has_path and lost is not None:
            await self._parts.crash_watch.record_unresponsive(self._first_server, lost)
        self._count_run(is_first_lost=is_first_lost)
        if not context.may_repeat:
            context.add_wait_step(f"{cause}; waits")
            return
        if read_clock() >= self._next_move_at:
            await self._run_next(cause, is_first_lost=is_first_lost)
        context.add_wait_step(f"{cause}; waits")
        context.avoided.clear()  # lost and full servers are in backoff; the others may serve by now

    def _count_run(self, *, is_first_lost: bool) -> None:
        """Count the first server as an attempt, unless it has ended; that it is silent does not show this."""
        has_path = not self._parts.connectivity.is_lost(self._context.service)
        if is_first_lost and has_path and self._parts.reports.is_gone(self._first_server.id):
            self._reservation.undo_run_count()
        else:
            self._reservation.count_run()

    async def _run_next(self, cause: str, *, is_first_lost: bool) -> None:
        context = self._context
        if context.may_run_again or not self._reservation.is_unknown:  # a server that has lost it may get it again
            context.avoided.add(self._first_server.id)
        successor = self._prepare_next(partial(self._yield_to_next, is_first_lost=is_first_lost))
        if successor is None:
            if context.has_no_retry and not self._waits_for_retry:
                self._waits_for_retry = True
                self._cleanup.enter_context(self._parts.retries.wait(context.service))
            return
        context.add_step(cause)
        outcome: TryOutcome | OwnAnswer | None = None
        self._has_resumed = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_for_resume, tasks.cancel_scope)
            outcome = await successor.run()
            tasks.cancel_scope.cancel()
        if isinstance(outcome, Answered) and not (self._client.is_begun or self._has_resumed):
            await self._yield_to_next(is_first_lost=is_first_lost)
        if self._is_replaced:
            assert not isinstance(outcome, OwnAnswer)  # noqa: S101 # such a try has replaced nothing
            raise TryEndedError(outcome)
        self._next_move_at = read_clock() + MOVE_BACKOFF_S

    async def _watch_for_resume(self, scope: anyio.CancelScope) -> None:
        """End the next try if this one resumes before a server has accepted the next."""
        assert self._link is not None  # noqa: S101 # a try without a connection is not kept
        try:
            goes_on = await self._link.wait_for_more(self._context.time_left)
        except LinkError as error:
            logger.debug("kept try lost", extra={"cause": error.cause})  # the next read reports it as well
            return
        if goes_on and not self._is_replaced:
            self._context.add_step("goes on where it was")
            self._has_resumed = True
            scope.cancel()

    async def _yield_to_next(self, *, is_first_lost: bool) -> None:
        """Leave the request to another try.

        :raises TryEndedError: this try resumed in the same turn of the event loop; without this check both would end.
        """
        if self._has_resumed:
            raise TryEndedError(MayHaveRun("the one before went on"))
        self._is_replaced = True
        self._context.may_have_run = True
        self._count_run(is_first_lost=is_first_lost)
        await self._close(is_whole=False)


PrepareNext = Callable[[OnAccepted], NextTry | None]

__all__ = ["OnAccepted", "PrepareNext", "StreamTry", "TryOutcome"]
