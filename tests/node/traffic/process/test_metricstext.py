"""The metrics as text, and that a node imports the metrics library only when they are requested."""

from __future__ import annotations

import subprocess
import sys

from vaneturn_node.traffic.process.metricstext import Gauges, render_metrics
from vaneturn_node.traffic.serving.metrics import MAX_CUSTOMERS, TrafficMetrics


def render(metrics: TrafficMetrics) -> list[str]:
    return (
        render_metrics(metrics, Gauges(view_age=0.5, crashes=2, servers=33, limited=3, epoch=4, closed=1))
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


def test_labels_are_bounded() -> None:
    metrics = TrafficMetrics()
    for number in range(2 * MAX_CUSTOMERS):
        metrics.observe("letter", f"customer-{number}", "whole", 0.1)
    assert len(metrics.latencies) == MAX_CUSTOMERS + 1


def test_node_starts_without_importing_the_metrics_library() -> None:
    code = "import sys, vaneturn_node.traffic.process.daemon; sys.exit('prometheus_client' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
