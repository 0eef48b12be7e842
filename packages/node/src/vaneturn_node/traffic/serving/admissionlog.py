"""Logs and counts the requests of prioritized services, and records why one waited or was refused."""

from __future__ import annotations

import logging
from enum import Enum
from typing import Final

import msgspec

from vaneturn_core.traffic.state import AdmissionRecord
from vaneturn_node.traffic.serving.admissionrequest import AdmissionRequest
from vaneturn_node.traffic.serving.metrics import TrafficMetrics
from vaneturn_node.traffic.serving.outcomes import OwnAnswer
from vaneturn_node.traffic.serving.serviceadmission import ServiceAdmission, round_shown

# described in the inspection, not in the log line of each request
_INSPECTED_ONLY: Final = ("shares", "customer_rates", "customers")

logger = logging.getLogger(__name__)


class AdmissionOutcome(Enum):
    """What became of a request that asked for admission; the values appear in logs and metrics."""

    ADMITTED = "admitted"
    WAITED = "waited"  # admitted after it waited
    REFUSED = "refused"
    LEFT = "left"  # while it waited: its client left, or its deadline was reached
    DROPPED = "dropped"  # while it waited: a new configuration no longer serves it in this way


class AdmissionLog:
    """Reports what became of requests that asked for admission."""

    def __init__(self, metrics: TrafficMetrics) -> None:
        self._metrics = metrics

    def count_admitted(self, request: AdmissionRequest) -> None:
        """Count a request that was admitted at once."""
        self._count(request, AdmissionOutcome.ADMITTED, "")

    def report(
        self,
        request: AdmissionRequest,
        admission: ServiceAdmission,
        outcome: AdmissionOutcome,
        answer: OwnAnswer | None = None,
    ) -> None:
        """Count, log and record a request that was not admitted at once."""
        context, decision = request.context, request.decision
        assert decision is not None  # noqa: S101 # it is reported after the decision
        reason = answer.reason.value if answer is not None else ""
        self._count(request, outcome, reason)
        record = AdmissionRecord(
            service=context.service,
            verdict=outcome.value,
            priority=request.key.priority,
            share=round_shown(decision.share),
            in_progress=round_shown(decision.in_progress),
            limit=round_shown(decision.limit),
            age=round_shown(decision.age),
            waited=round_shown(request.waited),
            expected_wait=None if request.expected_wait is None else round_shown(request.expected_wait),
            retry_after=None if answer is None or answer.retry_after is None else round_shown(answer.retry_after),
            shares=admission.list_shares(),
            customer_rates=admission.list_customer_rates(),
            customers=admission.list_customers(),
        )
        context.admission = record
        context.add_step(f"admission: {outcome.value} {reason}".rstrip())
        extra = {
            "request": context.facts.id,
            "route": context.route.name,
            "customer": context.customer.name if context.customer is not None else "",
            "reason": reason,
            **{name: value for name, value in msgspec.structs.asdict(record).items() if name not in _INSPECTED_ONLY},
        }
        logger.info("request not admitted at once", extra=extra)

    def _count(self, request: AdmissionRequest, outcome: AdmissionOutcome, reason: str) -> None:
        self._metrics.count_admission(request.key.service, request.key.priority, outcome.value, reason)


__all__ = ["AdmissionLog", "AdmissionOutcome"]
