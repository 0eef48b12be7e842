"""A clock that runs on while the VM is suspended, so that ages, leases, callers' deadlines and rests expire in time.

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

CHECK_INTERVAL_S: Final = 0.1  # between checks for a suspension
MIN_SUSPENSION_S: Final = 0.05  # shorter suspensions are ignored, as the two clocks are read microseconds apart
HELD_UP_WARNING_S: Final = 1.0  # time between two checks from which a warning is logged

logger = logging.getLogger(__name__)


def read_clock() -> float:
    """Read a monotonic clock, in seconds, that runs on while this process or its VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def watch_suspensions(on_wake: Callable[[float], None]) -> None:
    """Call back after each suspension of this VM with its duration in seconds, until cancelled."""
    known_offset = read_clock() - time.monotonic()
    while True:
        checked_at, processor_time = read_clock(), time.process_time()
        await anyio.sleep(CHECK_INTERVAL_S)
        elapsed = read_clock() - checked_at
        if elapsed >= HELD_UP_WARNING_S:  # the processor time shows whether the process was busy or did not run
            extra = {"seconds": round(elapsed, 3), "processor_seconds": round(time.process_time() - processor_time, 3)}
            logger.warning("held up", extra=extra)
        offset = read_clock() - time.monotonic()
        suspended, known_offset = offset - known_offset, offset
        if suspended >= MIN_SUSPENSION_S:
            logger.info("suspended", extra={"seconds": round(suspended, 3)})
            on_wake(suspended)


__all__ = ["read_clock", "watch_suspensions"]
