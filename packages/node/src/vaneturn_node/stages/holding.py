"""What one engine holds: its own word, and the order that it has not answered yet."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from vaneturn_core.engine.messages import Hold, Holdings
from vaneturn_node.clock import read_clock

ANSWER_TIME: Final = 5.0  # seconds in which an engine says what it made of an order


@dataclass(frozen=True)
class _Ordered:
    """An order that the engine has not answered yet."""

    order: Hold
    is_valid: Callable[[], bool]
    until: float  # by the clock


class Holding:
    """Kept by the link; an order stands for the engine's word until the engine has spoken."""

    def __init__(self) -> None:
        self._said: Holdings | None = None
        self._ordered: _Ordered | None = None
        self._is_due = False
        self._has_missed = False  # an order before the newest one was not answered in time

    @property
    def is_ordered(self) -> bool:
        """Whether the engine has yet to say what it made of an order."""
        return self._ordered is not None and read_clock() < self._ordered.until

    @property
    def is_silent(self) -> bool:
        """Whether the engine has not answered an order in time, and has said nothing since."""
        return self._has_missed or (self._ordered is not None and not self.is_ordered)

    @property
    def holdings(self) -> Holdings | None:
        """What the engine holds, as if it had taken the order that it has not answered; none if it never said."""
        said, ordered = self._said, self._ordered
        if said is None or ordered is None or not self.is_ordered:
            return said
        parts = ordered.order.parts
        held = tuple(part for part in said.held if part in parts)
        loading = tuple(part for part in parts if part not in held)
        return Holdings(said.fence, held, loading, said.ending)

    def note(self, said: Holdings) -> None:
        """Take the engine's word, which answers any order."""
        self._said = said
        self._ordered = None
        self._has_missed = False

    def order(self, order: Hold, is_valid: Callable[[], bool]) -> None:
        """Make an order due; a newer one takes its place."""
        self._has_missed = self.is_silent
        self._ordered = _Ordered(order, is_valid, read_clock() + ANSWER_TIME)
        self._is_due = True

    def take_due_order(self) -> list[Hold]:
        """Take the order that is to be written now, unless its sender may not order any more."""
        if not self._is_due or self._ordered is None:
            return []
        self._is_due = False
        if self._ordered.is_valid():
            return [self._ordered.order]
        self._ordered = None
        return []

    def forget_order(self) -> None:
        """Forget an order that was lost with its connection."""
        self._ordered = None
        self._is_due = False
        self._has_missed = False


__all__ = ["ANSWER_TIME", "Holding"]
