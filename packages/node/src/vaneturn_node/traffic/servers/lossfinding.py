"""Finds the parts of a chain that block a stream because they are lost, stalled or much too slow."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import anyio

from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.chain import Chain, Part
from vaneturn_core.traffic.chains import VERY_SLOW
from vaneturn_core.traffic.hearing import compute_answer_limit, compute_sign_time
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.view import MAX_TOLD_AGE
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Failed
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.reports import REPORT_AGE

SLOW_PAUSE: Final = 0.1  # seconds; from this average gap between events on, the parts are asked for their slowness
SPEED_AGE: Final = 1.0  # seconds for which a reported slowness is shared by all requests
HEARD_AGE: Final = 0.08  # seconds for which a server that has worked for any request counts as alive
# limits HEARD_AGE to this share of the tolerated silence, because all parts were working when the silence began
HEARD_SHARE: Final = 0.8
MAX_SILENCES: Final = 2  # unanswered probes until the first server counts as lost; its answer may still be complete
MANY_QUIET: Final = 3  # with this many requests in progress on an unresponsive server, one unanswered probe is enough

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Losses:
    """Result of one check of a chain."""

    parts: list[Part]  # to be replaced
    is_first_gone: bool = False  # the first server, which sends the answer, has crashed or is unreachable


class LossFinder:
    """Checks the chain of one send of a request."""

    def __init__(self, parts: TrafficParts, request: RequestId | None) -> None:
        self._parts = parts
        self._request = request  # the id that was sent to the servers
        self._silences = 0  # unanswered probes of the first server
        self._logged: tuple[set[ServerId], bool] = (set(), True)
        self._has_spared = False  # whether parts were not probed because they had just worked for another request

    @property
    def should_ask_soon(self) -> bool:
        """Whether the latest check was inconclusive: the first server did not respond, or parts were not probed."""
        return self._silences > 0 or self._has_spared

    async def find(self, chain: Chain, *, usual_pause: float, borne: float | None = None) -> Losses:
        """Probe the parts that have not been heard from lately, and ask the first server which part stalls.

        :param usual_pause: seconds between the events of this answer.
        :param borne: seconds of silence after which the first check was due; None before the first event.
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
        """Find the parts that do not respond while others do; none while this VM cannot reach any server."""
        started = read_clock()
        quiet = [part for part in chain.parts if self._parts.beliefs[part.server.id].heard_at < started - heard_age]
        self._has_spared = len(quiet) < len(chain.parts)
        failed = await self._ask(quiet)
        refused = [part for part in failed if self._parts.reports.is_gone(part.server.id)]
        silent = [part for part in failed if part not in refused]
        if not silent:
            return refused
        self._silences += chain.parts[0] in silent
        is_hearing = 2 * len(silent) < len(quiet) and self._parts.hearing.has_heard_since(started)
        if not is_hearing:
            silent, is_hearing = await self._ask_again(chain, silent)
        self._log_silent(silent, len(quiet), started, is_hearing=is_hearing)
        if not is_hearing:
            self._silences = 0
            return refused
        return refused + silent

    async def _ask(self, parts: Sequence[Part], age: float = REPORT_AGE) -> list[Part]:
        """Probe parts and return those that do not respond, or not in time once most of the others have responded."""
        silent = list(parts)
        answers: list[float] = []
        began = anyio.current_time()

        async def ask(part: Part) -> None:
            if isinstance(await self._parts.reports.read(part.server, age), Failed):
                return
            silent.remove(part)
            answers.append(anyio.current_time() - began)
            limit = compute_sign_time(len(parts), answers)
            if limit is not None:
                tasks.cancel_scope.deadline = began + limit

        async with anyio.create_task_group() as tasks:
            for part in parts:
                tasks.start_soon(ask, part)
        return silent

    async def _ask_again(self, chain: Chain, silent: list[Part]) -> tuple[list[Part], bool]:
        """Probe the unresponsive parts and other servers; return the parts still unresponsive and if others respond."""
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
        """Log which of the probed servers did not respond; not their fault while this VM cannot reach any server."""
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
            "took": round(now - started, 3),  # if far longer than two probes take, this process was delayed
            "heard_age": round(min(now - self._parts.beliefs.heard_at, MAX_TOLD_AGE), 3),  # since any server responded
        }
        logger.info("servers silent", extra=extra)

    async def _find_slow(self, chain: Chain) -> list[Part]:
        """Find the parts that report themselves as much slower than others of their kind."""
        slow: list[Part] = []

        async def ask(part: Part) -> None:
            report = await self._parts.reports.read(part.server, SPEED_AGE)
            if isinstance(report, Failed):
                return
            self._parts.beliefs[part.server.id].take_slowness(report.slowness, read_clock())
            if report.slowness >= VERY_SLOW:
                slow.append(part)

        async with anyio.create_task_group() as tasks:
            for part in chain.parts:
                tasks.start_soon(ask, part)
        return slow

    def _find_stalled(self, chain: Chain) -> Part | None:
        """Find the part that the first server waits for, according to its latest report."""
        report = self._parts.reports.find(chain.first.id)
        if report is None or self._request is None:
            return None
        stalled = report.stalled.get(self._request)
        return next((part for part in chain.parts if part.server.address == stalled), None)


__all__ = ["LossFinder", "Losses"]
