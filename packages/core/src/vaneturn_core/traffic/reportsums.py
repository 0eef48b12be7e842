"""Sums of what nodes report: nodes report theirs to a relay, and relays exchange sums and pass them on.

A follower may be a relay for others while it replaces one that they left. It adds their figures to its own reports, and
passes on to them the total that it got. Nodes follow only nodes before them in the order of relays, so no report comes
back to its sender. Each node reports to one relay at a time (`ReportTarget`), so no report arrives over two paths.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final, Generic, TypeVar

from vaneturn_core.identifiers import VmId

MAX_SUM_AGE_S: Final = 0.1  # for reuse of a sum: a relay gets 50 reports per second, a sum takes about 1 ms
MAX_REPORT_AGE_S: Final = 3.0  # time for which a report counts; nodes report about once per second
MAX_TOTAL_GAP_S: Final = 2.0  # between two totals of a relay: a node without one for longer follows no relay

_Figures = TypeVar("_Figures")
_Reports = dict[VmId, tuple[float, _Figures]]  # with the time when each was received


class ReportSums(Generic[_Figures]):
    """The figures that other nodes reported, and their sums."""

    def __init__(
        self,
        clock: Callable[[], float],
        add: Callable[[Iterable[_Figures]], _Figures],
        subtract: Callable[[_Figures, _Figures], _Figures],
    ) -> None:
        """Create an empty board.

        :param add: sums figures; without any, it returns empty ones.
        :param subtract: takes the second figures from the first ones.
        """
        self._clock = clock
        self._add = add
        self._subtract = subtract
        self._followers: _Reports[_Figures] = {}
        self._relays: _Reports[_Figures] = {}
        self._rest = add([])  # the total of the relay that this node follows, less what this node had reported to it
        self._rest_at = float("-inf")  # when it was received
        self._others = self._rest  # the sum over the other nodes
        self._others_until = float("-inf")
        self._oldest_at = float("-inf")  # when the oldest report in that sum was received
        self._summed_at = float("-inf")
        self._has_new_report = False  # a report arrived since the last sum

    def record_follower(self, vm: VmId, figures: _Figures) -> None:
        """Record the figures of a follower, a node that gets its changes from this relay."""
        self._relays.pop(vm, None)
        self._followers[vm] = (self._clock(), figures)
        self._note_report()

    def record_relay(self, vm: VmId, figures: _Figures) -> None:
        """Record the figures of another relay and of its followers."""
        self._followers.pop(vm, None)
        self._relays[vm] = (self._clock(), figures)
        self._note_report()

    def forget_relay(self, vm: VmId) -> None:
        """Drop the figures of a node that exchanges sums no longer, since it follows a relay that counts them."""
        if self._relays.pop(vm, None) is not None:
            self._note_report()

    def record_total(self, total: _Figures, reported: _Figures) -> None:
        """Record the figures of all nodes as given by a relay, less what this node had reported to it."""
        self._rest = self._subtract(total, reported)
        self._rest_at = self._clock()
        self._note_report()
        if not self._expire(self._followers):
            self._others, self._oldest_at, self._has_new_report = self._rest, self._rest_at, False

    def follows_relay(self) -> bool:
        """Tell whether this node gets the figures of all nodes from a relay."""
        return self._clock() - self._rest_at <= MAX_TOTAL_GAP_S

    def has_followers(self) -> bool:
        """Tell whether other nodes report to this one as their relay."""
        return bool(self._expire(self._followers))

    def replaces_relay(self) -> bool:
        """Tell whether this node has followers and follows no relay, so that it exchanges sums as a relay does."""
        return self.has_followers() and not self.follows_relay()

    def list_reporters(self) -> list[VmId]:
        """List the relays that reported recently."""
        return list(self._expire(self._relays))

    def list_recent(self) -> dict[VmId, _Figures]:
        """List the recent reports of followers and relays by their sender."""
        reports = {**self._expire(self._followers), **self._expire(self._relays)}
        return {vm: figures for vm, (_, figures) in reports.items()}

    def sum_followers(self, own: _Figures) -> _Figures:
        """Sum the figures of this node and of its followers."""
        followers = _list_figures(self._expire(self._followers))
        return self._add([own, *followers]) if followers else own

    def sum_all(self, own: _Figures) -> _Figures:
        """Sum the figures of all nodes."""
        return self._add([own, *(figures for _, figures in self._list_others())])

    def sum_others(self) -> _Figures | None:
        """Sum the figures of the other nodes, reusing a recent sum; none without a recent report."""
        now = self._clock()
        if now > self._others_until:
            return None
        is_outdated = self._has_new_report or now - self._oldest_at > MAX_REPORT_AGE_S
        if is_outdated and now - self._summed_at >= MAX_SUM_AGE_S:
            reports = self._list_others()
            self._others = self._add([figures for _, figures in reports])
            self._oldest_at = min((at for at, _ in reports), default=now)
            self._summed_at = now
            self._has_new_report = False
        return self._others

    def replace_figures(self, change: Callable[[_Figures], _Figures]) -> None:
        """Replace all recorded figures; reports count as long as before."""
        for reports in (self._followers, self._relays):
            for vm, (at, figures) in reports.items():
                reports[vm] = (at, change(figures))
        self._rest = change(self._rest)
        self._others = change(self._others)

    def _list_others(self) -> list[tuple[float, _Figures]]:
        """List the reports that make up the other nodes; a relay's total includes the other relays."""
        followers = list(self._expire(self._followers).values())
        if self._clock() - self._rest_at <= MAX_REPORT_AGE_S:
            return [*followers, (self._rest_at, self._rest)]
        return [*followers, *self._expire(self._relays).values()]

    def _note_report(self) -> None:
        self._others_until = self._clock() + MAX_REPORT_AGE_S
        self._has_new_report = True

    def _expire(self, reports: _Reports[_Figures]) -> _Reports[_Figures]:
        """Remove the reports that no longer count, so that nodes that are gone take no memory."""
        oldest = self._clock() - MAX_REPORT_AGE_S
        for vm in [vm for vm, (at, _) in reports.items() if at < oldest]:
            del reports[vm]
        return reports


def _list_figures(reports: _Reports[_Figures]) -> list[_Figures]:
    return [figures for _, figures in reports.values()]


__all__ = ["MAX_REPORT_AGE_S", "MAX_SUM_AGE_S", "MAX_TOTAL_GAP_S", "ReportSums"]
