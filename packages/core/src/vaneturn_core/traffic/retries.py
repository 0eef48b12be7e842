"""The part of the shared retry budget that this node may spend."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

USABLE_SHARE: Final = 0.85  # of the budget, since traffic is uneven and nodes count each other with a delay


class WindowedRetryBudget:
    """Counts the first sends to a service and the retries, in a sliding window."""

    def __init__(
        self, ratio: float, slack: float, window: float, count_nodes: Callable[[], int], clock: Callable[[], float]
    ) -> None:
        """Create the budget of one service.

        :param ratio: retries allowed per first send, over all nodes.
        :param slack: retries allowed per window beyond the ratio, over all nodes.
        :param window: length of the window in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._count_nodes = count_nodes
        self._clock = clock
        self._firsts: deque[float] = deque()
        self._seconds: deque[float] = deque()

    def record_first(self) -> None:
        """Record the first send of a request."""
        self._firsts.append(self._clock())
        self._forget()

    def spend(self) -> bool:
        """Spend one retry; false when this node has used up its part of the budget."""
        self._forget()
        if len(self._seconds) + 1 > self.compute_limit():
            return False
        self._seconds.append(self._clock())
        return True

    def take_back(self, *, is_first: bool) -> None:
        """Remove the newest send, because it was not made after all."""
        times = self._firsts if is_first else self._seconds
        if times:
            times.pop()

    def compute_limit(self) -> float:
        """Compute how many retries this node may make in the window."""
        return USABLE_SHARE * (self._ratio * len(self._firsts) + self._slack / max(1, self._count_nodes()))

    def _forget(self) -> None:
        oldest = self._clock() - self._window
        for times in (self._firsts, self._seconds):
            while times and times[0] < oldest:
                times.popleft()


__all__ = ["USABLE_SHARE", "WindowedRetryBudget"]
