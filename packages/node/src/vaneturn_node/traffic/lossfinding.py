"""Finds the parts of a chain that keep a stream from going on: lost, stalled or much too slow."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import Final

import anyio

from vaneturn_core.traffic.chain import Chain, Part
from vaneturn_core.traffic.chains import VERY_SLOW
from vaneturn_core.traffic.view import MAX_TOLD_AGE
from vaneturn_node.http1.caller import Failed
from vaneturn_node.traffic.exchange import TrafficParts
from vaneturn_node.traffic.requests import RequestInProgress

SLOW_PAUSE: Final = 0.1  # seconds between events on average, above which the parts are asked for their speed
SPEED_AGE: Final = 1.0  # seconds for which a server's word on its speed serves all requests
HEARD_AGE: Final = 0.08  # seconds for which a server that has worked for any request counts as alive
MAX_SILENCES: Final = 2  # questions without answer after which the first server counts as lost: its answer may be whole
MANY_QUIET: Final = 3  # requests that are all quiet on a server, as it was not heard of: one silence is enough

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Losses:
    """What one look has found."""

    parts: list[Part]  # to be replaced
    is_first_gone: bool = False  # the server that answers has ended, or is cut off


class LossFinder:
    """Looks on behalf of one send of a request."""

    def __init__(self, parts: TrafficParts, work: RequestInProgress) -> None:
        self._parts = parts
        self._work = work
        self._silences = 0  # questions to the first server without an answer

    async def find(self, chain: Chain, *, usual_pause: float) -> Losses:
        """Ask the parts that nothing was heard of lately for a sign of life, and the first for what stalls.

        :param usual_pause: seconds between the events of this answer.
        """
        lost = await self._find_silent(chain)
        if chain.parts[0] in lost:
            self._silences += 1
            return Losses([], is_first_gone=self._is_first_gone(chain))
        self._silences = 0
        if usual_pause >= SLOW_PAUSE:
            lost += [part for part in await self._find_slow(chain) if part not in lost]
        stalled = self._find_stalled(chain)
        return Losses(lost if stalled is None or stalled in lost else [*lost, stalled])

    def _is_first_gone(self, chain: Chain) -> bool:
        first = chain.first.id
        enough = MAX_SILENCES if self._parts.beliefs[first].in_progress < MANY_QUIET else 1
        return self._silences >= enough or self._parts.reports.is_refused(first)

    async def _find_silent(self, chain: Chain) -> list[Part]:
        silent: list[Part] = []
        started = time.monotonic()

        async def ask(part: Part) -> None:
            if isinstance(await self._parts.reports.read(part.server), Failed):
                silent.append(part)

        quiet = [part for part in chain.parts if self._parts.beliefs[part.server.id].heard_at < started - HEARD_AGE]
        async with anyio.create_task_group() as tasks:
            for part in quiet:
                tasks.start_soon(ask, part)
        if silent:
            self._log_silent(quiet, silent, started)
        return silent

    def _log_silent(self, quiet: list[Part], silent: list[Part], started: float) -> None:
        """Log who did not answer beside how many were asked: silence of all alike may be this VM's own."""
        now = time.monotonic()
        extra = {
            "request": self._work.facts.id,
            "silent": [part.server.id for part in silent],
            "asked": len(quiet),
            "took": round(now - started, 3),  # far over the time for a sign of life: this process was held up
            "heard_age": round(min(now - self._parts.beliefs.heard_at, MAX_TOLD_AGE), 3),  # of any server
        }
        logger.info("servers silent", extra=extra)

    async def _find_slow(self, chain: Chain) -> list[Part]:
        """Find the parts that say of themselves that they are much slower than their kind."""
        slow: list[Part] = []

        async def ask(part: Part) -> None:
            report = await self._parts.reports.read(part.server, SPEED_AGE)
            if isinstance(report, Failed):
                return
            self._parts.beliefs[part.server.id].take_slowness(report.slowness, time.monotonic())
            if report.slowness >= VERY_SLOW:
                slow.append(part)

        async with anyio.create_task_group() as tasks:
            for part in chain.parts:
                tasks.start_soon(ask, part)
        return slow

    def _find_stalled(self, chain: Chain) -> Part | None:
        """Find the part that the first server waits for, by its newest report."""
        report = self._parts.reports.find(chain.first.id)
        if report is None or self._work.facts.id is None:
            return None
        stalled = report.stalled.get(self._work.facts.id)
        return next((part for part in chain.parts if part.server.address == stalled), None)


__all__ = ["LossFinder", "Losses"]
