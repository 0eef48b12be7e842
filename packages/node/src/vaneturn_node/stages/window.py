"""The window of steps that a node has in flight at one server."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import anyio

SLACK_FACTOR: Final = 1.5  # factor over the window that keeps the server busy on average, since replies arrive unevenly


class StepWindow:
    """Limits the steps in flight to as many as keep the server busy while the other hops are busy too.

    An engine runs all steps that have arrived as one batch. Without a window all answers of a node would end up in one
    batch that moves from stage to stage while the other stages idle. An answer over n hops is expected to spend 1/n of
    its time at each of them; the window is the sum of these shares, times SLACK.
    """

    def __init__(self) -> None:
        self._expected_steps = 0.0
        self._in_flight = 0
        self._waiting: deque[anyio.Event] = deque()

    @property
    def size(self) -> int:
        """The maximum number of steps in flight."""
        return max(1, math.ceil(self._expected_steps * SLACK_FACTOR - 1e-9))

    def add_share(self, share: float) -> None:
        """Add the share of its time that an answer is expected to spend here; a negative share removes it."""
        self._expected_steps = max(0.0, self._expected_steps + share)
        self._admit_waiting()

    async def enter(self) -> None:
        """Wait for a place; call leave() to free it."""
        if self._in_flight < self.size and not self._waiting:
            self._in_flight += 1
            return
        granted = anyio.Event()
        self._waiting.append(granted)
        try:
            await granted.wait()
        except BaseException:
            if granted.is_set():
                self.leave()
            else:
                self._waiting.remove(granted)
            raise

    def leave(self) -> None:
        """Free a place."""
        self._in_flight -= 1
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        while self._waiting and self._in_flight < self.size:
            self._in_flight += 1
            self._waiting.popleft().set()


__all__ = ["StepWindow"]
