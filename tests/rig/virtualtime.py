"""An event loop whose clock moves only while all its tasks wait: a busy machine does not change what a test sees."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class _JumpingSelector(selectors.DefaultSelector):
    """Finds what is ready, and lets the time of a wait pass at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready: list[Any] = super().select(0)
        if not ready and timeout is not None:
            self.now += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Has no wait in it; for tests without sockets, processes or threads."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


class VirtualClock:
    """Stands in for the module `time` where a clock is read inside such a loop."""

    CLOCK_BOOTTIME = 7

    @staticmethod
    def clock_gettime(_clock: int) -> float:
        return asyncio.get_running_loop().time()


__all__ = ["VirtualClock", "VirtualTimeLoop"]
