"""Prometheus metrics of a node."""

from __future__ import annotations

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from vaneturn_core.identifiers import ClassName, CustomerName

# customers beyond this number on a node share the label "other", so that 1,000 customers do not multiply
# its time series; affinity brings customers back to the same node, so each node sees its busy ones
MAX_CUSTOMER_LABELS: Final = 64
OTHER_CUSTOMERS: Final = "other"

_FIRST_TOKEN_BUCKETS: Final = (0.05, 0.1, 0.2, 0.3, 0.47, 0.7, 1.0, 2.0, 5.0, 15.0)
_BETWEEN_TOKENS_BUCKETS: Final = (0.005, 0.01, 0.02, 0.04, 0.058, 0.08, 0.15, 0.3, 1.0, 5.0)
_TOTAL_BUCKETS: Final = (0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 300.0)
_RECOVERY_BUCKETS: Final = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)
_LABELS: Final = ("work_class", "customer")


class Metrics:
    """All metrics that a node exports, in a separate registry."""

    def __init__(self) -> None:
        self.registry = registry = CollectorRegistry()
        self._customers: set[CustomerName] = set()
        self.first_token = Histogram(
            "vaneturn_first_token_seconds", "Time to the first token", _LABELS, buckets=_FIRST_TOKEN_BUCKETS,
            registry=registry,
        )  # fmt: skip
        self.between_tokens = Histogram(
            "vaneturn_between_tokens_seconds", "Time between tokens", _LABELS, buckets=_BETWEEN_TOKENS_BUCKETS,
            registry=registry,
        )  # fmt: skip
        self.total = Histogram(
            "vaneturn_request_seconds", "Time of a whole request", _LABELS, buckets=_TOTAL_BUCKETS, registry=registry
        )
        self.recovery = Histogram(
            "vaneturn_recovery_seconds", "Time from a lost stage to the next token", ("method",),
            buckets=_RECOVERY_BUCKETS, registry=registry,
        )  # fmt: skip
        self.outcomes = Counter(
            "vaneturn_requests", "Requests by outcome", ("work_class", "outcome", "reason"), registry=registry
        )
        self.in_progress = Gauge("vaneturn_requests_in_progress", "Requests in progress", registry=registry)
        self.tokens = Counter("vaneturn_tokens", "Generated tokens", registry=registry)
        self.rebuilt = Counter("vaneturn_rebuilt_positions", "Positions run again to rebuild caches", registry=registry)
        self.steps = Counter("vaneturn_steps", "Steps sent to servers", ("result",), registry=registry)
        self.dropped = Counter(
            "vaneturn_dropped_replies", "Replies that matched no awaited step", ("cause",), registry=registry
        )
        self.bound = Gauge(
            "vaneturn_throughput_bound_tokens", "Maximum flow in tokens a second", ("pipeline",), registry=registry
        )
        self.orders = Counter("vaneturn_hold_orders", "Orders to engines to hold parts of models", registry=registry)
        self.revision = Gauge("vaneturn_configuration_revision", "Revision in force", registry=registry)
        self.store_calls = Counter(
            "vaneturn_key_value_calls", "Calls on the key-value service", ("call", "result"), registry=registry
        )
        self.peer_bytes = Counter("vaneturn_peer_bytes", "Bytes between nodes", ("direction",), registry=registry)
        self.members = Gauge("vaneturn_members", "Nodes believed alive", registry=registry)

    def label_customer(self, customer: CustomerName) -> str:
        """Return the label of a customer, one of a bounded number."""
        if customer in self._customers:
            return customer
        if len(self._customers) >= MAX_CUSTOMER_LABELS:
            return OTHER_CUSTOMERS
        self._customers.add(customer)
        return customer

    def observe(self, histogram: Histogram, work_class: ClassName, customer: CustomerName, seconds: float) -> None:
        """Observe a duration with the labels of its class and customer."""
        histogram.labels(work_class, self.label_customer(customer)).observe(seconds)


__all__ = ["MAX_CUSTOMER_LABELS", "OTHER_CUSTOMERS", "Metrics"]
