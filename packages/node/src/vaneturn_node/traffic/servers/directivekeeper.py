"""Takes what servers ask of this node, and logs what has changed."""

from __future__ import annotations

import logging
import random
from typing import Final

from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.directives import ServerDirectives
from vaneturn_core.traffic.ratelimits import RateLimits
from vaneturn_core.traffic.servers import BackendServer, ServerId
from vaneturn_node.clock import read_clock

MAX_SPREAD: Final = 0.3  # seconds over which nodes that were asked for rest at once return
MAX_REMEMBERED: Final = 1024  # servers whose newest directives are remembered, so that each change is logged once

logger = logging.getLogger(__name__)


class DirectiveKeeper:
    """What servers ask of this node."""

    def __init__(self, beliefs: ServerStatuses, limits: RateLimits) -> None:
        self._beliefs = beliefs
        self._limits = limits
        self._newest: dict[ServerId, ServerDirectives] = {}

    def take(self, server: BackendServer, directives: ServerDirectives, sent_at: float) -> None:
        """Take what an answer asks.

        :param sent_at: steady time at which the request of the answer was sent.
        """
        now, belief = read_clock(), self._beliefs[server.id]
        if not directives.is_rate_unreadable:
            self._limits.note_answer(server.id, directives.rate_limit, sent_at, now)
        belief.is_leaving = belief.is_leaving or directives.is_leaving
        if directives.rest is not None:
            belief.take_rest(now + directives.rest + random.uniform(0.0, min(MAX_SPREAD, directives.rest)))
        else:
            belief.note_taken(sent_at)
        if self._newest.get(server.id, ServerDirectives()) == directives:
            return
        if len(self._newest) >= MAX_REMEMBERED:
            self._newest.clear()
        self._newest[server.id] = directives
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
