"""Admission of requests to chains that cross halls, when no hall can run them alone.

When many servers are lost or halls are full, chains across halls send the activations of each prompt over inter-hall
links that all requests share. If more requests cross than the links can carry, all of them queue until their clients
give up, and the transfers are wasted. So each node admits the share of its requests that the links can carry of all
requests, and refuses the others at once with a time to retry.
"""

from __future__ import annotations

from typing import Final

MAX_LINK_SHARE: Final = 0.8  # of the links' time, for new requests; the rest is for detours of requests under way


def compute_crossing_share(total_rate: float, link_time_s: float) -> float:
    """Compute the share of requests that may cross halls.

    :param total_rate: streams per second of all nodes that share the links.
    :param link_time_s: seconds of link time that one request uses, over all its crossings.
    """
    demand = total_rate * link_time_s
    return 1.0 if demand <= MAX_LINK_SHARE else MAX_LINK_SHARE / demand


__all__ = ["MAX_LINK_SHARE", "compute_crossing_share"]
