"""Unexpected errors, each of which ends one request or one background task, but not the process."""

from __future__ import annotations

import logging
import traceback
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from typing import Final

import anyio

from vaneturn_core.traffic.state import SeenError
from vaneturn_node.clock import read_clock

MAX_KEPT_ERRORS: Final = 16
MAX_TRACE_CHARACTERS: Final = 2000  # the newest frames; a log line of 4,096 bytes is written whole
FIRST_RESTART_DELAY_S: Final = 0.1  # doubles with each further error
MAX_RESTART_DELAY_S: Final = 5.0
STEADY_TIME_S: Final = 1.0  # after a restart without an error, until a task counts as working

logger = logging.getLogger(__name__)


class UnexpectedErrors:
    """Counts, logs and keeps unexpected errors."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()  # by place
        self._recent: deque[tuple[float, SeenError]] = deque(maxlen=MAX_KEPT_ERRORS)

    def record(self, place: str, error: BaseException, request: str = "") -> str:
        """Record an error; return a short description of it.

        :param place: what it has ended: request, connection, or the name of a background task.
        """
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        frames = traceback.extract_tb(error.__traceback__)
        location = f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}" if frames else "unknown"
        description = f"{type(error).__name__} at {location}"
        self.counts[place] += 1
        self._recent.append((read_clock(), SeenError(place, request, description, 0.0)))
        trace = "".join(traceback.format_exception(error))[-MAX_TRACE_CHARACTERS:]
        extra = {"place": place, "request": request, "error": description, "trace": trace}
        logger.error("unexpected error", extra=extra)
        return description

    def list_recent(self) -> list[SeenError]:
        """List the newest errors with their ages."""
        now = read_clock()
        return [SeenError(one.place, one.request, one.error, round(now - at, 3)) for at, one in self._recent]


class Supervisor:
    """Starts background tasks again after unexpected errors, with a growing delay."""

    def __init__(self, errors: UnexpectedErrors) -> None:
        self._errors = errors
        self._failing_until: dict[str, float] = {}

    def is_working(self) -> bool:
        """Tell whether all tasks have run without an error for a while."""
        return all(until <= read_clock() for until in self._failing_until.values())

    async def run(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it ends without an error, or is cancelled."""
        delay = FIRST_RESTART_DELAY_S
        while True:
            started = read_clock()
            try:
                await work()
            except Exception as error:  # noqa: BLE001 # an error of one task must not end the process
                self._errors.record(name, error)
            else:
                return
            if read_clock() - started > MAX_RESTART_DELAY_S:
                delay = FIRST_RESTART_DELAY_S
            self._failing_until[name] = read_clock() + delay + STEADY_TIME_S
            await anyio.sleep(delay)
            delay = min(2 * delay, MAX_RESTART_DELAY_S)


__all__ = ["Supervisor", "UnexpectedErrors"]
