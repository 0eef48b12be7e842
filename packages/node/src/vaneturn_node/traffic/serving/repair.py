"""Finds the lost parts of a chain while no event arrives, and replaces them."""

from __future__ import annotations

from typing import Final, Protocol

from vaneturn_core.traffic.chain import Part
from vaneturn_core.traffic.pace import PauseStep
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.servers import OrderOutcome
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.lossfinding import SLOWNESS_AGE_S, LossFinder
from vaneturn_node.traffic.serving.chainreservation import ChainReservation
from vaneturn_node.traffic.serving.clientstream import ClientStream
from vaneturn_node.traffic.serving.outcomes import MayHaveRun, TryOutcome
from vaneturn_node.traffic.serving.requests import RequestContext

MAX_DETOURS: Final = 3
PATH_CHECK_AGE_S: Final = 0.1  # a connection that was opened before says nothing about the path now
LOST_REQUEST_AGE_S: Final = 1.0  # without an event; half of the time after which clients leave
LOST_REQUEST_WAIT_S: Final = 0.5  # for a chain or a retry; the answer then still meets a client that leaves after 2 s


class TryEndedError(Exception):
    """A try has ended before its answer; `outcome` is that of the try that replaced it, if one did."""

    def __init__(self, outcome: TryOutcome | None) -> None:
        super().__init__(repr(outcome))
        self.outcome = outcome


class MoveToNextTry(Protocol):
    """Moves the request to another try, if there is one."""

    async def __call__(self, cause: str, *, is_first_lost: bool) -> None:
        """Move the request for the given cause; return if there is no other try, or no server has accepted it.

        :param is_first_lost: whether the first server is unresponsive, has ended or is cut off.
        :raises TryEndedError: another try has replaced this one, or this one cannot continue.
        """


class ChainRepair:
    """Repairs the chain of one try."""

    def __init__(
        self,
        parts: TrafficParts,
        context: RequestContext,
        reservation: ChainReservation,
        client: ClientStream,
        move: MoveToNextTry,
    ) -> None:
        self._parts = parts
        self._context = context
        self._reservation = reservation
        self._client = client
        self._move = move
        self._finder = LossFinder(parts, context.facts.id)
        self._asked_at = float("-inf")  # monotonic time at which the first server was asked for the request
        # monotonic time since which it has denied the request, or of the newest other try; None if it may know it
        self._lost_since: float | None = None
        self._probes_slowness_at = float("-inf")  # monotonic time of the next probes for slowness

    @property
    def should_probe_soon(self) -> bool:
        """Tell whether the newest probe was inconclusive."""
        return self._finder.should_check_soon

    async def repair_losses(self) -> None:
        """Probe the chain for lost parts; replace them, or move the request to another try.

        :raises TryEndedError: another try has replaced this one, or this one cannot continue.
        """
        pace = self._client.pace
        pace.record_step(PauseStep.PROBED, read_clock())
        borne = pace.get_step_time(PauseStep.PROBED)
        losses = await self._finder.find(self._reservation.chain, mean_gap=pace.usual, tolerated_silence=borne)
        if losses.reaches_none:
            await self._leave_lost_path()
            return
        if losses.is_first_lost or losses.parts:
            pace.record_step(PauseStep.FOUND, read_clock())
        if losses.is_first_lost:
            await self._handle_lost_first()
            return
        if self._reservation.chain.parts[0] in losses.parts:
            await self._move("first server stalls", is_first_lost=False)
        elif losses.parts and await self._replace_parts(losses.parts):
            return
        await self._find_lost_request()

    async def _leave_lost_path(self) -> None:
        """Move to another node if this one has lost its path to the servers; until one accepts, the try is kept.

        :raises TryEndedError: another try has replaced this one, or this one cannot continue.
        """
        if await self._parts.connectivity.check(self._context.service, read_clock() - PATH_CHECK_AGE_S):
            return
        if self._context.is_forwarded and self._context.may_repeat:
            self._reservation.count_run()  # until the servers count as cut off
            raise TryEndedError(MayHaveRun("no path to any server"))  # the first node asks another one
        await self._move("no path to any server", is_first_lost=True)

    async def _find_lost_request(self) -> None:
        """Move to another try if the first server, which answers probes, does not know the request.

        It may have lost the request with a connection that went silent, which no other request shows.

        :raises TryEndedError: another try has replaced this one, or this one cannot continue.
        """
        now = read_clock()
        if now - self._get_heard_at() < LOST_REQUEST_AGE_S:
            self._lost_since = None
            return
        if now - self._asked_at >= LOST_REQUEST_AGE_S:
            self._asked_at = now
            is_known = await self._reservation.is_known_to_server()
            self._lost_since = None if is_known else self._lost_since or now
        if self._lost_since is None:
            return
        self._context.was_lost_by_server = True
        cause = "first server does not know the request"
        sends = self._context.sends
        await self._move(cause, is_first_lost=False)  # there may be no other server, or no retry, until later
        if self._context.sends > sends:
            self._lost_since = read_clock()
        if self._context.may_repeat and self._should_give_up(read_clock() - self._lost_since):
            raise TryEndedError(MayHaveRun(cause))

    def _should_give_up(self, waited: float) -> bool:
        """Tell whether the try of a request that its server has lost ends, though no other try has replaced it.

        :param waited: seconds since the server has denied the request, or since the newest other try.
        """
        if self._client.is_resumed and not self._context.may_run_again:
            return True  # no other server may run it, but this one may once more
        return not self._client.is_begun and waited >= LOST_REQUEST_WAIT_S

    async def measure_slowness(self) -> None:
        """Ask the parts for their slowness, at most once in `SLOWNESS_AGE_S`, so that later requests avoid slow ones.

        Called while events are far apart: over servers that are all equally slow, pauses are regular and no event is
        overdue, so that nothing else would ask.
        """
        now = read_clock()
        if now >= self._probes_slowness_at:
            self._probes_slowness_at = now + SLOWNESS_AGE_S
            await self._finder.find_slow(self._reservation.chain)

    async def _handle_lost_first(self) -> None:
        """Move to another try, as the answering server is unresponsive.

        If none can replace this one, its answer may still arrive: a server may fall silent and go on, also one that
        leaves and whose entry is gone. Only a refused connection, or another start of the server, shows that it ended.
        """
        self._reservation.record_lost_part(self._reservation.chain.parts[0])
        await self._move("first server lost", is_first_lost=True)
        if self._parts.reports.is_gone(self._reservation.first_server.id):
            self._reservation.undo_run_count()
            raise TryEndedError(MayHaveRun("first server ended"))

    def _get_heard_at(self) -> float:
        """Return the monotonic time of the newest event, or of the send."""
        return max(self._reservation.sent_at, self._client.last_event_at or float("-inf"))

    async def _replace_parts(self, lost: list[Part]) -> bool:
        """Replace the lost parts with other servers; return whether the first server has taken the new chain."""
        context = self._context
        context.add_wait_step(f"lost {[part.server.id for part in lost]}")
        for part in lost:
            self._reservation.record_lost_part(part)
        for _ in range(MAX_DETOURS):
            context.avoided.update(part.server.id for part in lost)  # a move that failed has cleared them
            chain = self._reservation.find_detour()
            if chain is None:
                await self._move("no server in place of the lost one", is_first_lost=False)
                return False
            if chain.count_crossings() > self._reservation.chain.count_crossings():
                await self._move("another hall reads the prompt sooner than it crosses the pipe", is_first_lost=False)
            self._client.pace.record_step(PauseStep.RESUMED, read_clock())
            outcome = await self._reservation.order_detour(chain)
            if outcome is OrderOutcome.TAKEN:
                return True
            if outcome is not OrderOutcome.CONFLICT:
                break
        await self._move("no detour", is_first_lost=False)
        return False


__all__ = ["ChainRepair", "MoveToNextTry", "TryEndedError"]
