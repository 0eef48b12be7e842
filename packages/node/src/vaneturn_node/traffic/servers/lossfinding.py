"""Finds the parts of a chain that keep a stream from going on: lost, stalled or much too slow."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import anyio

from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.chain import Chain, Part
from vaneturn_core.traffic.chains import VERY_SLOW_FACTOR
from vaneturn_core.traffic.hearing import compute_answer_limit, compute_probe_timeout
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.view import MAX_SHOWN_AGE_S
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Failed
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.reports import REPORT_AGE

SLOW_PAUSE: Final = 0.1  # seconds between events on average, above which the parts are asked for their speed
SPEED_AGE: Final = 1.0  # seconds for which a server's word on its speed serves all requests
HEARD_AGE: Final = 0.08  # seconds for which a server that has worked for any request counts as alive
HEARD_SHARE: Final = 0.8  # of the silence that is borne, for which it does at most: all worked when that began
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

    def __init__(self, parts: TrafficParts, request: RequestId | None) -> None:
        self._parts = parts
        self._request = request  # its id, as the servers know it
        self._silences = 0  # questions to the first server without an answer
        self._logged: tuple[set[ServerId], bool] = (set(), True)
        self._has_spared = False  # parts that had worked for another request a moment ago

    @property
    def should_ask_soon(self) -> bool:
        """Tell whether the newest look says little: the first server was silent, or some parts were not asked."""
        return self._silences > 0 or self._has_spared

    async def find(self, chain: Chain, *, usual_pause: float, borne: float | None = None) -> Losses:
        """Ask the parts that nothing was heard of lately for a sign of life, and the first for what stalls.

        :param usual_pause: seconds between the events of this answer.
        :param borne: seconds of silence after which the first look was due; none before the first event.
        """
        heard_age = HEARD_AGE if borne is None else min(HEARD_AGE, HEARD_SHARE * borne)
        lost = await self._find_silent(chain, heard_age)
        if chain.parts[0] in lost:
            return Losses([], is_first_gone=self._is_first_gone(chain))
        self._silences = 0
        if usual_pause >= SLOW_PAUSE:
            lost += [part for part in await self._find_slow(chain) if part not in lost]
        stalled = self._find_stalled(chain)
        return Losses(lost if stalled is None or stalled in lost else [*lost, stalled])

    def _is_first_gone(self, chain: Chain) -> bool:
        first = chain.first.id
        enough = MAX_SILENCES if self._parts.beliefs[first].in_progress < MANY_QUIET else 1
        return self._silences >= enough or self._parts.reports.is_gone(first)

    async def _find_silent(self, chain: Chain, heard_age: float) -> list[Part]:
        """Find the parts that give no sign of life while others do; while this VM hears nobody, there are none."""
        started = read_clock()
        quiet = [part for part in chain.parts if self._parts.beliefs[part.server.id].token_at < started - heard_age]
        self._has_spared = len(quiet) < len(chain.parts)
        failed = await self._ask(quiet)
        refused = [part for part in failed if self._parts.reports.is_gone(part.server.id)]
        silent = [part for part in failed if part not in refused]
        if not silent:
            return refused
        self._silences += chain.parts[0] in silent
        is_hearing = 2 * len(silent) < len(quiet) and self._parts.hearing.has_reached_others_since(started)
        if not is_hearing:
            silent, is_hearing = await self._ask_again(chain, silent)
        self._log_silent(silent, len(quiet), started, is_hearing=is_hearing)
        if not is_hearing:
            self._silences = 0
            return refused
        return refused + silent

    async def _ask(self, parts: Sequence[Part], age: float = REPORT_AGE) -> list[Part]:
        """Ask parts for a sign of life; gives those that give none, or none while most others answer at once."""
        silent = list(parts)
        answers: list[float] = []
        began = anyio.current_time()

        async def ask(part: Part) -> None:
            if isinstance(await self._parts.reports.read(part.server, age), Failed):
                return
            silent.remove(part)
            answers.append(anyio.current_time() - began)
            limit = compute_probe_timeout(len(parts), answers)
            if limit is not None:
                tasks.cancel_scope.deadline = began + limit

        async with anyio.create_task_group() as tasks:
            for part in parts:
                tasks.start_soon(ask, part)
        return silent

    async def _ask_again(self, chain: Chain, silent: list[Part]) -> tuple[list[Part], bool]:
        """Ask the silent parts once more, beside others; gives those still silent, and whether this VM hears others."""
        asked_at, began = read_clock(), anyio.current_time()
        quiet = {part.server.id for part in silent}
        still = list(silent)

        async def ask() -> None:
            still[:] = await self._ask(silent, age=0.0)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            is_hearing = await self._parts.hears_others(quiet, asked_at)
            if is_hearing:
                tasks.cancel_scope.deadline = began + compute_answer_limit(anyio.current_time() - began)
        self._silences += chain.parts[0] in still
        return still, is_hearing

    def _log_silent(self, silent: list[Part], asked: int, started: float, *, is_hearing: bool) -> None:
        """Log who did not answer, of how many; while this VM hears nobody, that says nothing of them."""
        found = {part.server.id for part in silent}, is_hearing
        if found == self._logged:
            return
        self._logged = found
        now = read_clock()
        extra = {
            "request": self._request,
            "silent": [part.server.id for part in silent],
            "asked": asked,
            "hears_others": is_hearing,
            "took": round(now - started, 3),  # far over the time for two signs of life: this process was held up
            "heard_age": round(min(now - self._parts.beliefs.newest_token_at, MAX_SHOWN_AGE_S), 3),  # of any server
        }
        logger.info("servers silent", extra=extra)

    async def _find_slow(self, chain: Chain) -> list[Part]:
        """Find the parts that say of themselves that they are much slower than their kind."""
        slow: list[Part] = []

        async def ask(part: Part) -> None:
            report = await self._parts.reports.read(part.server, SPEED_AGE)
            if isinstance(report, Failed):
                return
            self._parts.beliefs[part.server.id].take_slowness(report.slowness, read_clock())
            if report.slowness >= VERY_SLOW_FACTOR:
                slow.append(part)

        async with anyio.create_task_group() as tasks:
            for part in chain.parts:
                tasks.start_soon(ask, part)
        return slow

    def _find_stalled(self, chain: Chain) -> Part | None:
        """Find the part that the first server waits for, by its newest report."""
        report = self._parts.reports.find(chain.first.id)
        if report is None or self._request is None:
            return None
        stalled = report.stalled.get(self._request)
        return next((part for part in chain.parts if part.server.address == stalled), None)


__all__ = ["LossFinder", "Losses"]
