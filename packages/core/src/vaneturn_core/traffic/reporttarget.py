"""The relay whose sums count this node.

A node asks several relays in turn when one fails. Each of them would add the node's report to its sums for as long as a
report counts, and pass it on, so that one request in progress looked like hundreds after seconds without the store.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from vaneturn_core.traffic.reportsums import MAX_REPORT_AGE_S


class Counting(Enum):
    """What a relay does with the report that is sent to it."""

    NONE = "none"  # it does not add the report to its sums, as others still hold this node
    BEGINS = "begins"
    CONTINUES = "continues"  # its sums hold the previous report until this one arrives


class ReportTarget:
    """Selects one relay at a time to report to; another one only after the last report has expired."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._address: str | None = None  # none while this node reports to the relays as a replacement
        self._reported_at = float("-inf")

    def select(self, address: str, *, replaces_relay: bool) -> Counting:
        """Decide whether a relay counts the report that is sent to it now.

        :param replaces_relay: this node exchanges sums with the relays, which count it already.
        """
        now = self._clock()
        if replaces_relay:
            self._address, self._reported_at = None, now
            return Counting.NONE
        is_expired = now - self._reported_at > MAX_REPORT_AGE_S
        if address != self._address and not is_expired:
            return Counting.NONE
        self._address, self._reported_at = address, now
        return Counting.BEGINS if is_expired else Counting.CONTINUES


__all__ = ["Counting", "ReportTarget"]
