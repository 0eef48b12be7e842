"""Counters and latency histograms of the traffic; another module renders them as text on request."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.admission.prioritized import DemandScope
from vaneturn_core.traffic.completeness import AnswerEnd
from vaneturn_node.traffic.serving.sends import Repeat

LATENCY_BUCKETS_S: Final = (0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)  # upper bounds
MAX_ROUTES: Final = 32  # labels; further routes share one
MAX_CUSTOMERS: Final = 64
OTHER_LABEL: Final = "other"


@dataclass(slots=True)
class Latencies:
    """The latency histogram of the requests of one route and customer."""

    counts: list[int] = field(
        default_factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1)
    )  # by bucket, and one beyond them
    seconds: float = 0.0  # sum over all requests


class AdmissionLabels(NamedTuple):
    """What became of a request to a prioritized service."""

    service: ServiceName
    priority: int
    outcome: str
    reason: str  # of a refusal


class TrafficMetrics:
    """Counts the requests of a node by ending, and their latencies by route and customer."""

    def __init__(self) -> None:
        self.endings: Counter[str] = Counter()
        self.latencies: dict[tuple[str, str], Latencies] = {}
        self.admissions: Counter[AdmissionLabels] = Counter()
        self.broken_answers: Counter[AnswerEnd] = Counter()  # of servers and other nodes, broken off
        self.repeats: Counter[Repeat] = Counter()
        self._scope = DemandScope()  # of the labels of admissions
        self._routes: set[str] = set()
        self._customers: set[str] = set()

    def observe(self, route: str, customer: str, ending: str, seconds: float) -> None:
        """Record a request that has ended."""
        self.endings[ending] += 1
        labels = _limit_label(route, self._routes, MAX_ROUTES), _limit_label(customer, self._customers, MAX_CUSTOMERS)
        latencies = self.latencies.setdefault(labels, Latencies())
        latencies.counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        latencies.seconds += seconds

    def count_admission(self, service: ServiceName, priority: int, outcome: str, reason: str) -> None:
        """Count a request to a prioritized service; one that outlives its service or priority is not counted."""
        if priority in self._scope.priorities.get(service, ()):
            self.admissions[AdmissionLabels(service, priority, outcome, reason)] += 1

    def restrict_admissions(self, scope: DemandScope) -> None:
        """Drop the counts of services and priorities that a new configuration no longer has."""
        self._scope = scope
        for labels in list(self.admissions):
            if labels.priority not in scope.priorities.get(labels.service, ()):
                del self.admissions[labels]


def _limit_label(label: str, known_labels: set[str], max_labels: int) -> str:
    if label not in known_labels and len(known_labels) >= max_labels:
        return OTHER_LABEL
    known_labels.add(label)
    return label


__all__ = ["LATENCY_BUCKETS_S", "AdmissionLabels", "Latencies", "TrafficMetrics"]
