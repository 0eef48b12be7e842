"""The steps that a node has at one server at a time."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import anyio

SLACK: Final = 1.5  # steps beyond what keeps the server busy on average: replies do not come evenly


class StepWindow:
    """Lets through as many steps as keep the server busy while the other hops of the answers are busy too.

    An engine runs what has arrived as one batch. Without a window the answers of a node gather into one batch that
    goes from stage to stage while the other stages idle. An answer over n hops is expected to be at each of them an
    nth of its time; the window is the sum of these shares.
    """

    def __init__(self) -> None:
        self._expected = 0.0
        self._in_flight = 0
        self._waiting: deque[anyio.Event] = deque()

    @property
    def size(self) -> int:
        """How many steps may be in flight."""
        return max(1, math.ceil(self._expected * SLACK - 1e-9))

    def add(self, share: float) -> None:
        """Expect an answer for a share of its time; a negative share takes it back."""
        self._expected = max(0.0, self._expected + share)
        self._let_through()

    async def enter(self) -> None:
        """Wait for a place; a place must be left."""
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
        """Give a place back."""
        self._in_flight -= 1
        self._let_through()

    def _let_through(self) -> None:
        while self._waiting and self._in_flight < self.size:
            self._in_flight += 1
            self._waiting.popleft().set()


__all__ = ["StepWindow"]
