"""The clock for everything that must lapse while a process is paused."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Read a clock that no pause of this process or its VM stops, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ["read_clock"]
