"""Start-time fair queueing: waiting work is taken in proportion to the weight of its flow."""

from __future__ import annotations

import bisect
import itertools
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(order=True)
class Place(Generic[T]):
    """A place in the queue; the smaller start tag is served first."""

    start: float
    number: int
    item: T = field(compare=False)


class FairQueue(Generic[T]):
    """A queue over flows; a flow that has waited little is not held back by one that asks much."""

    def __init__(self) -> None:
        self._places: list[Place[T]] = []
        self._numbers = itertools.count()
        self._virtual_time = 0.0
        self._finish: dict[str, float] = {}  # tags of flows that are ahead of the virtual time

    def __len__(self) -> int:
        return len(self._places)

    def count_ahead(self, flow: str) -> int:
        """Count the work that would be served before new work of a flow."""
        start = max(self._virtual_time, self._finish.get(flow, 0.0))
        return bisect.bisect_right(self._places, start, key=lambda place: place.start)

    def push(self, flow: str, weight: float, item: T) -> Place[T]:
        """Add work of a flow."""
        start = max(self._virtual_time, self._finish.get(flow, 0.0))
        self._finish[flow] = start + 1 / weight
        place = Place(start, next(self._numbers), item)
        bisect.insort(self._places, place)
        return place

    def pop(self) -> T:
        """Take the work that is next; the queue must not be empty."""
        place = self._places.pop(0)
        self._virtual_time = max(self._virtual_time, place.start)
        if not self._places:
            self._finish.clear()
        return place.item

    def remove(self, place: Place[T]) -> bool:
        """Take back work that no longer waits; false when it was popped already."""
        index = bisect.bisect_left(self._places, place)
        if index >= len(self._places) or self._places[index] is not place:
            return False
        del self._places[index]
        return True


__all__ = ["FairQueue", "Place"]
