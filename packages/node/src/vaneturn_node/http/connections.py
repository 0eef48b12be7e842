"""The connections of callers, of which the least active are closed when there are too many."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from vaneturn_node.clock import read_clock

CONNECTION_KEY: Final = "connection"  # of a request's state
LOG_INTERVAL: Final = 100  # decisions between two that are logged, after the first of them

logger = logging.getLogger(__name__)


@dataclass(eq=False)
class Connection:
    """One connection.

    :ivar running: its requests that have arrived whole and have not ended; it is not closed while it has one.
    """

    abort: Callable[[], object]
    last_active: float  # when it was opened, sent a part of a body, or got an answer
    running: int = 0

    def touch(self) -> None:
        """Record that the client made progress."""
        self.last_active = read_clock()

    def begin_running(self) -> None:
        """Record that a request has arrived whole."""
        self.running += 1

    def end_running(self) -> None:
        """Record the end of a request that had arrived whole."""
        self.running -= 1
        self.touch()


class Connections:
    """All connections, up to a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: dict[Connection, None] = {}
        self._closed_count = 0

    def open(self, abort: Callable[[], object]) -> Connection | None:
        """Add a connection, in place of the least active one if there are too many.

        :return: none if all others have requests that run.
        """
        if len(self._open) >= self._limit and not self._close_least_active():
            return None
        connection = Connection(abort, read_clock())
        self._open[connection] = None
        return connection

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended; safe to call twice."""
        self._open.pop(connection, None)

    def _close_least_active(self) -> bool:
        candidates = (connection for connection in self._open if not connection.running)
        victim = min(candidates, key=lambda connection: connection.last_active, default=None)
        self._closed_count += 1
        if self._closed_count % LOG_INTERVAL == 1:
            logger.warning("too many connections", extra={"limit": self._limit, "count": self._closed_count})
        if victim is None:
            return False
        self.remove(victim)
        victim.abort()
        return True


__all__ = ["CONNECTION_KEY", "Connection", "Connections"]
