"""Records of each ended request: metrics and one log line."""

from __future__ import annotations

import logging
import uuid
from dataclasses import dataclass, field

import msgspec

from vaneturn_core.configuration.schema import Customer
from vaneturn_core.identifiers import ClassName, RequestId, VmId
from vaneturn_core.operators import EndedRequest
from vaneturn_core.outcomes import NotRun, Unknown
from vaneturn_node.clock import read_clock
from vaneturn_node.http.ended import EndedRequests
from vaneturn_node.metrics import Metrics

logger = logging.getLogger(__name__)


@dataclass
class Account:
    """Times, tokens and outcome of one request."""

    metrics: Metrics
    ended: EndedRequests
    vm: VmId
    customer: Customer
    target: str  # pipeline or service
    id: RequestId = field(default_factory=lambda: RequestId(uuid.uuid4().hex))
    started: float = field(default_factory=read_clock)
    last_token: float | None = None
    tokens: int = 0

    def record_token(self) -> None:
        """Observe the time to this token."""
        now = read_clock()
        previous = self.started if self.last_token is None else self.last_token
        histogram = self.metrics.first_token if self.last_token is None else self.metrics.between_tokens
        self.metrics.observe(histogram, ClassName(self.customer.work_class), self.customer.name, now - previous)
        self.last_token = now
        self.tokens += 1

    def close(self, outcome: NotRun | Unknown | None) -> None:
        """Record the outcome; none means that the request was completed."""
        seconds = read_clock() - self.started
        work_class = ClassName(self.customer.work_class)
        name = "completed" if outcome is None else type(outcome).__name__.lower()
        reason = "" if outcome is None else outcome.reason.value
        self.metrics.observe(self.metrics.total, work_class, self.customer.name, seconds)
        self.metrics.outcomes.labels(work_class, name, reason).inc()
        ended = EndedRequest(
            self.id, self.customer.name, self.target, name, reason, round(seconds, 4), self.tokens, self.vm
        )
        self.ended.add(ended)
        logger.info("request ended", extra=msgspec.structs.asdict(ended))


__all__ = ["Account"]
