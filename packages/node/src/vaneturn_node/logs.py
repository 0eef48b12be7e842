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

MAX_PER_SECOND: Final = 100  # records below warnings with one message


class FloodFilter(logging.Filter):
    """Lets so many records of one message through in a second, and says with the next one how many it held back."""

    def __init__(self, clock: Callable[[], float] = read_clock) -> None:
        super().__init__()
        self._clock = clock
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._held_back: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a record is written."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
        message = str(record.msg)
        self._counts[message] += 1
        if record.levelno >= logging.WARNING or self._counts[message] <= MAX_PER_SECOND:
            held_back = self._held_back.pop(message, 0)
            if held_back:
                record.held_back = held_back
            return True
        self._held_back[message] += 1
        return False


class DroppingHandler(logging.Handler):
    """Writes lines to a descriptor that takes them at once, and drops the others: a reader that stalls stops no work.

    A pipe that polls as writable takes a line of 4,096 bytes whole.
    """

    def __init__(self, number: int) -> None:
        """Write to an open descriptor."""
        super().__init__()
        self._number = number
        self._writable = select.poll()
        self._writable.register(number, select.POLLOUT)
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, with the number of those dropped before it."""
        if not self._writable.poll(0):
            self._dropped += 1
            return
        if self._dropped:
            record.dropped = self._dropped
            self._dropped = 0
        try:
            os.write(self._number, self.format(record).encode() + b"\n")
        except OSError:
            self._dropped += 1  # the reader has gone; there is nowhere to say so


def configure_logs(level: str, vm: VmId, node: NodeId) -> None:
    """Write every record as one JSON object a line to standard output."""
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


__all__ = ["MAX_PER_SECOND", "DroppingHandler", "FloodFilter", "configure_logs"]
