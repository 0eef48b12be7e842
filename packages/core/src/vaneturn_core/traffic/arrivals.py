"""The rate of requests that arrive at a node, refused ones included."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

WINDOW: Final = 10.0  # seconds; long, since a node of a large fleet gets only about one request in that time


class ArrivalRate:
    """Counts requests in a sliding window."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._times: deque[float] = deque()

    def record(self) -> None:
        """Record a request."""
        self._times.append(self._clock())

    def compute(self) -> float:
        """Compute the requests per second."""
        oldest = self._clock() - WINDOW
        while self._times and self._times[0] < oldest:
            self._times.popleft()
        return len(self._times) / WINDOW


__all__ = ["WINDOW", "ArrivalRate"]
