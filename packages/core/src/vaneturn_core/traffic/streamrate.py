"""The rate of the streams of all nodes, estimated from the streams in progress that nodes report.

By Little's law, the streams in progress are their rate times their mean duration. Refused streams are not in progress.
Nodes do not report them, so this node's rate of refused streams times the nodes is added.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.layermap import HOP_TIME_S, LayerMap
from vaneturn_core.traffic.loads import Loads
from vaneturn_core.traffic.servers import BackendServer, ServerId

MIN_WEIGHT: Final = 0.02  # of the newest stream; durations vary as much as their mean, 0.1 would leave an error of 23%
EXPECTATION_WEIGHT: Final = 8  # streams that count as much as the expected duration: short streams are the first to end


class MeanDuration:
    """Moving average of the durations of streams that have ended."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._count = 0

    def record(self, seconds: float) -> None:
        """Record the duration of a stream, from its send to its last event."""
        self._count += 1
        self._mean += max(MIN_WEIGHT, 1 / self._count) * (seconds - self._mean)

    def estimate(self, expected: float) -> float:
        """Estimate the mean duration.

        :param expected: seconds; counts as much as a few streams.
        """
        return (self._mean * self._count + expected * EXPECTATION_WEIGHT) / (self._count + EXPECTATION_WEIGHT)


class ServiceStreams(NamedTuple):
    """The streams of one service over all nodes."""

    in_progress: int
    duration_s: float  # mean


def compute_expected_duration(engine: EngineProfile, servers: Iterable[BackendServer]) -> float:
    """Compute the seconds of a usual answer without load, over servers with as many layers as are held on average."""
    held = time = 0.0
    count = 0
    for server in servers:
        kind = engine.kinds.get(server.kind or "")
        layers = sum(len(one) for one in server.layers)
        if kind is not None and layers:
            held += layers
            time += layers * kind.step_factor
            count += 1
    if not count:
        return engine.usual_answer * engine.step
    hops = engine.layers * count / held
    return engine.usual_answer * (engine.step * time / held + HOP_TIME_S * hops)


class ServiceServers(NamedTuple):
    """What the estimate needs of the list of servers of one service; computed once per list."""

    layer_map: LayerMap  # of the list
    ids: frozenset[ServerId]
    expected_duration_s: float

    @classmethod
    def derive(cls, layer_map: LayerMap) -> ServiceServers:
        """Derive it from the layer map of the service."""
        servers = layer_map.servers
        duration_s = compute_expected_duration(layer_map.engine, servers)
        return cls(layer_map, frozenset(server.id for server in servers), duration_s)

    def count_streams(self, own: Loads, others: Loads) -> int:
        """Count the streams in progress over all nodes whose first server is one of these."""
        return sum(load.leading for loads in (own, others) for server, load in loads.items() if server in self.ids)


def estimate_total_rate(services: Iterable[ServiceStreams], refused_rate: float, nodes: int) -> float:
    """Estimate the streams per second over all nodes, refused ones included.

    :param services: services whose streams share the inter-hall links.
    :param refused_rate: streams per second that this node refuses.
    :param nodes: number of nodes; the others are assumed to refuse as many.
    """
    return sum(one.in_progress / one.duration_s for one in services if one.duration_s > 0) + refused_rate * nodes


__all__ = [
    "EXPECTATION_WEIGHT",
    "MIN_WEIGHT",
    "MeanDuration",
    "ServiceServers",
    "ServiceStreams",
    "compute_expected_duration",
    "estimate_total_rate",
]
