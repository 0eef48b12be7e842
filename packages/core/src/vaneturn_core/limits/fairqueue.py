"""Start-time fair queueing: waiting work is served in proportion to the weight of its flow."""

from __future__ import annotations

import bisect
import itertools
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(order=True)
class Place(Generic[T]):
    """An entry of the queue; the smallest start tag is served first."""

    start: float
    number: int
    item: T = field(compare=False)


class FairQueue(Generic[T]):
    """A queue over flows; a flow with little work is not delayed by the backlog of another."""

    def __init__(self) -> None:
        self._places: list[Place[T]] = []
        self._numbers = itertools.count()
        self._virtual_time = 0.0
        self._finish: dict[str, float] = {}  # finish tag of the newest entry of each flow

    def __len__(self) -> int:
        return len(self._places)

    def count_ahead(self, flow: str) -> int:
        """Count the entries that would be served before new work of a flow."""
        start = max(self._virtual_time, self._finish.get(flow, 0.0))
        return bisect.bisect_right(self._places, start, key=lambda place: place.start)

    def push(self, flow: str, weight: float, item: T) -> Place[T]:
        """Add work to a flow."""
        start = max(self._virtual_time, self._finish.get(flow, 0.0))
        self._finish[flow] = start + 1 / weight
        place = Place(start, next(self._numbers), item)
        bisect.insort(self._places, place)
        return place

    def pop(self) -> T:
        """Remove and return the next work; the queue must not be empty."""
        place = self._places.pop(0)
        self._virtual_time = max(self._virtual_time, place.start)
        if not self._places:
            self._finish.clear()
        return place.item

    def remove(self, place: Place[T]) -> bool:
        """Remove work that no longer waits; False if it was already popped."""
        index = bisect.bisect_left(self._places, place)
        if index >= len(self._places) or self._places[index] is not place:
            return False
        del self._places[index]
        return True


__all__ = ["FairQueue", "Place"]
