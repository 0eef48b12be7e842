"""The retry budgets of all services, and the log lines about retries that they decline."""

from __future__ import annotations

import logging
import zlib
from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from typing import Final

from vaneturn_core.identifiers import ServiceName, VmId
from vaneturn_core.traffic.nodeshare import NodeShare
from vaneturn_core.traffic.retries import RetryReason, SendClaim, WindowedRetryBudget
from vaneturn_core.traffic.settings import Bounds
from vaneturn_core.traffic.state import SeenRetryBudget
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock

DECLINE_LOG_GAP_S: Final = 1.0  # between two log lines about declined retries of a service

logger = logging.getLogger(__name__)


class RetryBudgets:
    """Creates the budget of each service on first use, and reports what the budgets are spent on."""

    def __init__(self, vm: VmId, bounds: Bounds, view: PlatformView, share: NodeShare) -> None:
        self._vm = vm
        self._bounds = bounds
        self._view = view
        self._share = share
        self._budgets: dict[ServiceName, WindowedRetryBudget] = {}
        self._logged_at: dict[ServiceName, float] = {}  # by service with declined retries

    def get(self, service: ServiceName) -> WindowedRetryBudget:
        """Return the budget of a service, creating it on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowedRetryBudget(
                self._bounds.retry_ratio,
                self._bounds.retry_slack,
                self._bounds.retry_window_s,
                compute_share=self._compute_share,
                clock=read_clock,
                rounding=zlib.crc32(f"{service}\0{self._vm}".encode()) / 2**32,
            )
        return budget

    def claim(self, service: ServiceName, reason: RetryReason | None, *, is_lent: bool) -> SendClaim | None:
        """Claim a send; none when it is a retry and this node has used up its part of the budget.

        :param reason: of a retry; none for the first send of a request.
        :param is_lent: whether another node has spent a retry on it.
        """
        if reason is None:
            return self.get(service).record_first()
        if is_lent:
            return SendClaim(read_clock(), reason, is_lent=True)
        claim = self.get(service).spend(reason)
        if claim is None:
            self._log_declined(service, reason)
        return claim

    @contextmanager
    def wait(self, service: ServiceName) -> Iterator[None]:
        """Give the retries of a service to requests that wait for one, before refused ones."""
        budget = self.get(service)
        budget.waiting += 1
        try:
            yield
        finally:
            budget.waiting -= 1

    def take_back(self, service: ServiceName, claim: SendClaim) -> None:
        """Remove a send that was not made after all."""
        self.get(service).take_back(claim)

    def record_outcome(self, service: ServiceName, claim: SendClaim, *, is_accepted: bool) -> None:
        """Record whether a server has accepted a send."""
        self.get(service).record_outcome(claim, is_accepted=is_accepted)

    def forget_absent(self, services: Collection[ServiceName]) -> None:
        """Forget services that the configuration no longer has, if nothing was spent on them in the window."""
        for service in [one for one in self._budgets if one not in services and not self._budgets[one].count_used()]:
            del self._budgets[service]
            self._logged_at.pop(service, None)

    def describe(self) -> list[SeenRetryBudget]:
        """Describe the budgets for operators."""
        return [
            SeenRetryBudget(
                service=service,
                limit=budget.compute_limit(),
                used=budget.count_used(),
                earned=budget.count_earned(),
                nodes=self._share.count_nodes(),
                sent=_name_reasons(budget.counts.sent),
                accepted=_name_reasons(budget.counts.accepted),
                declined=_name_reasons(budget.counts.declined),
            )
            for service, budget in self._budgets.items()
        ]

    def _compute_share(self) -> float:
        return self._share.compute(self._view.age)

    def _log_declined(self, service: ServiceName, reason: RetryReason) -> None:
        now = read_clock()
        if now - self._logged_at.get(service, float("-inf")) < DECLINE_LOG_GAP_S:
            return
        self._logged_at[service] = now
        budget = self.get(service)
        extra = {
            "service": service,
            "reason": reason.value,
            "limit": budget.compute_limit(),
            "used": budget.count_used(),
            "nodes": self._share.count_nodes(),
            "waiting": budget.waiting,
            "sent": _name_reasons(budget.counts.sent),
            "accepted": _name_reasons(budget.counts.accepted),
            "declined": _name_reasons(budget.counts.declined),
        }
        logger.info("retry budget used up", extra=extra)


def _name_reasons(counts: Counter[RetryReason]) -> dict[str, int]:
    return {reason.value: count for reason, count in counts.items()}


__all__ = ["DECLINE_LOG_GAP_S", "RetryBudgets"]
