"""The window of steps that a node has in flight at one server."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import anyio

SLACK: Final = 1.5  # factor over the window that keeps the server busy on average, since replies arrive unevenly


class StepWindow:
    """Limits the steps in flight to as many as keep the server busy while the other hops are busy too.

    An engine runs all steps that have arrived as one batch. Without a window all answers of a node would end up in one
    batch that moves from stage to stage while the other stages idle. An answer over n hops is expected to spend 1/n of
    its time at each of them; the window is the sum of these shares, times SLACK.
    """

    def __init__(self) -> None:
        self._expected = 0.0
        self._in_flight = 0
        self._waiting: deque[anyio.Event] = deque()

    @property
    def size(self) -> int:
        """The maximum number of steps in flight."""
        return max(1, math.ceil(self._expected * SLACK - 1e-9))

    def add(self, share: float) -> None:
        """Add the share of its time that an answer is expected to spend here; a negative share removes it."""
        self._expected = max(0.0, self._expected + share)
        self._let_through()

    async def enter(self) -> None:
        """Wait for a place; call leave() to free it."""
        if self._in_flight < self.size and not self._waiting:
            self._in_flight += 1
            return
        turn = anyio.Event()
        self._waiting.append(turn)
        try:
            await turn.wait()
        except BaseException:
            if turn.is_set():
                self.leave()
            else:
                self._waiting.remove(turn)
            raise

    def leave(self) -> None:
        """Free a place."""
        self._in_flight -= 1
        self._let_through()

    def _let_through(self) -> None:
        while self._waiting and self._in_flight < self.size:
            self._in_flight += 1
            self._waiting.popleft().set()


__all__ = ["StepWindow"]
