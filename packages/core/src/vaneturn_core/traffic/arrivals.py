"""The rate of requests that arrive at a node, refused ones included."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

WINDOW_S: Final = 10.0  # long, since a node of a large fleet gets only about one request in that time


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
        oldest = self._clock() - WINDOW_S
        while self._times and self._times[0] < oldest:
            self._times.popleft()
        return len(self._times) / WINDOW_S


__all__ = ["WINDOW_S", "ArrivalRate"]
