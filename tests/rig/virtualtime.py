"""An event loop on virtual time, which advances only while all tasks wait, so that machine load can't affect tests."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Polls without waiting; if nothing is ready, advances the virtual time by the timeout."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready: list[Any] = super().select(0)
        if not ready and timeout is not None:
            self.now += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that never waits in real time; for tests without sockets, processes or threads."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now


class VirtualClock:
    """Replaces the module `time` where code that runs in a VirtualTimeLoop reads the clock."""

    CLOCK_BOOTTIME = 7

    @staticmethod
    def clock_gettime(_clock: int) -> float:
        return asyncio.get_running_loop().time()


__all__ = ["VirtualClock", "VirtualTimeLoop"]
