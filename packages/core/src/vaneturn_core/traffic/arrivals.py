"""How many requests a second come to a node, those that it turns away included."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

WINDOW: Final = 10.0  # seconds; a node of a large fleet gets about one request in each


class ArrivalRate:
    """Counts requests in a sliding window."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._times: deque[float] = deque()

    def record(self) -> None:
        """Count a request."""
        self._times.append(self._clock())

    def compute(self) -> float:
        """Compute the requests a second."""
        oldest = self._clock() - WINDOW
        while self._times and self._times[0] < oldest:
            self._times.popleft()
        return len(self._times) / WINDOW


__all__ = ["WINDOW", "ArrivalRate"]
