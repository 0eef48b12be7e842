"""Delays before a node retries the store.

When the store is unreachable for all nodes, the relays report this, and each other node would then call the store
itself: 64 nodes with 0.4 s between calls make over a thousand calls in eight seconds, all refused and charged for, and
learn no more than a relay would. If the store refuses only the relays, the first call of each node succeeds. So a node
whose own call failed while a relay reported that it is out of touch keeps asking the relays and calls the store itself
only rarely: all nodes together then make about as many calls as a few nodes do.
"""

from __future__ import annotations

import random
from typing import Final

from vaneturn_core.backoff import compute_backoff

RETRY_DELAY_S: Final = 0.1  # with full jitter, doubled after each consecutive failure
MAX_RETRY_DELAY_S: Final = 0.8  # refused calls are charged for, and nodes may take a few seconds after an outage
DELAY_PER_NODE_S: Final = 0.05  # so that all nodes together make 20 calls per second
RELAY_RETRY_DELAY_S: Final = 0.3  # time until a relay that is out of touch is asked again: it answers immediately


def draw_retry(failures: int) -> float:
    """Draw the seconds until a node retries, from the number of consecutive failures."""
    return random.uniform(0, compute_backoff(RETRY_DELAY_S, MAX_RETRY_DELAY_S, failures))


def draw_store_retry(nodes: int, shortest_bound: float) -> float:
    """Draw the seconds for which a node does not call the store itself while the relays are out of touch as well.

    :param nodes: number of nodes that share the store.
    :param shortest_bound: seconds from a change in the store to the last request that may ignore it; a relay that stays
        out of touch when the store is back must not delay a node for longer.
    """
    longest = min(shortest_bound, max(MAX_RETRY_DELAY_S, DELAY_PER_NODE_S * nodes))
    return random.uniform(longest / 2, longest)


__all__ = ["MAX_RETRY_DELAY_S", "RELAY_RETRY_DELAY_S", "draw_retry", "draw_store_retry"]
