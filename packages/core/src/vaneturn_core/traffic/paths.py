"""Whether this node can open connections to the servers of a service.

One server that refuses or does not answer says nothing about the node. The path of the node to a service counts as lost
when none of several servers accepts a connection, and as regained when most of them do.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

from vaneturn_core.traffic.servers import BackendServer

PROBED_SERVERS: Final = 4  # of a service in one round of probes
CONFIRMING_ROUNDS: Final = 3  # rounds in a row without a connection after which requests no longer try for themselves
# of rounds in which servers reset all connections, as servers do that have as many as they take, and some partitions
MAX_RESET_TIME_S: Final = 1.0
CUT_OFF_TIME_S: Final = 2.0  # without any answer; a busy link delays new connections for longer than a probe takes
MAX_ROUND_GAP_S: Final = 1.0  # between two rounds; after a longer one, e.g. a suspension, the failed rounds begin anew


class ServicePath:
    """The path from this node to the servers of one service; all times are monotonic."""

    def __init__(self) -> None:
        self.opened_at = float("-inf")  # when a new connection was last opened
        self.lost_at: float | None = None  # while the path is lost
        self._failed_rounds = 0
        self._failed_since = 0.0  # first of these rounds
        self._failed_at = float("-inf")  # newest of these rounds
        self._unanswered_since: float | None = None  # first of these rounds in a row without a reset either

    @property
    def is_lost(self) -> bool:
        """Tell whether new connections should not be tried."""
        return self.lost_at is not None

    @property
    def is_confirmed_lost(self) -> bool:
        """Tell whether several rounds of probes in a row have opened no connection."""
        return self.is_lost and self._failed_rounds >= CONFIRMING_ROUNDS

    @property
    def is_cut_off(self) -> bool:
        """Tell whether rounds of probes have got no answer for so long that the servers count as cut off."""
        since = self._unanswered_since
        return self.is_lost and since is not None and self._failed_at - since >= CUT_OFF_TIME_S

    def record_opened(self, now: float) -> None:
        """Record that a new connection was opened."""
        self.opened_at = now
        self._failed_rounds = 0
        self._unanswered_since = None

    def record_round(self, probed: int, opened: int, now: float, *, reset: int = 0) -> bool:
        """Record a round of probes; return whether the path was lost or regained.

        :param probed: number of servers.
        :param opened: number of connections that opened.
        :param reset: number of connections that were reset.
        """
        if opened:
            self.record_opened(now)
        else:
            self._record_failed(now, is_answered=reset > 0)
        was_lost = self.is_lost
        may_be_busy = reset > 0 and now - self._failed_since < MAX_RESET_TIME_S
        if not opened and not was_lost and not may_be_busy:
            self.lost_at = now
        elif 2 * opened > probed:
            self.lost_at = None
        return self.is_lost is not was_lost

    def _record_failed(self, now: float, *, is_answered: bool) -> None:
        is_new = not self._failed_rounds or now > self._failed_at + MAX_ROUND_GAP_S
        if is_new:
            self._failed_since = now
        if is_answered:
            self._unanswered_since = None
        elif is_new or self._unanswered_since is None:
            self._unanswered_since = now
        self._failed_rounds += 1
        self._failed_at = now


def choose_probed(servers: Iterable[BackendServer], failed: Iterable[str]) -> list[BackendServer]:
    """Choose servers for a round of probes, at random, those that have not failed first."""
    failed_ids = set(failed)
    shuffled = list(servers)
    random.shuffle(shuffled)
    return sorted(shuffled, key=lambda server: server.id in failed_ids)[:PROBED_SERVERS]


__all__ = [
    "CONFIRMING_ROUNDS",
    "CUT_OFF_TIME_S",
    "MAX_RESET_TIME_S",
    "PROBED_SERVERS",
    "ServicePath",
    "choose_probed",
]
