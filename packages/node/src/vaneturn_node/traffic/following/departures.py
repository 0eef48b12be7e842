"""Servers that left, so that an older version of an entry does not make them available again."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from vaneturn_core.traffic.servers import BackendServer, ServerId, ServerState
from vaneturn_node.platform.epochs import StoreState, get_number

RETENTION_S: Final = 60.0  # the store is restored from copies that are some seconds old
MAX_DEPARTURES: Final = 1024


class Departures:
    """The starts of servers that were leaving or removed, with the revision number of that change.

    The number of an entry in a copy of the store is not above that of the change, whatever epoch it is read in.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._left: dict[ServerId, tuple[int, float]] = {}  # number, and until when it is kept

    def note(self, server: ServerId, revision: StoreState) -> None:
        """Note that a server is leaving or removed."""
        now = self._clock()
        self._left.pop(server, None)
        self._left[server] = (get_number(revision), now + RETENTION_S)
        while len(self._left) > MAX_DEPARTURES or next(iter(self._left.values()))[1] < now:
            del self._left[next(iter(self._left))]

    def is_outdated(self, server: BackendServer, revision: StoreState) -> bool:
        """Check whether an entry is older than the leaving of its server."""
        number, until = self._left.get(server.id, (-1, float("-inf")))
        return server.state is ServerState.READY and get_number(revision) <= number and self._clock() < until


__all__ = ["Departures"]
