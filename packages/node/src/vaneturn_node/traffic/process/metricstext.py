"""The metrics of a node's traffic in the text format of Prometheus.

Import this module only when metrics are first requested. The metrics library imports 58 modules and takes 3.7 MB of the
17.6 MB of a freshly started node, and when all nodes start after a power loss, clients would wait for its import.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from vaneturn_core.traffic.state import SeenRetryBudget, SeenService
from vaneturn_node.traffic.process.limits import ReachedLimit
from vaneturn_node.traffic.serving.metrics import LATENCY_BUCKETS_S, TrafficMetrics


@dataclass(frozen=True, slots=True)
class Gauges:
    """Values that are read at the time of the request."""

    view_age: float  # seconds since the store last confirmed the view
    crashes: int  # crashes of servers that count against requests
    servers: int  # listed backend servers
    limited: int  # servers with a rate limit
    epoch: int  # of the store; rises with each restore
    closed: int  # servers that asked this node for a rest or announced that they leave
    reported_nodes: int = 0  # whose demand is in the latest sum; 0 without prioritized services
    services: Sequence[SeenService] = ()  # prioritized ones
    errors: Mapping[str, int] = field(default_factory=dict)  # unexpected ones, by place
    rejected_watches: Mapping[str, int] = field(default_factory=dict)  # responses of the store, by reason
    retry_budgets: Sequence[SeenRetryBudget] = ()
    connection_conflicts: int = 0  # connections in use that were found among the idle ones
    lost_paths: int = 0  # services whose servers cannot be reached
    blocks: Mapping[str, int] = field(default_factory=dict)  # identities of blocked requests, by kind
    held_bytes: int = 0  # of all requests
    reached_limits: Sequence[ReachedLimit] = ()


class TrafficCollector(Collector):
    """Converts the counters and gauges to metrics of the library."""

    def __init__(self, metrics: TrafficMetrics, gauges: Gauges) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield each metric."""
        endings = CounterMetricFamily("vaneturn_requests", "Requests by how they ended", labels=["ending"])
        for ending, count in self._metrics.endings.items():
            endings.add_metric([ending], count)
        yield endings
        yield self._collect_broken_answers()
        yield self._collect_repeats()
        yield self._collect_latencies()
        yield from self._collect_admissions()
        yield from self._collect_retries()
        yield from self._collect_limits()
        gauges = self._gauges
        errors = CounterMetricFamily(
            "vaneturn_unexpected_errors", "Unexpected errors by what they ended", labels=["place"]
        )
        for place, count in gauges.errors.items():
            errors.add_metric([place], count)
        yield errors
        rejected = CounterMetricFamily(
            "vaneturn_rejected_watches", "Changes that the store sent and this node could not use", labels=["reason"]
        )
        for reason, count in gauges.rejected_watches.items():
            rejected.add_metric([reason], count)
        yield rejected
        yield GaugeMetricFamily("vaneturn_view_age_seconds", "Age of what is believed of the platform", gauges.view_age)
        yield GaugeMetricFamily("vaneturn_store_epoch", "Epoch of the store, which rises with restores", gauges.epoch)
        yield GaugeMetricFamily("vaneturn_server_ends", "Ends of servers that count against requests", gauges.crashes)
        blocks = GaugeMetricFamily("vaneturn_blocks", "Identities of requests that crash servers", labels=["kind"])
        for kind, count in gauges.blocks.items():
            blocks.add_metric([kind], count)
        yield blocks
        yield GaugeMetricFamily("vaneturn_backend_servers", "Backend servers in the list", gauges.servers)
        yield GaugeMetricFamily("vaneturn_rate_limited_servers", "Backend servers with a rate limit", gauges.limited)
        yield GaugeMetricFamily("vaneturn_lost_paths", "Services whose servers cannot be reached", gauges.lost_paths)
        conflicts = CounterMetricFamily(
            "vaneturn_connection_conflicts", "Connections in use that were found among the idle ones"
        )
        conflicts.add_metric([], gauges.connection_conflicts)
        yield conflicts
        yield GaugeMetricFamily("vaneturn_closed_servers", "Backend servers that want no requests", gauges.closed)
        yield GaugeMetricFamily("vaneturn_reported_nodes", "Nodes in the latest sum of demand", gauges.reported_nodes)

    def _collect_limits(self) -> Iterator[Metric]:
        yield GaugeMetricFamily("vaneturn_held_bytes", "Bytes held for all requests", self._gauges.held_bytes)
        reached = CounterMetricFamily(
            "vaneturn_reached_limits", "Requests and connections over a limit", labels=["limit", "outcome"]
        )
        for one in self._gauges.reached_limits:
            reached.add_metric([one.limit, "evicted"], one.evicted)
            reached.add_metric([one.limit, "refused"], one.refused)
        yield reached

    def _collect_broken_answers(self) -> CounterMetricFamily:
        labels = ["framing", "end", "body_end"]
        broken = CounterMetricFamily(
            "vaneturn_broken_answers", "Answers of servers that were broken off", labels=labels
        )
        for end, count in self._metrics.broken_answers.items():
            broken.add_metric([end.framing.value, end.ending.value, end.body_end.value], count)
        return broken

    def _collect_repeats(self) -> CounterMetricFamily:
        repeats = CounterMetricFamily(
            "vaneturn_repeated_sends",
            "Sends after the first of their request, by what shows that it had not run at the send before",
            labels=["must_run_once", "not_run"],
        )
        for repeat, count in self._metrics.repeats.items():
            repeats.add_metric([str(repeat.must_run_once).lower(), repeat.not_run], count)
        return repeats

    def _collect_admissions(self) -> Iterator[Metric]:
        admissions = CounterMetricFamily(
            "vaneturn_admissions",
            "Requests to prioritized services by what became of them",
            labels=["service", "priority", "outcome", "reason"],
        )
        for labels, count in self._metrics.admissions.items():
            admissions.add_metric([labels.service, str(labels.priority), labels.outcome, labels.reason], count)
        yield admissions
        limits = GaugeMetricFamily("vaneturn_admission_limit", "Limit of requests in progress", labels=["service"])
        in_progress = GaugeMetricFamily(
            "vaneturn_admission_in_progress", "Requests in progress over all nodes", labels=["service"]
        )
        waiting = GaugeMetricFamily("vaneturn_admission_waiting", "Waiting requests of this node", labels=["service"])
        for service in self._gauges.services:
            limits.add_metric([service.name], service.limit)
            in_progress.add_metric([service.name], service.in_progress)
            waiting.add_metric([service.name], service.waiting)
        yield from (limits, in_progress, waiting)

    def _collect_retries(self) -> Iterator[Metric]:
        retries = CounterMetricFamily(
            "vaneturn_retries",
            "Retries by reason: sent, accepted by a server, or declined for lack of budget",
            labels=["service", "reason", "outcome"],
        )
        limits = GaugeMetricFamily(
            "vaneturn_retry_limit", "Retries of the slack allowed in the window", labels=["service"]
        )
        used = GaugeMetricFamily("vaneturn_retries_used", "Retries of the slack in the window", labels=["service"])
        for budget in self._gauges.retry_budgets:
            limits.add_metric([budget.service], budget.limit)
            used.add_metric([budget.service], budget.used)
            outcomes = {"sent": budget.sent, "accepted": budget.accepted, "declined": budget.declined}
            for outcome, counts in outcomes.items():
                for reason, count in counts.items():
                    retries.add_metric([budget.service, reason, outcome], count)
        yield from (retries, limits, used)

    def _collect_latencies(self) -> HistogramMetricFamily:
        labels = ["route", "customer"]
        seconds = HistogramMetricFamily("vaneturn_request_seconds", "Time of a whole request", labels=labels)
        bounds = [str(bound) for bound in (*LATENCY_BUCKETS_S, "+Inf")]
        for (route, customer), latencies in self._metrics.latencies.items():
            totals = itertools.accumulate(latencies.counts)
            seconds.add_metric([route, customer], list(zip(bounds, totals, strict=True)), latencies.seconds)
        return seconds


def render_metrics(metrics: TrafficMetrics, gauges: Gauges) -> bytes:
    """Render all metrics as text."""
    registry = CollectorRegistry()
    registry.register(TrafficCollector(metrics, gauges))
    return generate_latest(registry)


__all__ = ["Gauges", "render_metrics"]
