"""One try to get a stream over one chain: reserve, send, relay events, repair the chain when a part of it stalls.

A try whose server may still go on is never ended for another one that is only hoped for: it is kept until a server has
taken the other.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final, TypeVar

import anyio

from vaneturn_core.traffic.chain import Chain
from vaneturn_core.traffic.chains import ChainChooser
from vaneturn_core.traffic.crashes import STARTING_TIME, Suspicion
from vaneturn_core.traffic.pace import Stage
from vaneturn_core.traffic.servers import BackendServer
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import AnswerHead, HttpLink, LinkError
from vaneturn_node.platform.headers import build_server_headers
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.chainhold import ChainHold
from vaneturn_node.traffic.serving.clientstream import ClientStream
from vaneturn_node.traffic.serving.events import EventSplitter
from vaneturn_node.traffic.serving.heads import take_head
from vaneturn_node.traffic.serving.outcomes import Answered, MayHaveRun, NotRun, TryOutcome
from vaneturn_node.traffic.serving.repair import ChainRepair, TryOverError
from vaneturn_node.traffic.serving.requests import RequestInProgress

HEAD_OVERDUE: Final = 0.2  # seconds without the first event; most come in 0.16 s, and should in 0.5 s
ASK_AGAIN: Final = 0.1  # seconds between questions while nothing comes
# the same, after a look that says little: the first server was silent once, or a part had just worked for another
# request, whose loss then showed 0.1 s later in a third of the pauses
ASK_SOON: Final = 0.025
MOVE_GAP: Final = 0.25  # seconds after a try that was turned away; a server that lacks room rests as long

T = TypeVar("T")

logger = logging.getLogger(__name__)


OnTaken = Callable[[], Awaitable[None]]


class StreamTry:
    """One send of a request."""

    def __init__(
        self,
        *,
        parts: TrafficParts,
        work: RequestInProgress,
        chooser: ChainChooser,
        chain: Chain,
        client: ClientStream,
        find_next: FindNext,
        on_taken: OnTaken | None = None,
    ) -> None:
        """Prepare a send.

        :param find_next: prepares another try, paid from the retry budget; none without a chain or budget for it.
        :param on_taken: called when a server has taken the request; until then this try is in nobody's place, and is
            over as soon as it cannot go on.
        """
        self._parts = parts
        self._work = work
        self._hold = ChainHold(parts, work, chooser, chain)
        self._client = client
        self._find_next = find_next
        self._on_taken = on_taken
        self._link: HttpLink | None = None
        self._events = 0  # that came over this try
        self._heard_from = float("inf")  # steady time of the first of them
        self._is_replaced = False  # another try has taken its place
        self._is_back = False  # it went on while another one opened, which has to end
        self._moves_from = float("-inf")  # steady time from which another try may be sent
        self._repair = ChainRepair(parts, work, self._hold, client, self._move)

    @property
    def _first(self) -> BackendServer:
        return self._hold.first

    @property
    def _suspicion(self) -> Suspicion | None:
        if self._work.is_sound:
            return None
        return Suspicion.BEGUN if self._events else Suspicion.UNHEARD

    async def run(self) -> TryOutcome | None:
        """Get the answer over the chain; none when it has ended in full."""
        end: TryOutcome | None = MayHaveRun("cancelled")
        try:
            end = await self._converse()
        except TryOverError as over:
            end = over.end
        except LinkError as error:
            end = await self._note_lost(error)
        except anyio.get_cancelled_exc_class():
            self._hold.count_run()
            raise
        finally:
            is_whole = not self._is_replaced and (end is None or isinstance(end, Answered | NotRun))
            await self._close(is_whole=is_whole)
        self._work.may_have_run = self._work.may_have_run or isinstance(end, MayHaveRun)
        if not self._is_replaced and isinstance(end, NotRun | MayHaveRun):
            self._work.note(end.cause)
        return end

    async def _converse(self) -> TryOutcome | None:
        work = self._work
        if not await self._parts.permits.obtain(self._first.id):
            self._parts.find_budget(work.service).take_back(is_first=not work.sends)
            return NotRun(f"{self._first.id} has no room by its rate limit", is_limited=True)
        work.sends += 1
        self._client.pace.mark(Stage.WENT_ON, read_clock())
        self._hold.take()
        self._link = link = await self._parts.pool.acquire(self._first.address)
        obstacle = work.find_obstacle(self._parts.beliefs[self._first.id])
        if obstacle is not None:
            return NotRun(obstacle)
        dispatch = work.make_dispatch(
            self._first.name, self._hold.chain, self._client.last_event, is_resumed=self._client.is_begun
        )
        headers = build_server_headers(work.request.headers, dispatch)
        self._hold.sent_at = read_clock()
        await link.send(work.request.method, work.request.target, headers, work.request.body, work.left)
        head = await self._wait_for(link.read_head, HEAD_OVERDUE)
        failure = await take_head(self._parts, work, self._hold, link, head)
        if failure is not None:
            return failure
        if self._on_taken is not None:
            await self._on_taken()
            self._on_taken = None
        await self._relay_events(link, head)
        return None

    async def _relay_events(self, link: HttpLink, head: AnswerHead) -> None:
        splitter = EventSplitter()
        self._client.take_head(head)
        while True:
            overdue = self._parts.patience.compute(self._client.pace, self._work.route.pause_objective)
            data = await self._wait_for(link.read_data, overdue)
            if data is None:
                await self._client.end(splitter)
                self._parts.crash_watch.note_sound(self._first, self._work.content)
                return
            passed = await self._client.pass_on(splitter, data)
            if passed:
                self._events += passed
                self._work.events += passed
                self._hold.note_heard()
                self._note_running()

    def _note_running(self) -> None:
        """Take note that the server has run the request for a while: it does not end servers."""
        now = read_clock()
        self._heard_from = min(self._heard_from, now)
        if not self._work.is_sound and now - self._heard_from >= STARTING_TIME:
            self._work.is_sound = True
            self._parts.crash_watch.note_sound(self._first, self._work.content)

    async def _close(self, *, is_whole: bool) -> None:
        """Give back what was reserved; a server whose answer has not ended stops its work."""
        if not self._hold.is_taken:
            return
        self._hold.give_back()
        if self._link is not None:
            await self._parts.release(self._link, self._first.address, is_whole=is_whole)

    async def _note_lost(self, error: LinkError) -> TryOutcome:
        """Decide what a lost connection says of the first server, and of the request."""
        self._work.avoided.add(self._first.id)
        if not error.is_unresponsive or await self._parts.hears_others({self._first.id}, self._hold.taken_at):
            self._parts.note_lost(self._first.id)
        if not error.was_sent:
            return NotRun(error.cause, is_silent=True)
        self._hold.count_run()
        if not error.is_unresponsive and await self._parts.crash_watch.note_cut(
            self._first, self._work.content, self._suspicion
        ):
            self._hold.uncount_run()
        return MayHaveRun(f"{error.cause}, after {self._events} events")

    async def _wait_for(self, read: Callable[[float], Awaitable[T]], wait: float) -> T:
        """Wait for the head or for data; while nothing comes, look for the part that is lost.

        :raises LinkError: the connection was lost.
        :raises TryOverError: another try has taken the place of this one, or it cannot go on.
        """
        while True:
            try:
                return await read(wait)
            except LinkError as error:
                if not error.is_unresponsive:
                    raise
            if self._work.left <= 0:
                self._hold.count_run()
                raise TryOverError(MayHaveRun("time is up"))
            await self._repair.look_for_loss()
            wait = ASK_SOON if self._repair.should_look_soon else ASK_AGAIN

    async def _move(self, cause: str, *, is_gone: bool) -> None:
        """Go on with another try, where there is one; this one is kept until a server has taken the other.

        Of 63 streams that were broken off in 12 s, 58 had ended a try that still worked, and then had no budget for
        the next one.

        :param is_gone: whether the run on the first server counts no more.
        :raises TryOverError: another try has taken the place of this one, or this one cannot go on.
        """
        if self._on_taken is not None:
            if not is_gone:
                self._hold.count_run()
            raise TryOverError(MayHaveRun(cause))
        work = self._work
        if is_gone and self._suspicion is not None:
            self._parts.crash_watch.note_silent(self._first, work.content, self._suspicion)
        runs = work.runs + (not self._hold.is_counted) - is_gone
        if not work.route.may_repeat or runs >= work.route.max_attempts:
            work.note_wait(f"{cause}; waits")
            return
        if read_clock() >= self._moves_from:
            await self._try_next(cause, is_gone=is_gone)
        work.note_wait(f"{cause}; waits")
        work.avoided.clear()  # those that are lost or full rest; the others may serve by now

    async def _try_next(self, cause: str, *, is_gone: bool) -> None:
        work = self._work
        work.avoided.add(self._first.id)
        successor = self._find_next(partial(self._give_way, is_gone=is_gone))
        if successor is None:
            return
        work.note(cause)
        self._hold.count_run()
        end: TryOutcome | None = None
        self._is_back = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_return, tasks.cancel_scope)
            end = await successor.run()
            tasks.cancel_scope.cancel()
        if isinstance(end, Answered) and not self._client.is_begun:
            await self._give_way(is_gone=is_gone)
        if self._is_replaced:
            raise TryOverError(end)
        self._moves_from = read_clock() + MOVE_GAP

    async def _watch_return(self, scope: anyio.CancelScope) -> None:
        """End the next try when this one goes on before a server has taken that."""
        assert self._link is not None  # noqa: S101 # without one there is no try to keep
        try:
            await self._link.wait_for_more(self._work.left)
        except LinkError as error:
            logger.debug("kept try lost", extra={"cause": error.cause})  # its next read says so as well
            return
        if not self._is_replaced:
            self._work.note("goes on where it was")
            self._is_back = True
            scope.cancel()

    async def _give_way(self, *, is_gone: bool) -> None:
        """Leave the request to another try.

        :raises TryOverError: that one comes too late; both were given up when its head came in the turn of the return.
        """
        if self._is_back:
            raise TryOverError(MayHaveRun("the one before went on"))
        self._is_replaced = True
        self._work.may_have_run = True
        if is_gone:
            self._hold.uncount_run()
        await self._close(is_whole=False)


FindNext = Callable[[OnTaken], StreamTry | None]


__all__ = ["FindNext", "OnTaken", "StreamTry", "TryOutcome"]
