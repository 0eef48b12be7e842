"""Looks for the lost parts of a chain while no event comes, and goes round them."""

from __future__ import annotations

from typing import Final, Protocol

from vaneturn_core.traffic.chain import Part
from vaneturn_core.traffic.pace import PauseStep
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.servers import OrderOutcome
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.lossfinding import LossFinder
from vaneturn_node.traffic.serving.chainhold import ChainHold
from vaneturn_node.traffic.serving.clientstream import ClientStream
from vaneturn_node.traffic.serving.outcomes import MayHaveRun, TryOutcome
from vaneturn_node.traffic.serving.requests import RequestInProgress

MAX_DETOURS: Final = 3


class TryOverError(Exception):
    """A try has ended before its answer; the end is that of the try that took its place, where one did."""

    def __init__(self, end: TryOutcome | None) -> None:
        super().__init__(repr(end))
        self.end = end


class Move(Protocol):
    """Goes on with another try, where there is one."""

    async def __call__(self, cause: str, *, is_gone: bool) -> None:
        """Go on for a cause; returns when there is no other try, or no server has taken it.

        :param is_gone: whether the run on the first server counts no more.
        :raises TryOverError: another try has taken the place of this one, or this one cannot go on.
        """


class ChainRepair:
    """Repairs the chain of one try."""

    def __init__(
        self, parts: TrafficParts, work: RequestInProgress, hold: ChainHold, client: ClientStream, move: Move
    ) -> None:
        self._parts = parts
        self._work = work
        self._hold = hold
        self._client = client
        self._move = move
        self._finder = LossFinder(parts, work.facts.id)

    @property
    def should_look_soon(self) -> bool:
        """Tell whether the newest look says little."""
        return self._finder.should_ask_soon

    async def look_for_loss(self) -> None:
        """Look for lost parts, and go round them, or on with another try.

        :raises TryOverError: another try has taken the place of this one, or it cannot go on.
        """
        pace = self._client.pace
        pace.record_step(PauseStep.PROBED, read_clock())
        borne = pace.get_step_time(PauseStep.PROBED)
        losses = await self._finder.find(self._hold.chain, usual_pause=pace.usual, borne=borne)
        if losses.is_first_gone or losses.parts:
            pace.record_step(PauseStep.FOUND, read_clock())
        if losses.is_first_gone:
            await self._pass_lost_first()
        elif self._hold.chain.parts[0] in losses.parts:
            await self._move("first server stalls", is_gone=False)
        elif losses.parts:
            await self._replace(losses.parts)

    async def _pass_lost_first(self) -> None:
        """Go on elsewhere, as the server that answers is silent; where nothing else can, its answer may still come."""
        self._hold.note_part_lost(self._hold.chain.parts[0])
        await self._move("first server lost", is_gone=True)
        is_all = self._client.is_begun or not self._work.route.may_repeat  # that this request can get
        first = self._hold.first.id
        has_left = first not in self._parts.view.servers or self._parts.reports.is_gone(first)
        if has_left or not is_all:
            self._hold.uncount_run()
            raise TryOverError(MayHaveRun("first server lost"))

    async def _replace(self, lost: list[Part]) -> None:
        """Take the request over other servers in place of the lost ones."""
        work = self._work
        work.note_wait(f"lost {[part.server.id for part in lost]}")
        for part in lost:
            self._hold.note_part_lost(part)
        for _ in range(MAX_DETOURS):
            work.avoided.update(part.server.id for part in lost)  # an unsuccessful move has forgotten them
            chain = self._hold.find_detour()
            if chain is None:
                await self._move("no server in place of the lost one", is_gone=False)
                return
            if chain.count_crossings() > self._hold.chain.count_crossings():
                await self._move("another hall reads the prompt sooner than it crosses the pipe", is_gone=False)
            self._client.pace.record_step(PauseStep.RESUMED, read_clock())
            outcome = await self._hold.order_detour(chain)
            if outcome is OrderOutcome.TAKEN:
                return
            if outcome is not OrderOutcome.CONFLICT:
                break
        await self._move("no detour", is_gone=False)


__all__ = ["ChainRepair", "Move", "TryOverError"]
