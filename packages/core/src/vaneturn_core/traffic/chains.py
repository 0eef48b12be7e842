"""Selection of the chain of backend servers that runs all layers of one request."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.chain import Chain
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.crossings import compute_crossing_share
from vaneturn_core.traffic.crowding import FULL_PENALTY_S, estimate_crowding
from vaneturn_core.traffic.firsts import pick_firsts
from vaneturn_core.traffic.layermap import Boundaries, HolderOptions, LayerMap, Option, Part, index_options
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.servers import BackendServer, ServerId

GROWTH_WEIGHT: Final = 2.0  # of a server's step growth: a new request slows the others there by as much again
LINK_WEIGHT: Final = 4.0  # of the time of a prompt on an inter-hall link: all who share the link wait as well
OUTSIDE_HALLS: Final = ""  # hall of a request before its first server
VERY_SLOW_FACTOR: Final = 2.5  # slowness from which the pauses of streams over a server are too long
SLOW_PENALTY_S: Final = 0.3  # for a very slow server: above that of a crossing, below that of a full server
MAX_PARTS: Final = 32  # per chain
MAX_CANDIDATES: Final = 2  # chains that are compared
MAX_PAIRS: Final = 3  # pairs of first servers tried for these; after that, all first servers are searched
MAX_HOLDERS: Final = 6  # servers compared per boundary, sampled at random: limits the time of a choice in large fleets


@dataclass(frozen=True, slots=True)
class _Path:
    """The cheapest path found to a boundary, as a linked list of parts."""

    cost: float
    part: Part | None
    previous: _Path | None

    def list_parts(self) -> list[Part]:
        parts: list[Part] = []
        path: _Path | None = self
        while path is not None and path.part is not None:
            parts.append(path.part)
            path = path.previous
        return parts[::-1]


@dataclass(frozen=True, slots=True)
class _Load:
    """The load of a server, as far as it affects the time of a part."""

    used: float  # tokens times layers of the requests in progress, from all nodes
    leading: float  # requests in progress whose first server it is, from all nodes
    slowness: float


class ChainChooser:
    """Chooses the chain with the lowest estimated token time, crowding included; create one instance per choice."""

    def __init__(
        self,
        *,
        layer_map: LayerMap,
        statuses: ServerStatuses,
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
        self._statuses = statuses
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
        self._transfer_s = prompt * self._engine.handover_bytes / self._engine.pipe_rate
        self._link_cost_s = LINK_WEIGHT * self._transfer_s

    def choose(self, eligible: Iterable[BackendServer]) -> Chain | None:
        """Choose a chain over servers that may get work; none when they do not hold all layers.

        Chains inside one hall are searched first. A chain across halls costs at least one link transfer, so these are
        searched only when no hall offers a chain for less than that.
        """
        loads = self._read_loads(eligible)
        firsts = self._list_firsts(loads)
        best = min(self._find_candidates(firsts, loads), key=lambda path: path.cost, default=None)
        if best is None or best.cost >= FULL_PENALTY_S:  # other first servers may have capacity
            best = self._find_best({server.id for server in firsts}, loads)
        return Chain(self._engine.layers, tuple(best.list_parts())) if best is not None else None

    def _find_candidates(self, firsts: Sequence[BackendServer], loads: Mapping[ServerId, _Load]) -> list[_Path]:
        """Find paths inside a hall from this node's candidate first servers; tries others where there is no path."""
        paths: list[_Path] = []
        left = list(firsts)
        for _ in range(MAX_PAIRS):
            for first in pick_firsts(self._node, self._hall, left):
                left.remove(first)
                path = self._find_complete_path(self._layer_map.halls[first.hall], loads, {first.id})
                paths += [path] if path is not None else []
            if len(paths) >= MAX_CANDIDATES or not left:
                break
        return paths[:MAX_CANDIDATES]

    def _list_firsts(self, loads: Mapping[ServerId, _Load]) -> list[BackendServer]:
        """List the servers that may be the first of a chain."""
        holders = self._layer_map.everywhere.get(0, ())
        servers = [options[0].part.server for options in holders]
        return [
            first for first in servers if first.id in loads and self._statuses[first.id].may_take_request(self._now)
        ]

    def _find_best(self, firsts: Collection[ServerId], loads: Mapping[ServerId, _Load]) -> _Path | None:
        """Find the cheapest path through all layers that begins with one of the first servers."""
        found = [self._find_complete_path(boundaries, loads, firsts) for boundaries in self._layer_map.halls.values()]
        best = min((path for path in found if path is not None), key=lambda path: path.cost, default=None)
        if best is not None and best.cost <= self._link_cost_s:
            return best
        across_halls = self._find_complete_path(self._layer_map.everywhere, loads, firsts)
        if across_halls is None or (best is not None and best.cost <= across_halls.cost):
            return best
        if self._may_cross(across_halls):
            return across_halls
        self.is_crossing_refused = True
        return best

    def _may_cross(self, path: _Path) -> bool:
        """Tell whether the inter-hall links have capacity for a request over this path."""
        crossings = Chain(self._engine.layers, tuple(path.list_parts())).count_crossings()
        return self._draw < compute_crossing_share(self._rate, self._nodes, crossings * self._transfer_s)

    def estimate_fullness(self, chain: Chain) -> float:
        """Estimate the share of memory, or of slots, in use on the fullest server, without this request."""
        return max(self.estimate_server(part.server, is_first=part is chain.parts[0]) for part in chain.parts)

    def estimate_server(self, server: BackendServer, *, is_first: bool) -> float:
        """Estimate the share of a server's memory in use; for a first server, that of its slots if it is larger."""
        load = self._read_loads([server])[server.id]
        slot_share = load.leading / max(1, server.slots) if is_first else 0.0
        return max(slot_share, _compute_used_share(server, load, self._engine))

    def choose_replacement(self, eligible: Iterable[BackendServer], parts: Sequence[Part], lost: Part) -> list[Part]:
        """Choose servers, not used by the other parts, for the layers of a lost part; empty when there are none."""
        kept = [part for part in parts if part is not lost]
        used_addresses = {part.server.address for part in kept}
        holders = [
            server
            for server in eligible
            if server.layers and server.kind in self._engine.kinds and server.address not in used_addresses
        ]
        origin = next((part.server.hall for part in kept if part.end == lost.first), OUTSIDE_HALLS)
        target = next((part.server.hall for part in kept if part.first == lost.end), None)
        boundaries = index_options(self._engine, holders, lost.first, lost.end)
        paths = self._find_paths(boundaries, self._read_loads(holders), origin, lost.end)
        best = min(
            paths.items(),
            key=lambda item: item[1].cost + (self._estimate_crossing(item[0], target) if target is not None else 0.0),
            default=None,
        )
        found = best[1].list_parts() if best is not None else []
        return found if _has_unique_servers(found) else []

    def _read_loads(self, eligible: Iterable[BackendServer]) -> dict[ServerId, _Load]:
        loads = {}
        for server in eligible:
            status = self._statuses[server.id]
            others = self._board.get_others(server.id) if self._board is not None else None
            if others is None:
                used, leading = status.reserved * self._share, status.leading * self._share
            else:
                used, leading = status.reserved + others.reserved, status.leading + others.leading
            loads[server.id] = _Load(used, leading, status.get_slowness(self._now))
        return loads

    def _find_complete_path(
        self, boundaries: Boundaries, loads: Mapping[ServerId, _Load], firsts: Collection[ServerId]
    ) -> _Path | None:
        """Find the cheapest path through all layers; none if it has too many parts or uses a server twice."""
        eligible = [options for options in boundaries.get(0, ()) if options[0].part.server.id in firsts]
        if not eligible:
            return None
        paths = self._find_paths({**boundaries, 0: eligible}, loads, OUTSIDE_HALLS, self._engine.layers)
        best = min(paths.values(), key=lambda path: path.cost, default=None)
        if best is None:
            return None
        parts = best.list_parts()
        return best if len(parts) <= MAX_PARTS and _has_unique_servers(parts) else None

    def _find_paths(
        self, boundaries: Boundaries, loads: Mapping[ServerId, _Load], origin: str, end: int
    ) -> dict[str, _Path]:
        """Find the cheapest path from the first boundary to the end, for each hall that it may end in.

        A boundary keeps only the cheapest path into each data hall: what follows costs the same after any of them.
        """
        paths: defaultdict[int, dict[str, _Path]] = defaultdict(dict)
        paths[min(boundaries, default=0)][origin] = _Path(0.0, None, None)
        for boundary, holders in boundaries.items():
            if not paths[boundary]:
                continue
            for options in _pick_holders(holders, loads):
                self._extend(paths, options, loads[options[0].part.server.id])
        return paths[end]

    def _extend(self, paths: Mapping[int, dict[str, _Path]], options: HolderOptions, load: _Load) -> None:
        """Extend the cheapest path by one server, to each boundary where its part may end."""
        part = options[0].part
        hall = part.server.hall
        cost, previous = min(
            ((path.cost + self._estimate_crossing(origin, hall), path) for origin, path in paths[part.first].items()),
            key=lambda pair: pair[0],
        )
        if previous.part is None and part.first == 0:
            cost += estimate_crowding((load.leading + 1) / max(1, part.server.slots))
        for option in options:
            total = cost + self._estimate_time(option, load)
            known = paths[option.part.end].get(hall)
            if known is None or total < known.cost:
                paths[option.part.end][hall] = _Path(total, option.part, previous)

    def _estimate_crossing(self, origin: str, destination: str) -> float:
        """Estimate the seconds from one hall to another, or from this node to the first server."""
        if origin == destination:
            return 0.0
        if origin == OUTSIDE_HALLS:
            return self._find_delay(self._hall, destination)
        return self._find_delay(origin, destination) + self._link_cost_s

    def _find_delay(self, origin: str, destination: str) -> float:
        return 0.0 if origin == destination else self._engine.delays.get((DataHall(origin), DataHall(destination)), 0.0)

    def _estimate_time(self, option: Option, load: _Load) -> float:
        fill_share = (load.used + self.tokens * option.length) / option.room if option.room > 0 else 1.0
        crowding_s = estimate_crowding(fill_share)
        slow_s = SLOW_PENALTY_S if load.slowness >= VERY_SLOW_FACTOR else 0.0
        growth_s = GROWTH_WEIGHT * option.growth * load.used
        return load.slowness * (option.time + growth_s) + crowding_s + slow_s


def _compute_used_share(server: BackendServer, load: _Load, engine: EngineProfile) -> float:
    """Compute the share of a server's memory that is in use."""
    room = server.compute_room(engine)
    return load.used / room if room > 0 else 1.0


def _pick_holders(holders: Sequence[HolderOptions], loads: Mapping[ServerId, _Load]) -> Sequence[HolderOptions]:
    """Sample the holders to compare, among those that may get work."""
    eligible = [options for options in holders if options[0].part.server.id in loads]
    return eligible if len(eligible) <= MAX_HOLDERS else random.sample(eligible, MAX_HOLDERS)


def _has_unique_servers(parts: Sequence[Part]) -> bool:
    return len({part.server.address for part in parts}) == len(parts)


__all__ = ["VERY_SLOW_FACTOR", "ChainChooser"]
