"""JSON-line logs."""

from __future__ import annotations

import logging
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from vaneturn_core.identifiers import NodeId, VmId

MAX_PER_SECOND: Final = 100  # records below warnings with one message


class FloodFilter(logging.Filter):
    """Lets so many records of one message through in a second, and says with the next one how many it held back."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
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


def configure_logs(level: str, vm: VmId, node: NodeId) -> None:
    """Write every record as one JSON object a line to standard error."""
    formatter = JsonFormatter(
        "{asctime}{levelname}{name}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"vm": vm, "node": node},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    handler.addFilter(FloodFilter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logging.getLogger("hypercorn").setLevel(logging.WARNING)


__all__ = ["MAX_PER_SECOND", "FloodFilter", "configure_logs"]
