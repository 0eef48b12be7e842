"""The metrics of a node's traffic in text form.

Imported when an operator first asks for them: the library takes 58 modules along, and 3.7 of the 17.6 MB of a node that
has just started; after a loss of power of all nodes clients wait for its import.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from vaneturn_node.traffic.serving.metrics import LATENCY_BUCKETS_S, TrafficMetrics


@dataclass(frozen=True, slots=True)
class Gauges:
    """What is read when the metrics are asked for."""

    age: float  # seconds since the store confirmed what is believed
    ends: int  # of servers, that count against requests
    servers: int  # in the list
    limited: int  # servers that limit the rate of requests
    closed: int  # servers that asked this node for rest, or said that they leave


class TrafficCollector(Collector):
    """Gives what was counted as metrics of the library."""

    def __init__(self, metrics: TrafficMetrics, gauges: Gauges) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Give each metric."""
        endings = CounterMetricFamily("vaneturn_requests", "Requests by how they ended", labels=["ending"])
        for ending, count in self._metrics.endings.items():
            endings.add_metric([ending], count)
        yield endings
        yield self._collect_seconds()
        gauges = self._gauges
        yield GaugeMetricFamily("vaneturn_view_age_seconds", "Age of what is believed of the platform", gauges.age)
        yield GaugeMetricFamily("vaneturn_server_ends", "Ends of servers that count against requests", gauges.ends)
        yield GaugeMetricFamily("vaneturn_backend_servers", "Backend servers in the list", gauges.servers)
        yield GaugeMetricFamily("vaneturn_rate_limited_servers", "Backend servers with a rate limit", gauges.limited)
        yield GaugeMetricFamily("vaneturn_closed_servers", "Backend servers that want no requests", gauges.closed)

    def _collect_seconds(self) -> HistogramMetricFamily:
        labels = ["route", "customer"]
        seconds = HistogramMetricFamily("vaneturn_request_seconds", "Time of a whole request", labels=labels)
        bounds = [str(bound) for bound in (*LATENCY_BUCKETS_S, "+Inf")]
        for (route, customer), latencies in self._metrics.latencies.items():
            totals = itertools.accumulate(latencies.counts)
            seconds.add_metric([route, customer], list(zip(bounds, totals, strict=True)), latencies.seconds)
        return seconds


def render_metrics(metrics: TrafficMetrics, gauges: Gauges) -> bytes:
    """Give all metrics in text form."""
    registry = CollectorRegistry()
    registry.register(TrafficCollector(metrics, gauges))
    return generate_latest(registry)


__all__ = ["Gauges", "render_metrics"]
