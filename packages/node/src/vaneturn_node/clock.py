"""The clocks: ages of what is known, leases, callers' deadlines and rests lapse also while a VM is suspended.

The time-outs of single calls, and sleeps, run on the loop's own clock, which stands still meanwhile: they only end
later. What must not outlast its time is therefore decided by reading this clock right before acting, and the waits in
progress are shortened when a suspension is noticed.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Final

import anyio

LOOK_INTERVAL: Final = 0.1  # seconds between looks whether this process was suspended
SHORTEST: Final = 0.05  # seconds of a suspension that is noticed; the two clocks are read microseconds apart
HELD_UP: Final = 1.0  # seconds from one look to the next, from which operators are told

logger = logging.getLogger(__name__)


def read_clock() -> float:
    """Read a clock that no pause of this process or its VM stops, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def watch_suspensions(on_wake: Callable[[float], None]) -> None:
    """Tell of each suspension of this VM once it is over, with its seconds, until cancelled."""
    known = read_clock() - time.monotonic()
    while True:
        looked_at, used = read_clock(), time.process_time()
        await anyio.sleep(LOOK_INTERVAL)
        took = read_clock() - looked_at
        if took >= HELD_UP:  # processor time tells a process that computed for so long from one that stood still
            extra = {"seconds": round(took, 3), "processor_seconds": round(time.process_time() - used, 3)}
            logger.warning("held up", extra=extra)
        offset = read_clock() - time.monotonic()
        suspended, known = offset - known, offset
        if suspended >= SHORTEST:
            logger.info("suspended", extra={"seconds": round(suspended, 3)})
            on_wake(suspended)


__all__ = ["read_clock", "watch_suspensions"]
