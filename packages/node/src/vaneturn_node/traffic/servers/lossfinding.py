"""Finds the parts of a chain that block a stream because they are lost, stalled or much too slow."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import anyio

from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.chain import Chain, Part
from vaneturn_core.traffic.hearing import compute_answer_limit, compute_probe_timeout
from vaneturn_core.traffic.pathsearch import VERY_SLOW_FACTOR
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.view import MAX_SHOWN_AGE_S
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Failed
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.reports import REPORT_AGE_S

SLOW_GAP_S: Final = 0.1  # from this average gap between events on, the parts are asked for their slowness
SLOWNESS_AGE_S: Final = 1.0  # time for which a reported slowness is shared by all requests
HEARD_AGE_S: Final = 0.08  # time for which a server that has worked for any request counts as alive
# Limits HEARD_AGE_S to this share of the tolerated silence, because all parts were working when the silence began.
HEARD_AGE_SHARE: Final = 0.8
MAX_UNANSWERED: Final = 2  # unanswered probes until the first server counts as lost; its answer may still be complete
MANY_IN_PROGRESS: Final = 3  # on an unresponsive server; from this many requests on, one unanswered probe is enough

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ChainCheck:
    """Result of one check of a chain."""

    parts: list[Part]  # to be replaced
    is_first_lost: bool = False  # the first server, which sends the answer, has crashed or is unreachable
    reaches_none: bool = False  # no server has answered a probe


class LossFinder:
    """Checks the chain of one send of a request."""

    def __init__(self, parts: TrafficParts, request: RequestId | None) -> None:
        self._parts = parts
        self._request = request  # the id that was sent to the servers
        self._unanswered = 0  # unanswered probes of the first server
        self._logged: tuple[set[ServerId], bool] = (set(), True)
        self._reaches_none = False
        self._has_skipped = False  # whether parts were not probed because they had just worked for another request

    @property
    def should_check_soon(self) -> bool:
        """Whether the latest check was inconclusive: the first server did not respond, or parts were not probed."""
        return self._unanswered > 0 or self._has_skipped

    async def find(self, chain: Chain, *, mean_gap: float, tolerated_silence: float | None = None) -> ChainCheck:
        """Probe the parts that have not been heard from lately, and ask the first server which part stalls.

        :param mean_gap: seconds between the events of this answer.
        :param tolerated_silence: seconds of silence after which the first check was due; None before the first event.
        """
        heard_age = HEARD_AGE_S if tolerated_silence is None else min(HEARD_AGE_S, HEARD_AGE_SHARE * tolerated_silence)
        lost = await self._find_silent(chain, heard_age)
        if self._reaches_none:
            return ChainCheck([], reaches_none=True)
        if chain.parts[0] in lost:
            return ChainCheck([], is_first_lost=self._is_first_lost(chain))
        self._unanswered = 0
        if mean_gap >= SLOW_GAP_S:
            lost += [part for part in await self.find_slow(chain) if part not in lost]
        stalled = self._find_stalled(chain)
        return ChainCheck(lost if stalled is None or stalled in lost else [*lost, stalled])

    def _is_first_lost(self, chain: Chain) -> bool:
        first = chain.first.id
        max_unanswered = MAX_UNANSWERED if self._parts.beliefs[first].in_progress < MANY_IN_PROGRESS else 1
        return self._unanswered >= max_unanswered or self._parts.reports.is_gone(first)

    async def _find_silent(self, chain: Chain, heard_age: float) -> list[Part]:
        """Find the parts that do not respond while others do; none while this VM cannot reach any server."""
        started = read_clock()
        unheard = [part for part in chain.parts if self._parts.beliefs[part.server.id].token_at < started - heard_age]
        self._has_skipped = len(unheard) < len(chain.parts)
        unresponsive = list(unheard)
        await self._probe(unheard, unresponsive)
        self._reaches_none = False
        refused = [part for part in unresponsive if self._parts.reports.is_gone(part.server.id)]
        silent = [part for part in unresponsive if part not in refused]
        if len(refused) == len(unheard) and refused:  # they have crashed, or this node has lost its path
            self._reaches_none = not await self._parts.can_reach_others({part.server.id for part in refused}, started)
            return [] if self._reaches_none else refused
        if not silent:
            return refused
        self._unanswered += chain.parts[0] in silent
        is_connected = 2 * len(silent) < len(unheard) and self._parts.hearing.has_reached_others_since(started)
        if not is_connected:
            silent, is_connected = await self._probe_again(chain, silent)
        self._log_silent(silent, len(unheard), started, is_connected=is_connected)
        if not is_connected:
            self._unanswered = 0
            self._reaches_none = True
            return []
        if chain.parts[0] in silent:
            self._parts.silences.watch(chain.first, started)
        return refused + silent

    async def _probe(self, parts: Sequence[Part], silent: list[Part], max_age: float = REPORT_AGE_S) -> None:
        """Probe parts until all have responded, or most of them and the others are late.

        :param silent: the parts; each one that responds is removed at once, as the probes may be cancelled.
        """
        delays: list[float] = []
        began = anyio.current_time()

        async def probe(part: Part) -> None:
            report = await self._parts.reports.read(part.server, max_age)
            if isinstance(report, Failed) and not report.has_no_memory:
                return
            if not isinstance(report, Failed):
                self._parts.beliefs[part.server.id].take_slowness(report.slowness, read_clock())
            silent.remove(part)
            delays.append(anyio.current_time() - began)
            limit = compute_probe_timeout(len(parts), delays)
            if limit is not None:
                tasks.cancel_scope.deadline = began + limit

        async with anyio.create_task_group() as tasks:
            for part in parts:
                tasks.start_soon(probe, part)

    async def _probe_again(self, chain: Chain, silent: list[Part]) -> tuple[list[Part], bool]:
        """Probe the unresponsive parts and other servers; return the parts still unresponsive and if others respond."""
        probed_at, began = read_clock(), anyio.current_time()
        silent_ids = {part.server.id for part in silent}
        still_silent = list(silent)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._probe, silent, still_silent, 0.0)
            is_connected = await self._parts.can_reach_others(silent_ids, probed_at)
            if is_connected:
                tasks.cancel_scope.deadline = began + compute_answer_limit(anyio.current_time() - began)
        self._unanswered += chain.parts[0] in still_silent
        return still_silent, is_connected

    def _log_silent(self, silent: list[Part], probed_count: int, started: float, *, is_connected: bool) -> None:
        """Log which of the probed servers did not respond; not their fault while this VM cannot reach any server."""
        found = {part.server.id for part in silent}, is_connected
        if found == self._logged:
            return
        self._logged = found
        now = read_clock()
        extra = {
            "request": self._request,
            "silent": [part.server.id for part in silent],
            "asked": probed_count,
            "hears_others": is_connected,
            "took": round(now - started, 3),  # if far longer than two probes take, this process was delayed
            "heard_age": round(
                min(now - self._parts.beliefs.newest_token_at, MAX_SHOWN_AGE_S), 3
            ),  # since any server responded
        }
        logger.info("servers silent", extra=extra)

    async def find_slow(self, chain: Chain) -> list[Part]:
        """Find the parts that report themselves as much slower than others of their kind."""
        slow: list[Part] = []

        async def read_slowness(part: Part) -> None:
            report = await self._parts.reports.read(part.server, SLOWNESS_AGE_S)
            if isinstance(report, Failed):
                return
            self._parts.beliefs[part.server.id].take_slowness(report.slowness, read_clock())
            if report.slowness >= VERY_SLOW_FACTOR:
                slow.append(part)

        async with anyio.create_task_group() as tasks:
            for part in chain.parts:
                tasks.start_soon(read_slowness, part)
        return slow

    def _find_stalled(self, chain: Chain) -> Part | None:
        """Find the part that the first server waits for, according to its latest report."""
        report = self._parts.reports.find(chain.first.id)
        if report is None or self._request is None:
            return None
        stalled = report.stalled.get(self._request)
        return next((part for part in chain.parts if part.server.address == stalled), None)


__all__ = ["SLOWNESS_AGE_S", "SLOW_GAP_S", "ChainCheck", "LossFinder"]
