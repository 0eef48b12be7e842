"""Pool of idle HTTP connections to servers."""

from __future__ import annotations

import logging
from collections import defaultdict
from typing import Final

import anyio

from vaneturn_core.identifiers import RequestId
from vaneturn_node.bytebudget import ByteBudget
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.connection import Connection
from vaneturn_node.http1.link import HttpLink

CONNECT_TIMEOUT_S: Final = 0.3  # a healthy server accepts within a few milliseconds
SWEEP_INTERVAL_S: Final = 1.0
MAX_IDLE_PER_ADDRESS: Final = 8
DEFAULT_BUDGET_BYTES: Final = 40_000_000
MAX_IDLE_S: Final = 60.0  # an upper bound; the Keep-Alive timeout of the server is shorter

logger = logging.getLogger(__name__)


class LinkPool:
    """Idle connections by address; each carries one exchange at a time.

    :ivar conflicts: how often a connection that carries an exchange was found among the idle ones.
    """

    def __init__(self, budget: ByteBudget | None = None, call_budget: ByteBudget | None = None) -> None:
        """Create an empty pool.

        :param budget: for the answers that are kept whole; without it they share one of their own.
        :param call_budget: for the answers to calls of the process itself; without it they share that of all answers.
        """
        self.budget = budget or ByteBudget(DEFAULT_BUDGET_BYTES)
        self.call_budget = call_budget or self.budget
        self._idle: defaultdict[str, list[Connection]] = defaultdict(list)
        self.conflicts = 0

    async def acquire(
        self, address: str, max_idle: float = MAX_IDLE_S, *, request: RequestId | None = None
    ) -> HttpLink:
        """Take a connection that was idle for less than `max_idle` seconds, or open a new one.

        :param request: to be sent on it; a connection that has carried it before is not taken.
        :raises LinkError: no connection could be opened.
        """
        return await self.take_idle(address, max_idle, request=request) or await self.open(address)

    async def take_idle(
        self, address: str, max_idle: float = MAX_IDLE_S, *, request: RequestId | None = None
    ) -> HttpLink | None:
        """Take a connection that was idle for less than `max_idle` seconds; None if there is none.

        :param request: to be sent on it; a connection that has carried it before is not taken.
        """
        now = read_clock()
        idle = self._idle[address]
        while (connection := _pop_newest(idle, request)) is not None:
            if connection.is_in_use:
                self._report_conflict(connection, address)
            elif connection.is_fresh(now, max_idle):
                return HttpLink(connection)
            else:
                await connection.abort()
        return None

    def _report_conflict(self, connection: Connection, address: str) -> None:
        """Report a connection in use; its exchange continues."""
        self.conflicts += 1
        extra = {"address": address, "connection": connection.number, "exchange": connection.exchanges}
        logger.error("connection in use found among idle ones", extra=extra)

    async def open(self, address: str) -> HttpLink:
        """Open a new connection.

        :raises LinkError: it could not be opened.
        """
        return await HttpLink.open(address, CONNECT_TIMEOUT_S)

    async def release(self, link: HttpLink, address: str) -> None:
        """Return a connection whose exchange has ended to the pool, or close it."""
        idle = self._idle[address]
        if len(idle) < MAX_IDLE_PER_ADDRESS and link.finish():
            link.connection.idle_since = read_clock()
            idle.append(link.connection)
            return
        await link.abort()

    async def run(self) -> None:
        """Close connections that were idle for too long, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            now = read_clock()
            for address, idle in list(self._idle.items()):
                for connection in [each for each in idle if each.is_in_use]:
                    self._report_conflict(connection, address)
                    idle.remove(connection)
                stale = [each for each in idle if not each.is_fresh(now, MAX_IDLE_S)]
                idle[:] = [each for each in idle if each not in stale]  # a request may be taking one from this list
                if not idle:
                    del self._idle[address]
                for connection in stale:
                    await connection.abort()


def _pop_newest(idle: list[Connection], request: RequestId | None) -> Connection | None:
    """Take the newest connection that has not carried a request; None if there is none."""
    for index in reversed(range(len(idle))):
        if request is None or not idle[index].has_carried(request):
            return idle.pop(index)
    return None


__all__ = ["LinkPool"]
