"""Selection of the chain of backend servers that runs all layers of one request."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.traffic.beliefs import ServerBeliefs
from vaneturn_core.traffic.chain import Chain
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.crossings import compute_crossing_share
from vaneturn_core.traffic.crowding import FULL_TIME, estimate_crowding
from vaneturn_core.traffic.firsts import pick_firsts
from vaneturn_core.traffic.layermap import Boundaries, HolderOptions, LayerMap, Option, Part, index_options
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.servers import BackendServer, ServerId

GROWTH_WEIGHT: Final = 2.0  # of a server's step growth: a new request slows the others there by as much again
PIPE_WEIGHT: Final = 4.0  # of the time of a prompt on an inter-hall link: all who share the link wait as well
OUTSIDE: Final = ""  # hall of a request before its first server
VERY_SLOW: Final = 2.5  # slowness from which the pauses of streams over a server are too long
SLOW_TIME: Final = 0.3  # seconds; penalty for a very slow server: above that of a crossing, below that of a full server
MAX_PARTS: Final = 32  # per chain
CANDIDATES: Final = 2  # chains that are compared
MAX_LOOKS: Final = 3  # pairs of first servers tried for these; after that, all first servers are searched
MAX_HOLDERS: Final = (
    6  # servers compared per boundary, sampled at random, so that a choice takes no longer in a large fleet
)


@dataclass(frozen=True, slots=True)
class _Way:
    """The cheapest path found to a boundary, as a linked list of parts."""

    cost: float
    part: Part | None
    before: _Way | None

    def list_parts(self) -> list[Part]:
        parts: list[Part] = []
        way: _Way | None = self
        while way is not None and way.part is not None:
            parts.append(way.part)
            way = way.before
        return parts[::-1]


@dataclass(frozen=True, slots=True)
class _Load:
    """The load of a server, as far as it affects the time of a part."""

    taken: float  # tokens times layers of the requests in progress, from all nodes
    leading: float  # requests in progress whose first server it is, from all nodes
    slowness: float


class ChainChooser:
    """Chooses the chain with the lowest estimated token time, crowding included; create one instance per choice."""

    def __init__(
        self,
        *,
        layer_map: LayerMap,
        beliefs: ServerBeliefs,
        node: VmId,
        hall: DataHall,
        share: float,
        prompt: float,
        tokens: float,
        now: float,
        board: LoadBoard | None = None,
        rate: float = 0.0,
        nodes: int = 1,
        draw: float = 0.0,
    ) -> None:
        """Prepare a choice.

        :param layer_map: layer map of the servers in the list.
        :param node: this node; its first servers depend on it.
        :param hall: hall of this node.
        :param share: ratio of the load of all nodes to that of this node, for servers without reported loads.
        :param prompt: length of the request's prompt in tokens.
        :param tokens: expected length of the prompt and the answer in tokens.
        :param now: monotonic time; decides whether reports are recent.
        :param board: loads that other nodes reported.
        :param rate: streams per second of this node.
        :param nodes: number of nodes that share the inter-hall links.
        :param draw: random number from 0 to 1 for this request; it may cross halls if below the admitted share.
        """
        self._layer_map = layer_map
        self._engine: EngineProfile = layer_map.engine
        self._beliefs = beliefs
        self._node = node
        self._hall = hall
        self._share = share
        self.tokens = tokens
        self._now = now
        self._board = board
        self._rate = rate
        self._nodes = nodes
        self._draw = draw
        self.is_crossing_refused = False  # a chain across halls was found, but the links lack capacity for it
        self._transfer_time = prompt * self._engine.handover_bytes / self._engine.pipe_rate
        self._pipe_time = PIPE_WEIGHT * self._transfer_time

    def choose(self, able: Iterable[BackendServer]) -> Chain | None:
        """Choose a chain over servers that may get work; none when they do not hold all layers.

        Chains inside one hall are searched first. A chain across halls costs at least one link transfer, so these are
        searched only when no hall offers a chain for less than that.
        """
        loads = self._read_loads(able)
        firsts = self._list_firsts(loads)
        best = min(self._find_candidates(firsts, loads), key=lambda way: way.cost, default=None)
        if best is None or best.cost >= FULL_TIME:  # other first servers may have capacity
            best = self._find_best({server.id for server in firsts}, loads)
        return Chain(self._engine.layers, tuple(best.list_parts())) if best is not None else None

    def _find_candidates(self, firsts: Sequence[BackendServer], loads: Mapping[ServerId, _Load]) -> list[_Way]:
        """Find paths inside a hall from this node's candidate first servers; tries others where there is no path."""
        ways: list[_Way] = []
        left = list(firsts)
        for _ in range(MAX_LOOKS):
            for first in pick_firsts(self._node, self._hall, left):
                left.remove(first)
                way = self._find_whole_way(self._layer_map.halls[first.hall], loads, {first.id})
                ways += [way] if way is not None else []
            if len(ways) >= CANDIDATES or not left:
                break
        return ways[:CANDIDATES]

    def _list_firsts(self, loads: Mapping[ServerId, _Load]) -> list[BackendServer]:
        """List the servers that may be the first of a chain."""
        holders = self._layer_map.everywhere.get(0, ())
        servers = [options[0].part.server for options in holders]
        return [one for one in servers if one.id in loads and self._beliefs[one.id].may_take_request(self._now)]

    def _find_best(self, firsts: Collection[ServerId], loads: Mapping[ServerId, _Load]) -> _Way | None:
        """Find the cheapest path through all layers that begins with one of the first servers."""
        found = [self._find_whole_way(boundaries, loads, firsts) for boundaries in self._layer_map.halls.values()]
        best = min((way for way in found if way is not None), key=lambda way: way.cost, default=None)
        if best is not None and best.cost <= self._pipe_time:
            return best
        over_halls = self._find_whole_way(self._layer_map.everywhere, loads, firsts)
        if over_halls is None or (best is not None and best.cost <= over_halls.cost):
            return best
        if self._may_cross(over_halls):
            return over_halls
        self.is_crossing_refused = True
        return best

    def _may_cross(self, way: _Way) -> bool:
        """Tell whether the inter-hall links have capacity for a request over this path."""
        crossings = Chain(self._engine.layers, tuple(way.list_parts())).count_crossings()
        return self._draw < compute_crossing_share(self._rate, self._nodes, crossings * self._transfer_time)

    def estimate_fullness(self, chain: Chain) -> float:
        """Estimate the share of memory, or of slots, in use on the fullest server, without this request."""
        return max(self.estimate_server(part.server, is_first=part is chain.parts[0]) for part in chain.parts)

    def estimate_server(self, server: BackendServer, *, is_first: bool) -> float:
        """Estimate the share of a server's memory in use; for a first server, that of its slots if it is larger."""
        load = self._read_loads([server])[server.id]
        places = load.leading / max(1, server.slots) if is_first else 0.0
        return max(places, _compute_taken(server, load, self._engine))

    def choose_replacement(self, able: Iterable[BackendServer], parts: Sequence[Part], lost: Part) -> list[Part]:
        """Choose servers, not used by the other parts, for the layers of a lost part; empty when there are none."""
        kept = [part for part in parts if part is not lost]
        taken = {part.server.address for part in kept}
        holders = [
            server
            for server in able
            if server.layers and server.kind in self._engine.kinds and server.address not in taken
        ]
        before = next((part.server.hall for part in kept if part.end == lost.first), OUTSIDE)
        after = next((part.server.hall for part in kept if part.first == lost.end), None)
        boundaries = index_options(self._engine, holders, lost.first, lost.end)
        ways = self._find_ways(boundaries, self._read_loads(holders), before, lost.end)
        best = min(
            ways.items(),
            key=lambda item: item[1].cost + (self._estimate_crossing(item[0], after) if after is not None else 0.0),
            default=None,
        )
        found = best[1].list_parts() if best is not None else []
        return found if _names_each_once(found) else []

    def _read_loads(self, able: Iterable[BackendServer]) -> dict[ServerId, _Load]:
        loads = {}
        for server in able:
            belief = self._beliefs[server.id]
            others = self._board.find_others(server.id) if self._board is not None else None
            if others is None:
                taken, leading = belief.reserved * self._share, belief.leading * self._share
            else:
                taken, leading = belief.reserved + others.reserved, belief.leading + others.leading
            loads[server.id] = _Load(taken, leading, belief.read_slowness(self._now))
        return loads

    def _find_whole_way(
        self, boundaries: Boundaries, loads: Mapping[ServerId, _Load], firsts: Collection[ServerId]
    ) -> _Way | None:
        """Find the cheapest path through all layers; none if it has too many parts or uses a server twice."""
        able = [options for options in boundaries.get(0, ()) if options[0].part.server.id in firsts]
        if not able:
            return None
        ways = self._find_ways({**boundaries, 0: able}, loads, OUTSIDE, self._engine.layers)
        best = min(ways.values(), key=lambda way: way.cost, default=None)
        if best is None:
            return None
        parts = best.list_parts()
        return best if len(parts) <= MAX_PARTS and _names_each_once(parts) else None

    def _find_ways(
        self, boundaries: Boundaries, loads: Mapping[ServerId, _Load], before: str, end: int
    ) -> dict[str, _Way]:
        """Find the cheapest path from the first boundary to the end, for each hall that it may end in.

        A boundary keeps only the cheapest path into each data hall: what follows costs the same after any of them.
        """
        ways: defaultdict[int, dict[str, _Way]] = defaultdict(dict)
        ways[min(boundaries, default=0)][before] = _Way(0.0, None, None)
        for boundary, holders in boundaries.items():
            if not ways[boundary]:
                continue
            for options in _pick_holders(holders, loads):
                self._extend(ways, options, loads[options[0].part.server.id])
        return ways[end]

    def _extend(self, ways: Mapping[int, dict[str, _Way]], options: HolderOptions, load: _Load) -> None:
        """Extend the cheapest path by one server, to each boundary where its part may end."""
        part = options[0].part
        hall = part.server.hall
        cost, before = min(
            ((way.cost + self._estimate_crossing(one, hall), way) for one, way in ways[part.first].items()),
            key=lambda pair: pair[0],
        )
        if before.part is None and part.first == 0:
            cost += estimate_crowding((load.leading + 1) / max(1, part.server.slots))
        for option in options:
            whole = cost + self._estimate_time(option, load)
            known = ways[option.part.end].get(hall)
            if known is None or whole < known.cost:
                ways[option.part.end][hall] = _Way(whole, option.part, before)

    def _estimate_crossing(self, one: str, other: str) -> float:
        """Estimate the seconds from one hall to another, or from this node to the first server."""
        if one == other:
            return 0.0
        if one == OUTSIDE:
            return self._find_delay(self._hall, other)
        return self._find_delay(one, other) + self._pipe_time

    def _find_delay(self, one: str, other: str) -> float:
        return 0.0 if one == other else self._engine.delays.get((DataHall(one), DataHall(other)), 0.0)

    def _estimate_time(self, option: Option, load: _Load) -> float:
        crowding = (load.taken + self.tokens * option.length) / option.room if option.room > 0 else 1.0
        crowded = estimate_crowding(crowding)
        slow = SLOW_TIME if load.slowness >= VERY_SLOW else 0.0
        grown = GROWTH_WEIGHT * option.growth * load.taken
        return load.slowness * (option.time + grown) + crowded + slow


def _compute_taken(server: BackendServer, load: _Load, engine: EngineProfile) -> float:
    """Compute the share of a server's memory that is in use."""
    room = server.compute_room(engine)
    return load.taken / room if room > 0 else 1.0


def _pick_holders(holders: Sequence[HolderOptions], loads: Mapping[ServerId, _Load]) -> Sequence[HolderOptions]:
    """Sample the holders to compare, among those that may get work."""
    able = [options for options in holders if options[0].part.server.id in loads]
    return able if len(able) <= MAX_HOLDERS else random.sample(able, MAX_HOLDERS)


def _names_each_once(parts: Sequence[Part]) -> bool:
    return len({part.server.address for part in parts}) == len(parts)


__all__ = ["VERY_SLOW", "ChainChooser"]
