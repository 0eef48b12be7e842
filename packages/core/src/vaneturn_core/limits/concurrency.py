"""Concurrency limit of a node for a pipeline."""

from __future__ import annotations

import math
from typing import Final

IMBALANCE_HEADROOM: Final = 1.25  # the balancer does not distribute requests evenly over the nodes
MIN_LIMIT: Final = 2


def compute_limit(bound: float, token_time: float, nodes: int) -> int:
    """Compute a node's share of the answers that the servers can serve at the wanted time between tokens.

    By Little's law, a pipeline with a bound of b tokens per second that gives each answer a token every t seconds
    serves b * t answers; with more, every answer becomes slower and none is served sooner.

    :param bound: throughput bound of the pipeline in tokens per second.
    :param token_time: wanted seconds between tokens.
    :param nodes: number of nodes that share the pipeline.
    """
    return max(MIN_LIMIT, math.ceil(IMBALANCE_HEADROOM * bound * token_time / max(1, nodes)))


def compute_class_weight(weight: float, priority: int) -> float:
    """Compute the queue weight of a class: each priority level halves its share under load, so that none starves."""
    return weight * 0.5**priority


__all__ = ["compute_class_weight", "compute_limit"]
