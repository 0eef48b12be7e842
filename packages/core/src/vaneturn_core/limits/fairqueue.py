"""Start-time fair queueing: waiting work is served in proportion to the weight of its flow."""

from __future__ import annotations

import bisect
import itertools
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(order=True)
class QueueEntry(Generic[T]):
    """An entry of the queue; the smallest start tag is served first."""

    start: float
    sequence_number: int
    item: T = field(compare=False)


class FairQueue(Generic[T]):
    """A queue over flows; a flow with little work is not delayed by the backlog of another."""

    def __init__(self) -> None:
        self._entries: list[QueueEntry[T]] = []
        self._sequence_numbers = itertools.count()
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}  # finish tag of the newest entry of each flow

    def __len__(self) -> int:
        return len(self._entries)

    def count_ahead(self, flow: str) -> int:
        """Count the entries that would be served before new work of a flow."""
        start = max(self._virtual_time, self._finish_tags.get(flow, 0.0))
        return bisect.bisect_right(self._entries, start, key=lambda entry: entry.start)

    def push(self, flow: str, weight: float, item: T) -> QueueEntry[T]:
        """Add work to a flow."""
        start = max(self._virtual_time, self._finish_tags.get(flow, 0.0))
        self._finish_tags[flow] = start + 1 / weight
        entry = QueueEntry(start, next(self._sequence_numbers), item)
        bisect.insort(self._entries, entry)
        return entry

    def pop(self) -> T:
        """Remove and return the next work; the queue must not be empty."""
        entry = self._entries.pop(0)
        self._virtual_time = max(self._virtual_time, entry.start)
        if not self._entries:
            self._finish_tags.clear()
        return entry.item

    def remove(self, entry: QueueEntry[T]) -> bool:
        """Remove work that no longer waits; False if it was already popped."""
        index = bisect.bisect_left(self._entries, entry)
        if index >= len(self._entries) or self._entries[index] is not entry:
            return False
        del self._entries[index]
        return True


__all__ = ["FairQueue", "QueueEntry"]
