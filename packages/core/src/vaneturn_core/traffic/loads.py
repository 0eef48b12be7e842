"""Loads of all nodes on each server: nodes report theirs to a relay, and relays exchange sums and pass them on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from vaneturn_core.traffic.reportsums import MAX_REPORT_AGE_S, MAX_SUM_AGE_S, ReportSums
from vaneturn_core.traffic.servers import ServerId, ServerLoad

Loads = Mapping[ServerId, ServerLoad]


class LoadBoard(ReportSums[Loads]):
    """The loads that other nodes reported."""

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(clock, _sum, _subtract)

    def get_others(self, server: ServerId) -> ServerLoad | None:
        """Return the load of the other nodes on a server; none without a recent report."""
        others = self.sum_others()
        return None if others is None else others.get(server, _NO_LOAD)


def _sum(parts: Iterable[Loads]) -> Loads:
    leading: defaultdict[ServerId, int] = defaultdict(int)
    reserved: defaultdict[ServerId, float] = defaultdict(float)
    for loads in parts:
        for server, load in loads.items():
            leading[server] += load.leading
            reserved[server] += load.reserved
    return {server: ServerLoad(leading[server], reserved[server]) for server in leading}


def _subtract(total: Loads, reported: Loads) -> Loads:
    return {server: _subtract_load(load, reported.get(server)) for server, load in total.items()}


def _subtract_load(load: ServerLoad, reported: ServerLoad | None) -> ServerLoad:
    if reported is None:
        return load
    return ServerLoad(max(0, load.leading - reported.leading), max(0.0, load.reserved - reported.reserved))


_NO_LOAD: Final = ServerLoad(0, 0.0)

__all__ = ["MAX_REPORT_AGE_S", "MAX_SUM_AGE_S", "LoadBoard", "Loads"]
