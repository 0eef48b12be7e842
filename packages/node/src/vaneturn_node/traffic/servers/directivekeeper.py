"""Applies the directives that servers send with their answers, and logs changes."""

from __future__ import annotations

import logging
import random
from typing import Final

from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.directives import ServerDirectives
from vaneturn_core.traffic.ratelimits import RateLimits
from vaneturn_core.traffic.servers import BackendServer, ServerId
from vaneturn_node.clock import read_clock

MAX_REST_SPREAD_S: Final = 0.3  # spreads the return of nodes that were asked for rest at the same time
MAX_REMEMBERED: Final = 1024  # servers whose latest directives are kept, so that each change is logged once

logger = logging.getLogger(__name__)


class DirectiveKeeper:
    """Applies directives of servers to their status and rate limits."""

    def __init__(self, beliefs: ServerStatuses, limits: RateLimits) -> None:
        self._beliefs = beliefs
        self._limits = limits
        self._latest: dict[ServerId, ServerDirectives] = {}

    def apply(self, server: BackendServer, directives: ServerDirectives, sent_at: float) -> None:
        """Apply the directives of an answer.

        :param sent_at: monotonic time at which the request was sent.
        """
        now, belief = read_clock(), self._beliefs[server.id]
        if not directives.is_rate_unreadable:
            self._limits.note_answer(server.id, directives.rate_limit, sent_at, now)
        belief.is_leaving = belief.is_leaving or directives.is_leaving
        if directives.rest is not None:
            belief.take_rest(now + directives.rest + random.uniform(0.0, min(MAX_REST_SPREAD_S, directives.rest)))
        else:
            belief.note_taken(sent_at)
        if self._latest.get(server.id, ServerDirectives()) == directives:
            return
        if len(self._latest) >= MAX_REMEMBERED:
            self._latest.clear()
        self._latest[server.id] = directives
        extra = {
            "server": server.id,
            "rate_limit": directives.rate_limit,
            "rest": directives.rest,
            "leaving": directives.is_leaving,
            "sent_at": round(sent_at, 3),
        }
        logger.info("server directives changed", extra=extra)
        for fault in directives.faults:
            logger.warning("server directive not understood", extra={"server": server.id, "fault": str(fault)})


__all__ = ["DirectiveKeeper"]
