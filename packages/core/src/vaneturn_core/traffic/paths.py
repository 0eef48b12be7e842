"""Whether this node can open connections to the servers of a service.

One server that refuses or does not answer says nothing about the node. The node counts as cut off from a service when
none of several servers accepts a connection, and as connected again when most of them do.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

from vaneturn_core.traffic.servers import BackendServer

PROBED_SERVERS: Final = 4  # of a service in one round of probes
CONFIRMING_ROUNDS: Final = 3  # rounds in a row without a connection after which requests no longer try for themselves


class ServicePath:
    """The path from this node to the servers of one service; all times are monotonic."""

    def __init__(self) -> None:
        self.opened_at = float("-inf")  # when a new connection was last opened
        self.lost_at: float | None = None  # while the path is lost
        self._failed_rounds = 0

    @property
    def is_lost(self) -> bool:
        """Tell whether new connections should not be tried."""
        return self.lost_at is not None

    @property
    def is_confirmed_lost(self) -> bool:
        """Tell whether several rounds of probes in a row have opened no connection."""
        return self.is_lost and self._failed_rounds >= CONFIRMING_ROUNDS

    def record_round(self, probed: int, opened: int, now: float) -> bool:
        """Record a round of probes; return whether the path was lost or regained."""
        if opened:
            self.opened_at = now
        self._failed_rounds = 0 if opened else self._failed_rounds + 1
        was_lost = self.is_lost
        if not opened and not was_lost:
            self.lost_at = now
        elif 2 * opened > probed:
            self.lost_at = None
        return self.is_lost is not was_lost


def choose_probed(servers: Iterable[BackendServer], failed: Iterable[str]) -> list[BackendServer]:
    """Choose servers for a round of probes, at random, those that have not failed first."""
    failed_ids = set(failed)
    shuffled = list(servers)
    random.shuffle(shuffled)
    return sorted(shuffled, key=lambda server: server.id in failed_ids)[:PROBED_SERVERS]


__all__ = ["CONFIRMING_ROUNDS", "PROBED_SERVERS", "ServicePath", "choose_probed"]
