"""The open connections of one address, within a limit."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Final

READING_SHARE: Final = 0.5  # of the limit, for connections in the middle of a request
LOG_INTERVAL: Final = 100  # evictions between two that are logged, after the first of them

logger = logging.getLogger(__name__)


class TableFullError(Exception):
    """There is no place for a connection: all others serve requests."""


class ConnectionState(Enum):
    """What a connection does."""

    IDLE = "idle"
    READING = "reading"  # in the middle of a request
    SERVING = "serving"  # the request was read whole


class ConnectionTable:
    """Evicts a connection for a new one at the limit.

    The one that has waited longest for bytes of its client goes first, among those of the host with the most
    connections: an ordinary client sends its request at once.

    :ivar evicted: number of connections that were evicted.
    :ivar refused: number of new connections that got no place.
    """

    def __init__(self, name: str, limit: int) -> None:
        self.name = name
        self.limit = limit
        self.evicted = 0
        self.refused = 0
        self._reading_limit = max(1, int(limit * READING_SHARE))
        self._reading = 0
        self._slots: dict[ConnectionSlot, None] = {}  # those that wait for bytes, longest first, and those that serve
        self._hosts: Counter[str] = Counter()

    def add(self, host: str, close: Callable[[], object]) -> ConnectionSlot:
        """Add a connection.

        :param close: closes the connection when it is evicted.
        :raises TableFullError: there is no place for it.
        """
        if len(self._slots) >= self.limit and not self._evict((ConnectionState.IDLE, ConnectionState.READING)):
            self.refused += 1
            self._log("connection refused", self.refused, host)
            raise TableFullError
        slot = ConnectionSlot(self, host, close)
        self._slots[slot] = None
        self._hosts[host] += 1
        return slot

    def remove(self, slot: ConnectionSlot) -> None:
        """Remove a connection; without effect if it was removed before."""
        if slot not in self._slots:
            return
        self._reading -= slot.state is ConnectionState.READING
        del self._slots[slot]
        self._hosts[slot.host] -= 1
        if not self._hosts[slot.host]:
            del self._hosts[slot.host]

    def change(self, slot: ConnectionSlot, state: ConnectionState) -> None:
        """Change the state of a connection, which begins to wait now."""
        if slot not in self._slots:
            return
        if state is ConnectionState.READING and self._reading >= self._reading_limit:
            self._evict((ConnectionState.READING,))
        self._reading += (state is ConnectionState.READING) - (slot.state is ConnectionState.READING)
        slot.state = state
        self.touch(slot)

    def touch(self, slot: ConnectionSlot) -> None:
        """Note that bytes of the client have arrived; the connection waits for more from now on."""
        if slot in self._slots:
            del self._slots[slot]
            self._slots[slot] = None

    def _evict(self, states: tuple[ConnectionState, ...]) -> bool:
        waiting = [slot for slot in self._slots if slot.state in states]
        if not waiting:
            return False
        victim = max(waiting, key=lambda slot: self._hosts[slot.host])  # the first of those with the most
        self.evicted += 1
        self._log("connection evicted", self.evicted, victim.host)
        self.remove(victim)
        victim.is_evicted = True
        victim.refuse()
        victim.close()
        return True

    def _log(self, message: str, count: int, host: str) -> None:
        if count % LOG_INTERVAL == 1:
            extra = {"address": self.name, "client": host, "open": len(self._slots), "limit": self.limit}
            logger.warning(message, extra={**extra, "count": count})


class ConnectionSlot:
    """One connection in the table."""

    __slots__ = ("_table", "close", "host", "is_evicted", "refuse", "state")

    def __init__(self, table: ConnectionTable, host: str, close: Callable[[], object]) -> None:
        self._table = table
        self.host = host
        self.close = close
        self.refuse: Callable[[], object] = lambda: None  # called before it is closed when it is evicted
        self.state = ConnectionState.IDLE
        self.is_evicted = False

    def change(self, state: ConnectionState) -> None:
        """Change the state of the connection."""
        self._table.change(self, state)

    def touch(self) -> None:
        """Note that bytes of the client have arrived."""
        self._table.touch(self)

    def remove(self) -> None:
        """Remove the connection from the table."""
        self._table.remove(self)


__all__ = ["ConnectionSlot", "ConnectionState", "ConnectionTable", "TableFullError"]
