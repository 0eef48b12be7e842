"""A clock that also runs while the VM is suspended: ages of data, leases, deadlines of callers and rests depend on it.

Timeouts of single calls and sleeps use the clock of the event loop, which stops during a suspension, so they end later.
Code that must not act after an expiry therefore reads this clock right before it acts, and waits in progress are
shortened when a suspension is detected.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Final

import anyio

LOOK_INTERVAL: Final = 0.1  # seconds between checks for a suspension
SHORTEST: Final = 0.05  # seconds; shorter suspensions are ignored, as the two clocks are read microseconds apart
HELD_UP: Final = 1.0  # seconds between two checks from which a warning is logged

logger = logging.getLogger(__name__)


def read_clock() -> float:
    """Read a monotonic clock, in seconds, that runs on while this process or its VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def watch_suspensions(on_wake: Callable[[float], None]) -> None:
    """Call back after each suspension of this VM with its duration in seconds, until cancelled."""
    known = read_clock() - time.monotonic()
    while True:
        looked_at, used = read_clock(), time.process_time()
        await anyio.sleep(LOOK_INTERVAL)
        took = read_clock() - looked_at
        if took >= HELD_UP:  # the processor time shows whether the process was busy or did not run
            extra = {"seconds": round(took, 3), "processor_seconds": round(time.process_time() - used, 3)}
            logger.warning("held up", extra=extra)
        offset = read_clock() - time.monotonic()
        suspended, known = offset - known, offset
        if suspended >= SHORTEST:
            logger.info("suspended", extra={"seconds": round(suspended, 3)})
            on_wake(suspended)


__all__ = ["read_clock", "watch_suspensions"]
