"""Moving a hop of an answer in progress away from a server that is leaving or has become slow."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from vaneturn_core.configuration.schema import Server
from vaneturn_core.identifiers import VmId
from vaneturn_core.routing.health import ServerHealths
from vaneturn_core.routing.hops import Hop, Route
from vaneturn_core.routing.recovery import Method, Move, choose_method, estimate_import, estimate_rebuild
from vaneturn_node.answers.request import AnswerRequest
from vaneturn_node.clock import read_clock
from vaneturn_node.stages.cachemove import CacheMover

CHECK_INTERVAL_S: Final = 0.25  # between two checks of the hops of one answer
SLOW_RATIO: Final = 5.0  # a hop is moved if its latency exceeds its best latency by this factor
MIN_SLOW_LATENCY_S: Final = 0.03  # a step with a lower latency never counts as slow
MIN_SPEEDUP: Final = 3.0  # factor by which the new server must be expected to be faster
DEFAULT_PREFILL_RATIO: Final = 10.0  # rate of prompt positions to rate of generated tokens, until it is measured

logger = logging.getLogger(__name__)


class MoveCause(Enum):
    """The reason for moving a hop."""

    LEAVING = "leaving"
    SLOW = "slow"


@dataclass(frozen=True)
class MoveSuggestion:
    """A hop that should move."""

    index: int
    cause: MoveCause


class Mover:
    """Finds hops that should move and moves their caches; shared by all answers of a node."""

    def __init__(
        self, healths: ServerHealths, caches: CacheMover, find_server: Callable[[VmId], Server | None]
    ) -> None:
        self._healths = healths
        self._caches = caches
        self._find_server = find_server

    def suggest_move(self, route: Route) -> MoveSuggestion | None:
        """Find the first hop that should move."""
        for index, hop in enumerate(route.hops):
            health = self._healths[hop.vm]
            if health.leaving:
                return MoveSuggestion(index, MoveCause.LEAVING)
            if health.latency > max(MIN_SLOW_LATENCY_S, SLOW_RATIO * health.best_latency):
                return MoveSuggestion(index, MoveCause.SLOW)
        return None

    def is_improvement(self, suggestion: MoveSuggestion, old: Route, new: Route) -> bool:
        """Tell whether the new route is enough of a gain; it always is if a server is leaving."""
        if suggestion.cause is MoveCause.LEAVING:
            return True
        slow_latency = self._healths.estimate_latency(old.hops[suggestion.index].vm)
        added = [hop for hop in new.hops if hop not in old.hops]
        return MIN_SPEEDUP * sum(self._healths.estimate_latency(hop.vm) for hop in added) < slow_latency

    async def move_cache(self, request: AnswerRequest, old: Route, new: Route, index: int, positions: int) -> Method:
        """Transfer the cache of the old hop to the new one if that is expected to be faster than a rebuild.

        :return: the method to use; with Method.REBUILD the new hop still lacks the positions.
        """
        added = [hop for hop in new.hops if hop not in old.hops]
        lost = old.hops[index]
        if len(added) != 1 or (added[0].first, added[0].end) != (lost.first, lost.end):
            return Method.REBUILD
        old_server, new_server = self._find_server(lost.vm), self._find_server(added[0].vm)
        if old_server is None or new_server is None:
            return Method.REBUILD
        move = Move(
            positions=positions,
            layers=lost.end - lost.first,
            cache_bytes=request.pipeline.cache_bytes,
            old_hall=old_server.data_hall,
            new_hall=new_server.data_hall,
            node_hall=self._caches.hall,
        )
        estimates = {
            Method.IMPORT: estimate_import(move, self._caches.links),
            Method.REBUILD: estimate_rebuild(positions, self._list_position_seconds(new.hops[: index + 1])),
        }
        method = choose_method(estimates)
        started = read_clock()
        if method is Method.IMPORT and not await self._caches.move(request.session, old_server, new_server):
            method = Method.REBUILD
        logger.info(
            "cache moved",
            extra={
                "request": request.id,
                "old": lost.vm,
                "new": added[0].vm,
                "method": method.value,
                "estimates": {known.value: round(seconds, 4) for known, seconds in estimates.items()},
                "seconds": round(read_clock() - started, 4),
            },
        )
        return method

    def _list_position_seconds(self, hops: Sequence[Hop]) -> list[float]:
        return [self._healths[hop.vm].position_seconds or self._assume_position_seconds(hop) for hop in hops]

    def _assume_position_seconds(self, hop: Hop) -> float:
        """Derive the time for one position of a prompt from that for a token; a resumed route states no rates."""
        token_seconds = 1 / hop.rate if hop.rate else self._healths.estimate_latency(hop.vm)
        return token_seconds / DEFAULT_PREFILL_RATIO


__all__ = ["CHECK_INTERVAL_S", "MoveSuggestion", "Mover"]
