"""The metrics as text, and that a node imports the metrics library only when they are requested."""

from __future__ import annotations

import subprocess
import sys

from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.admission.prioritized import DemandScope
from vaneturn_core.traffic.state import SeenService
from vaneturn_node.traffic.process.metricstext import Gauges, render_metrics
from vaneturn_node.traffic.serving.metrics import MAX_CUSTOMERS, TrafficMetrics


def render(metrics: TrafficMetrics) -> list[str]:
    return (
        render_metrics(
            metrics, Gauges(view_age=0.5, crashes=2, servers=33, limited=3, epoch=4, closed=1, reported_nodes=8)
        )
        .decode()
        .splitlines()
    )


def test_requests_are_counted_by_ending_and_timed_by_route_and_customer() -> None:
    metrics = TrafficMetrics()
    metrics.observe("letter", "broker", "whole", 0.05)
    metrics.observe("letter", "broker", "whole", 0.3)
    metrics.observe("letter", "broker", "own 503 no_chain", 40.0)
    text = render(metrics)
    assert 'vaneturn_requests_total{ending="whole"} 2.0' in text
    assert 'vaneturn_requests_total{ending="own 503 no_chain"} 1.0' in text
    labels = 'customer="broker",le="{}",route="letter"'
    buckets = {"0.025": 0.0, "0.05": 1.0, "0.2": 1.0, "0.5": 2.0, "20.0": 2.0, "+Inf": 3.0}
    for bound, count in buckets.items():
        assert f"vaneturn_request_seconds_bucket{{{labels.format(bound)}}} {count}" in text
    assert 'vaneturn_request_seconds_count{customer="broker",route="letter"} 3.0' in text
    assert 'vaneturn_request_seconds_sum{customer="broker",route="letter"} 40.35' in text


def test_gauges_show_the_view() -> None:
    text = render(TrafficMetrics())
    assert "vaneturn_view_age_seconds 0.5" in text
    assert "vaneturn_server_ends 2.0" in text
    assert "vaneturn_store_epoch 4.0" in text
    assert "vaneturn_backend_servers 33.0" in text
    assert "vaneturn_rate_limited_servers 3.0" in text
    assert "vaneturn_closed_servers 1.0" in text
    assert "vaneturn_reported_nodes 8.0" in text


def test_admissions_are_counted_while_the_configuration_has_their_priority() -> None:
    """Counts of services and priorities that are gone would stay for as long as the process runs."""
    llm = ServiceName("llm")
    metrics = TrafficMetrics()
    metrics.restrict_admissions(DemandScope({llm: frozenset({0, 2})}))
    metrics.count_admission(llm, 2, "refused", "overloaded")
    metrics.count_admission(llm, 1, "admitted", "")
    counted = 'vaneturn_admissions_total{outcome="refused",priority="2",reason="overloaded",service="llm"} 1.0'
    assert [line for line in render(metrics) if line.startswith("vaneturn_admissions_total")] == [counted]
    metrics.restrict_admissions(DemandScope({llm: frozenset({0, 1})}))
    assert not metrics.admissions


def test_limit_and_requests_in_progress_are_shown_by_service() -> None:
    service = SeenService("llm", 40.5, 38.0, 3, 0.7, None, {}, {}, {})
    gauges = Gauges(view_age=0.5, crashes=0, servers=3, limited=0, epoch=1, closed=0, services=[service])
    text = render_metrics(TrafficMetrics(), gauges).decode()
    assert 'vaneturn_admission_limit{service="llm"} 40.5' in text
    assert 'vaneturn_admission_in_progress{service="llm"} 38.0' in text
    assert 'vaneturn_admission_waiting{service="llm"} 3.0' in text


def test_labels_are_bounded() -> None:
    metrics = TrafficMetrics()
    for number in range(2 * MAX_CUSTOMERS):
        metrics.observe("letter", f"customer-{number}", "whole", 0.1)
    assert len(metrics.latencies) == MAX_CUSTOMERS + 1


def test_node_starts_without_importing_the_metrics_library() -> None:
    code = "import sys, vaneturn_node.traffic.process.daemon; sys.exit('prometheus_client' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
