"""Choice of a route: servers are chosen in proportion to the flow, identically on nodes with the same view."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from typing import Final, Protocol

import xxhash

from vaneturn_core.identifiers import VmId
from vaneturn_core.routing.flow import Flow
from vaneturn_core.routing.hops import Hop, Route, find_reachable

LATENCY_RATIO: Final = 2.0  # the second server is chosen when the first is more than this many times slower
_HASH_RANGE: Final = float(1 << 64)


class LoadView(Protocol):
    """A node's view of the load of backend servers."""

    def is_full(self, vm: VmId) -> bool:
        """Tell whether the server's concurrency limit on this node is reached."""

    def estimate_latency(self, vm: VmId) -> float:
        """Estimate the seconds until the reply to one step, including link and queue."""


def choose_route(flow: Flow, layers: int, affinity: str, load: LoadView, avoided: Collection[VmId]) -> Route | None:
    """Choose a route that tiles all layers; None when the usable servers do not cover them.

    :param affinity: requests with the same affinity prefer the same servers, so that prompt prefixes are reused.
    :param avoided: servers that this answer must not use.
    """
    usable = {
        boundary: {hop: weight for hop, weight in boundary_hops.items() if hop.vm not in avoided}
        for boundary, boundary_hops in flow.hops.items()
    }
    reachable = find_reachable(usable, layers)
    if 0 not in reachable:
        return None
    selected: list[Hop] = []
    boundary = 0
    while boundary < layers:
        candidates = {hop: weight for hop, weight in usable[boundary].items() if hop.end in reachable}
        hop = _choose_hop(candidates, affinity, load)
        selected.append(hop)
        boundary = hop.end
    return Route(layers, tuple(selected))


def _choose_hop(weights: Mapping[Hop, float], affinity: str, load: LoadView) -> Hop:
    ranked = sorted(weights, key=lambda hop: _score(hop, weights[hop], affinity), reverse=True)
    available = [hop for hop in ranked if not load.is_full(hop.vm)] or ranked
    first, second = available[0], available[min(1, len(available) - 1)]
    second_latency = load.estimate_latency(second.vm)  # 0 when unknown, which is no reason to leave the first
    return second if 0 < LATENCY_RATIO * second_latency < load.estimate_latency(first.vm) else first


def _score(hop: Hop, weight: float, affinity: str) -> float:
    """Score a hop by weighted rendezvous hashing: over all affinities it wins in proportion to its weight."""
    return -weight / math.log(hash_to_unit(f"{affinity} {hop.vm} {hop.end}"))


def hash_to_unit(text: str) -> float:
    """Hash a text to a number between 0 and 1, uniformly and with the same result on every node."""
    return (xxhash.xxh3_64_intdigest(text.encode()) + 0.5) / _HASH_RANGE


__all__ = ["LATENCY_RATIO", "LoadView", "choose_route", "hash_to_unit"]
