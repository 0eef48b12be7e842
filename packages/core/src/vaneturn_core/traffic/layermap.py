"""Index of the servers that can run layers from each boundary; independent of load, so built once per server list."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.servers import BackendServer, ServerId

HOP_TIME_S: Final = 0.0008  # wait of a token at each server for the current pass, from published step times


@dataclass(frozen=True, slots=True)
class Part:
    """The layers [first, end) run on one server."""

    server: BackendServer
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class Option:
    """A part that a chain may use, with its cost without load."""

    part: Part
    end: int
    length: int  # layers
    time: float  # seconds per token step, at the usual speed of the server's kind
    growth: float  # seconds that each unit of load (token times layer) on the server adds to a step


@dataclass(frozen=True, slots=True)
class Holder:
    """A server, with its options that begin at one boundary.

    What a choice reads of each server is stored here: a choice of one request over 190 servers looks at 180 holders.
    """

    id: ServerId
    server: BackendServer
    hall: str
    slots: int  # at least 1
    room: float  # memory not used by layers, in tokens times layers
    options: Sequence[Option]  # never empty


Boundaries = Mapping[int, Sequence[Holder]]  # by boundary, in ascending order


class LayerMap:
    """The options of a list of servers, by data hall and over all halls."""

    def __init__(self, engine: EngineProfile, servers: Sequence[BackendServer]) -> None:
        self.engine = engine
        self.servers = servers
        holders = [server for server in servers if server.layers and server.kind in engine.kinds]
        by_hall: defaultdict[str, list[BackendServer]] = defaultdict(list)
        for server in holders:
            by_hall[server.hall].append(server)
        self.halls = {hall: index_options(engine, inside, 0, engine.layers) for hall, inside in by_hall.items()}
        self.everywhere = index_options(engine, holders, 0, engine.layers)

    def is_built_for(self, engine: EngineProfile, servers: Sequence[BackendServer]) -> bool:
        """Tell whether it was built for this engine and these servers."""
        return self.engine is engine and self.servers == servers


def index_options(engine: EngineProfile, holders: Sequence[BackendServer], first: int, end: int) -> Boundaries:
    """Index the options of each holder inside the layers [first, end), by the boundary where they begin.

    A part ends where its server's range ends, or where the range of another server begins, which may take over there.
    """
    begins = {layers.first for server in holders for layers in server.layers if first < layers.first < end}
    ends = {layers.end for server in holders for layers in server.layers if first < layers.end < end}
    boundaries: dict[int, list[Holder]] = {}
    for boundary in sorted(begins | ends | {first}):
        found = [(server, _list_options(engine, server, boundary, begins, end)) for server in holders]
        boundaries[boundary] = [_make_holder(engine, server, options) for server, options in found if options]
    return boundaries


def _make_holder(engine: EngineProfile, server: BackendServer, options: Sequence[Option]) -> Holder:
    room = server.compute_room(engine)
    return Holder(server.id, server, server.hall, max(1, server.slots), room, options)


def _list_options(
    engine: EngineProfile, server: BackendServer, boundary: int, begins: Iterable[int], end: int
) -> list[Option]:
    factor = engine.kinds[server.kind or ""].step_factor / engine.layers
    step = engine.step * factor
    growth = engine.step_growth * factor / max(1, sum(len(layers) for layers in server.layers))
    options: list[Option] = []
    for layers in server.layers:
        if layers.first <= boundary < layers.end:
            last = min(layers.end, end)
            stops = [begin for begin in begins if boundary < begin < last]
            options += [
                Option(
                    Part(server, boundary, stop),
                    stop,
                    stop - boundary,
                    step * (stop - boundary) + HOP_TIME_S,
                    growth * (stop - boundary),
                )
                for stop in (*stops, last)
            ]
    return options


__all__ = ["HOP_TIME_S", "Boundaries", "Holder", "LayerMap", "Option", "Part", "index_options"]
