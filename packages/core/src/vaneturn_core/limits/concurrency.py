"""How many answers a node lets into a pipeline at once."""

from __future__ import annotations

import math
from typing import Final

UNEVENNESS: Final = 1.25  # the balancer does not spread requests quite evenly over the nodes
MIN_LIMIT: Final = 2


def compute_limit(bound: float, token_time: float, nodes: int) -> int:
    """Compute a node's share of the answers that the servers can carry at the wanted time between tokens.

    By Little's law a pipeline with a bound of b tokens a second that gives each answer a token in t seconds carries
    b * t answers; with more of them every answer becomes slower and none is served sooner.

    :param bound: of the pipeline, tokens a second.
    :param token_time: wanted between tokens, seconds.
    :param nodes: that share the pipeline.
    """
    return max(MIN_LIMIT, math.ceil(UNEVENNESS * bound * token_time / max(1, nodes)))


def weigh_class(weight: float, priority: int) -> float:
    """Weigh a class: one step of priority halves its share under load, so that none is starved."""
    return weight * 0.5**priority


__all__ = ["compute_limit", "weigh_class"]
