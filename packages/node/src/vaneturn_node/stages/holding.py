"""The holdings of one engine: its last report, and the order that it has not answered yet."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from vaneturn_core.engine.messages import Hold, Holdings
from vaneturn_node.clock import read_clock

ANSWER_TIME: Final = 5.0  # seconds for an engine to answer an order with a report of its holdings


@dataclass(frozen=True)
class _Ordered:
    """An order that the engine has not answered yet."""

    order: Hold
    is_valid: Callable[[], bool]
    until: float  # time of read_clock() at which the answer is overdue


class Holding:
    """Tracks reports and orders of a link; a pending order counts as executed until the engine reports."""

    def __init__(self) -> None:
        self._said: Holdings | None = None
        self._ordered: _Ordered | None = None
        self._is_due = False
        self._has_missed = False  # an order before the newest one was not answered in time

    @property
    def is_ordered(self) -> bool:
        """Whether the engine still has time to answer an order."""
        return self._ordered is not None and read_clock() < self._ordered.until

    @property
    def is_silent(self) -> bool:
        """Whether the engine has not answered an order in time, and has not reported since."""
        return self._has_missed or (self._ordered is not None and not self.is_ordered)

    @property
    def holdings(self) -> Holdings | None:
        """The engine's holdings, as if it had accepted a pending order; None if it never reported any."""
        said, ordered = self._said, self._ordered
        if said is None or ordered is None or not self.is_ordered:
            return said
        parts = ordered.order.parts
        held = tuple(part for part in said.held if part in parts)
        loading = tuple(part for part in parts if part not in held)
        return Holdings(said.fence, held, loading, said.ending)

    def note(self, said: Holdings) -> None:
        """Record a report of the engine, which answers any pending order."""
        self._said = said
        self._ordered = None
        self._has_missed = False

    def order(self, order: Hold, is_valid: Callable[[], bool]) -> None:
        """Make an order due; it replaces an earlier one."""
        self._has_missed = self.is_silent
        self._ordered = _Ordered(order, is_valid, read_clock() + ANSWER_TIME)
        self._is_due = True

    def take_due_order(self) -> list[Hold]:
        """Return the order to be written now, if any; an order that is no longer valid is dropped."""
        if not self._is_due or self._ordered is None:
            return []
        self._is_due = False
        if self._ordered.is_valid():
            return [self._ordered.order]
        self._ordered = None
        return []

    def forget_order(self) -> None:
        """Forget the order that was lost with its connection."""
        self._ordered = None
        self._is_due = False
        self._has_missed = False


__all__ = ["ANSWER_TIME", "Holding"]
