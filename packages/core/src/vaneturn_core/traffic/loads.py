"""Loads of all nodes on each server: nodes report theirs to a relay, and relays exchange sums and pass them on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import ServerId, ServerLoad

MAX_SUM_AGE_S: Final = 0.1  # for reuse of a sum: a relay gets 50 reports per second, a sum takes about 1 ms
MAX_REPORT_AGE_S: Final = 3.0  # time for which a report counts; nodes report their load about once per second


Loads = Mapping[ServerId, ServerLoad]


class LoadBoard:
    """The loads that other nodes reported."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._followers: dict[VmId, tuple[float, Loads]] = {}
        self._relays: dict[VmId, tuple[float, Loads]] = {}
        self._others: Loads = {}  # the sum over the other nodes
        self._others_until = float("-inf")
        self._summed_at = float("-inf")
        self._has_new_report = False  # a report arrived since the last sum

    def record_follower(self, vm: VmId, loads: Loads) -> None:
        """Record the load of a follower, a node that gets its changes from this relay."""
        self._followers[vm] = (self._clock(), loads)
        self._note_report()

    def record_relay(self, vm: VmId, loads: Loads) -> None:
        """Record the load of another relay and of its followers."""
        self._relays[vm] = (self._clock(), loads)
        self._note_report()

    def record_total(self, total: Loads, reported: Loads) -> None:
        """Record the load of all nodes as given by a relay, less what this node had reported to it."""
        self._followers.clear()
        self._relays.clear()
        self._others = {server: _subtract(load, reported.get(server)) for server, load in total.items()}
        self._others_until = self._clock() + MAX_REPORT_AGE_S
        self._has_new_report = False

    def sum_followers(self, own: Loads) -> Loads:
        """Sum the load of this node and of its followers."""
        return _sum([own, *self._list_fresh(self._followers)])

    def sum_all(self, own: Loads) -> Loads:
        """Sum the load of all nodes."""
        return _sum([own, *self._list_fresh(self._followers), *self._list_fresh(self._relays)])

    def get_others(self, server: ServerId) -> ServerLoad | None:
        """Return the load of the other nodes on a server; none without a recent report."""
        now = self._clock()
        if now > self._others_until:
            return None
        if self._has_new_report and now - self._summed_at >= MAX_SUM_AGE_S:
            self._others = _sum([*self._list_fresh(self._followers), *self._list_fresh(self._relays)])
            self._summed_at = now
            self._has_new_report = False
        return self._others.get(server, _NO_LOAD)

    def _note_report(self) -> None:
        self._others_until = self._clock() + MAX_REPORT_AGE_S
        self._has_new_report = True

    def _list_fresh(self, reports: Mapping[VmId, tuple[float, Loads]]) -> list[Loads]:
        oldest = self._clock() - MAX_REPORT_AGE_S
        return [loads for at, loads in reports.values() if at >= oldest]


def _sum(parts: Iterable[Loads]) -> Loads:
    leading: defaultdict[ServerId, int] = defaultdict(int)
    reserved: defaultdict[ServerId, float] = defaultdict(float)
    for loads in parts:
        for server, load in loads.items():
            leading[server] += load.leading
            reserved[server] += load.reserved
    return {server: ServerLoad(leading[server], reserved[server]) for server in leading}


def _subtract(load: ServerLoad, reported: ServerLoad | None) -> ServerLoad:
    if reported is None:
        return load
    return ServerLoad(max(0, load.leading - reported.leading), max(0.0, load.reserved - reported.reserved))


_NO_LOAD: Final = ServerLoad(0, 0.0)

__all__ = ["MAX_REPORT_AGE_S", "MAX_SUM_AGE_S", "LoadBoard", "Loads"]
