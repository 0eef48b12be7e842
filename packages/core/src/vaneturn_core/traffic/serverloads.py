"""The loads of the servers among which one request chooses, as far as they affect the time of a part."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.crowding import FULL_SHARE
from vaneturn_core.traffic.layermap import Part
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.servers import BackendServer, ServerId


class PartLoad(NamedTuple):
    """The load of a server, as far as it affects the time of a part."""

    used: float  # tokens times layers of the requests in progress, from all nodes
    leading: float  # requests in progress whose first server it is, from all nodes
    slowness: float


class LoadReader:
    """Reads the loads of servers at one moment."""

    def __init__(self, statuses: ServerStatuses, board: LoadBoard | None, share: float, now: float) -> None:
        """Create a reader.

        :param share: ratio of the load of all nodes to that of this node, for servers without reported loads.
        :param now: monotonic time; decides whether reports are recent.
        """
        self._statuses = statuses
        self._board = board
        self._share = share
        self._now = now

    def read(self, server: ServerId) -> PartLoad:
        """Read the load of one server."""
        status = self._statuses[server]
        others = self._board.get_others(server) if self._board is not None else None
        if others is None:
            used, leading = status.reserved * self._share, status.leading * self._share
        else:
            used, leading = status.reserved + others.reserved, status.leading + others.leading
        return PartLoad(used, leading, status.get_slowness(self._now))


class EligibleLoads(dict[ServerId, PartLoad]):
    """The loads of the servers that may get work, each read when it is first used: a choice uses half of them."""

    def __init__(self, reader: LoadReader, servers: Iterable[BackendServer]) -> None:
        super().__init__()
        self._reader = reader
        self.eligible = {server.id for server in servers}

    def __missing__(self, server: ServerId) -> PartLoad:
        load = self[server] = self._reader.read(server)
        return load

    def exclude(self, servers: Collection[ServerId]) -> EligibleLoads:
        """Return the loads without some of the servers."""
        rest = EligibleLoads(self._reader, ())
        rest.eligible = self.eligible.difference(servers)
        return rest


def compute_used_share(engine: EngineProfile, server: BackendServer, load: PartLoad, added: float = 0.0) -> float:
    """Compute the share of a server's memory that is in use, with some tokens times layers added."""
    room = server.compute_room(engine)
    return (load.used + added) / room if room > 0 else 1.0


def has_room(engine: EngineProfile, parts: Sequence[Part], loads: EligibleLoads, tokens: float) -> bool:
    """Tell whether the servers of a chain have a slot and memory for one more request."""
    first = parts[0].server
    if loads[first.id].leading + 1 >= FULL_SHARE * max(1, first.slots):
        return False
    return all(
        compute_used_share(engine, part.server, loads[part.server.id], tokens * (part.end - part.first)) < FULL_SHARE
        for part in parts
    )


__all__ = ["EligibleLoads", "LoadReader", "PartLoad", "compute_used_share", "has_room"]
