"""JSON-line logs."""

from __future__ import annotations

import logging
import os
import select
import sys
from collections import Counter
from collections.abc import Callable
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from vaneturn_core.identifiers import NodeId, VmId
from vaneturn_node.clock import read_clock

MAX_RECORDS_PER_SECOND: Final = 100  # records with the same message and a level below WARNING


class FloodFilter(logging.Filter):
    """Limits the records of each message per second; the next one states how many were suppressed."""

    def __init__(self, clock: Callable[[], float] = read_clock) -> None:
        super().__init__()
        self._clock = clock
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._suppressed: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is written."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
        message = str(record.msg)
        self._counts[message] += 1
        if record.levelno >= logging.WARNING or self._counts[message] <= MAX_RECORDS_PER_SECOND:
            held_back = self._suppressed.pop(message, 0)
            if held_back:
                record.held_back = held_back
            return True
        self._suppressed[message] += 1
        return False


class DroppingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking; drops those that it cannot accept while a reader stalls.

    A pipe that polls as writable accepts a line of up to 4,096 bytes whole.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to an open file descriptor."""
        super().__init__()
        self._descriptor = descriptor
        self._writable = select.poll()
        self._writable.register(descriptor, select.POLLOUT)
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, with the number of lines dropped before it."""
        if not self._writable.poll(0):
            self._dropped += 1
            return
        if self._dropped:
            record.dropped = self._dropped
            self._dropped = 0
        try:
            os.write(self._descriptor, self.format(record).encode() + b"\n")
        except OSError:
            self._dropped += 1  # the reader has closed the pipe, so the error cannot be logged


def configure_logs(level: str, vm: VmId, node: NodeId) -> None:
    """Write each record as one line of JSON to standard output."""
    formatter = JsonFormatter(
        "{asctime}{levelname}{name}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"vm": vm, "node": node},
    )
    handler = DroppingHandler(sys.stdout.fileno())
    handler.setFormatter(formatter)
    handler.addFilter(FloodFilter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logging.getLogger("hypercorn").setLevel(logging.WARNING)


__all__ = ["MAX_RECORDS_PER_SECOND", "DroppingHandler", "FloodFilter", "configure_logs"]
