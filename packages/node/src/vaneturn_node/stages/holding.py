"""The holdings of one engine: its last report, and the order that it has not answered yet."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from vaneturn_core.engine.messages import Hold, Holdings
from vaneturn_node.clock import read_clock

ANSWER_TIMEOUT_S: Final = 5.0  # for an engine to answer an order with a report of its holdings


@dataclass(frozen=True)
class _PendingOrder:
    """An order that the engine has not answered yet."""

    order: Hold
    is_valid: Callable[[], bool]
    answer_due_at: float  # time of read_clock() at which the answer is overdue


class Holding:
    """Tracks reports and orders of a link; a pending order counts as executed until the engine reports."""

    def __init__(self) -> None:
        self._reported: Holdings | None = None
        self._pending: _PendingOrder | None = None
        self._is_due = False
        self._has_unanswered_order = False  # an order before the newest one was not answered in time

    @property
    def has_pending_order(self) -> bool:
        """Whether the engine still has time to answer an order."""
        return self._pending is not None and read_clock() < self._pending.answer_due_at

    @property
    def is_unresponsive(self) -> bool:
        """Whether the engine has not answered an order in time, and has not reported since."""
        return self._has_unanswered_order or (self._pending is not None and not self.has_pending_order)

    @property
    def holdings(self) -> Holdings | None:
        """The engine's holdings, as if it had accepted a pending order; None if it never reported any."""
        report, pending = self._reported, self._pending
        if report is None or pending is None or not self.has_pending_order:
            return report
        parts = pending.order.parts
        held = tuple(part for part in report.held if part in parts)
        loading = tuple(part for part in parts if part not in held)
        return Holdings(report.fence, held, loading, report.ending)

    def record_report(self, report: Holdings) -> None:
        """Record a report of the engine, which answers any pending order."""
        self._reported = report
        self._pending = None
        self._has_unanswered_order = False

    def order(self, order: Hold, is_valid: Callable[[], bool]) -> None:
        """Make an order due; it replaces an earlier one."""
        self._has_unanswered_order = self.is_unresponsive
        self._pending = _PendingOrder(order, is_valid, read_clock() + ANSWER_TIMEOUT_S)
        self._is_due = True

    def take_due_order(self) -> list[Hold]:
        """Return the order to be written now, if any; an order that is no longer valid is dropped."""
        if not self._is_due or self._pending is None:
            return []
        self._is_due = False
        if self._pending.is_valid():
            return [self._pending.order]
        self._pending = None
        return []

    def forget_order(self) -> None:
        """Forget the order that was lost with its connection."""
        self._pending = None
        self._is_due = False
        self._has_unanswered_order = False


__all__ = ["ANSWER_TIMEOUT_S", "Holding"]
