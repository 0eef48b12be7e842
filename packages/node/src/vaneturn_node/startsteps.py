"""Logs the steps of the start of a process, each with the time since the operating system started the process."""

from __future__ import annotations

import logging
import os
import time
from pathlib import Path
from typing import Final

from vaneturn_node.clock import read_clock

_START_FIELD: Final = 19  # of /proc/self/stat, counted after the name of the program: clock ticks since boot

logger = logging.getLogger(__name__)


def log_start_step(step: str) -> None:
    """Log that a step is done; the processor time tells a slow step from one that waited."""
    elapsed = read_clock() - _read_start_time()
    extra = {"step": step, "seconds": round(elapsed, 3), "processor_seconds": round(time.process_time(), 3)}
    logger.info("start step done", extra=extra)


def _read_start_time() -> float:
    """Read when this process was started, in seconds since boot."""
    fields = Path("/proc/self/stat").read_text().rpartition(")")[2].split()
    return int(fields[_START_FIELD]) / os.sysconf("SC_CLK_TCK")


__all__ = ["log_start_step"]
