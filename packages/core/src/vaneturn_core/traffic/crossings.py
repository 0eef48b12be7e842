"""Which requests may cross from hall to hall when no hall can run them alone.

Load pattern: so many servers are lost that no hall holds all layers, or halls are full. Chains over halls then move
the activations of each prompt over pipes that all requests share. More requests than the pipes carry wait in one queue
until their clients leave: all are late, and what was moved for them is in vain. So each node lets as large a share of
its requests cross as the pipes carry of all requests, and turns the others away at once, with a time to come back.
"""

from __future__ import annotations

from typing import Final

PIPE_SHARE: Final = 0.8  # of the pipes' time that new requests may take; detours of others need them as well


def compute_crossing_share(rate: float, nodes: int, pipe_time: float) -> float:
    """Compute the share of requests that may cross.

    :param rate: streams a second of this node; the others are taken to be alike.
    :param nodes: that share the pipes.
    :param pipe_time: seconds of the pipes that one request takes, over all its crossings.
    """
    demand = rate * nodes * pipe_time
    return 1.0 if demand <= PIPE_SHARE else PIPE_SHARE / demand


__all__ = ["PIPE_SHARE", "compute_crossing_share"]
