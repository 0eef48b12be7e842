"""Selection of the chain of backend servers that runs all layers of one request."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Final

from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.chain import Chain
from vaneturn_core.traffic.chaintimes import NO_OBJECTIVES, ChainTimes, RequestObjectives
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.crossings import compute_crossing_share
from vaneturn_core.traffic.crowding import FULL_PENALTY_S
from vaneturn_core.traffic.firsts import pick_firsts
from vaneturn_core.traffic.layermap import LayerMap, Part, index_options
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.pathsearch import OUTSIDE_HALLS, Path, PathSearch, has_unique_servers
from vaneturn_core.traffic.reading import PromptReading
from vaneturn_core.traffic.serverloads import EligibleLoads, LoadReader, compute_used_share, has_room
from vaneturn_core.traffic.servers import BackendServer, ServerId

MISS_PENALTY_S: Final = 5.0  # for a chain that misses an objective: above all other costs but that of a full server
BUSY_SHARE: Final = 0.5  # of a server's memory, from which patient requests leave it to urgent ones
MAX_CANDIDATES: Final = 2  # chains that are compared
MAX_PAIRS: Final = 3  # pairs of first servers tried for these; after that, all first servers are searched


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
        get_total_rate: Callable[[], float] = lambda: 0.0,
        draw: float = 0.0,
        objectives: RequestObjectives = NO_OBJECTIVES,
        may_lead: Callable[[ServerId], bool] = lambda _: True,
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
        :param get_total_rate: estimates the streams per second of all nodes; called only for a chain across halls.
        :param draw: random number from 0 to 1 for this request; it may cross halls if below the admitted share.
        :param objectives: what a chain should keep, if the engine has reading figures.
        :param may_lead: tells whether a server may be the first of the chain.
        """
        self._layer_map = layer_map
        self._engine: EngineProfile = layer_map.engine
        self._statuses = statuses
        self._node = node
        self._hall = hall
        self.tokens = tokens
        self._now = now
        self._get_total_rate = get_total_rate
        self._draw = draw
        self._may_lead = may_lead
        self.is_crossing_refused = False  # a chain across halls was found, but the links lack capacity for it
        self._reader = LoadReader(statuses, board, share, now)
        self._search = PathSearch(self._engine, hall, prompt, tokens)
        self._prompt = prompt
        self._times = ChainTimes(self._engine, self._search, prompt, tokens, objectives)

    def choose(self, eligible: Iterable[BackendServer]) -> Chain | None:
        """Choose a chain over servers that may get work; none when they do not hold all layers.

        Chains inside one hall are searched first. A chain across halls costs at least one link transfer, so these are
        searched only when no hall offers a chain for less than that.
        """
        loads = EligibleLoads(self._reader, eligible)
        firsts = self._list_firsts(loads)
        candidates = self._find_candidates(firsts, loads)
        self._penalize_late(candidates, loads)
        best = min(candidates, key=lambda path: path.cost, default=None)
        if best is None or best.cost >= FULL_PENALTY_S:  # other first servers may have capacity
            best = self._find_best({server.id for server in firsts}, loads)
            self._penalize_late([best] if best is not None else [], loads)
        elif self._times.is_patient:
            best = self._spare_fast_path(best, candidates, firsts, loads)
        if self._times.is_known and best is not None and MISS_PENALTY_S <= best.cost < FULL_PENALTY_S:
            best = self._find_timely({server.id for server in firsts}, loads) or best
        return Chain(self._engine.layers, tuple(best.list_parts())) if best is not None else None

    def _penalize_late(self, paths: Iterable[Path], loads: EligibleLoads) -> None:
        """Add a penalty to the cost of the paths that miss the objectives of the request."""
        if not self._times.is_known:
            return
        for path in paths:
            if not self._times.keeps_objectives(path.list_parts(), loads):
                path.cost += MISS_PENALTY_S

    def _find_timely(self, firsts: Collection[ServerId], loads: EligibleLoads) -> Path | None:
        """Find a path with capacity that keeps the objectives, from any first server, by the time to read the prompt.

        Of several halls one is drawn: all nodes know nearly the same loads, and the best one would get all of them.
        """
        if not self._times.may_be_kept():
            return None
        reading = PromptReading(self._engine, self._prompt)
        search = PathSearch(self._engine, self._hall, self._prompt, self.tokens, reading)
        found = [search.find_complete_path(boundaries, loads, firsts) for boundaries in self._layer_map.halls.values()]
        timely = [path for path in found if path is not None and self._is_timely(path, loads)]
        if timely:
            return random.choice(timely)
        across = search.find_complete_path(self._layer_map.everywhere, loads, firsts)
        if across is None or not self._is_timely(across, loads) or not self._may_cross(across):
            return None
        return across

    def _is_timely(self, path: Path, loads: EligibleLoads) -> bool:
        """Tell whether a path keeps the objectives and its servers have capacity for the request."""
        parts = path.list_parts()
        return has_room(self._engine, parts, loads, self.tokens) and self._times.keeps_objectives(parts, loads)

    def _spare_fast_path(
        self, best: Path, candidates: Sequence[Path], firsts: Sequence[BackendServer], loads: EligibleLoads
    ) -> Path:
        """Take a slower path in place of a fast one that is busy, if it keeps the objective as well.

        The slower path is searched without the busy servers: two paths of a hall mostly have the fast ones in common.
        When all paths are busy, the slowest one is taken.
        """
        timely = [path for path in candidates if path.cost < MISS_PENALTY_S]
        busy = (
            self._list_busy(min(timely, key=lambda path: self._estimate_first_event(path, loads)), loads)
            if timely
            else set()
        )
        if not busy:
            return best
        others = [first for first in firsts if first.id not in busy]
        found = self._find_candidates(others, loads.exclude(busy), pairs=1)
        timely += [path for path in found if self._is_timely(path, loads)]
        timely.sort(key=lambda path: self._estimate_first_event(path, loads))
        return next((path for path in timely if not self._list_busy(path, loads)), timely[-1])

    def _estimate_first_event(self, path: Path, loads: EligibleLoads) -> float:
        return self._times.estimate(path.list_parts(), loads).first_event

    def _list_busy(self, path: Path, loads: EligibleLoads) -> set[ServerId]:
        """List the servers of a path that have more than half of their memory in use."""
        servers = [part.server for part in path.list_parts()]
        return {one.id for one in servers if compute_used_share(self._engine, one, loads[one.id]) > BUSY_SHARE}

    def _find_candidates(
        self, firsts: Sequence[BackendServer], loads: EligibleLoads, pairs: int = MAX_PAIRS
    ) -> list[Path]:
        """Find paths inside a hall from this node's candidate first servers; tries others where there is no path."""
        paths: list[Path] = []
        left = list(firsts)
        for _ in range(pairs):
            for first in pick_firsts(self._node, self._hall, left):
                left.remove(first)
                path = self._search.find_complete_path(self._layer_map.halls[first.hall], loads, {first.id})
                paths += [path] if path is not None else []
            if len(paths) >= MAX_CANDIDATES or not left:
                break
        return paths[:MAX_CANDIDATES]

    def _list_firsts(self, loads: EligibleLoads) -> list[BackendServer]:
        """List the servers that may be the first of a chain."""
        holders = self._layer_map.everywhere.get(0, ())
        return [
            holder.server
            for holder in holders
            if holder.id in loads.eligible
            and self._may_lead(holder.id)
            and self._statuses[holder.id].may_take_request(self._now)
        ]

    def _find_best(self, firsts: Collection[ServerId], loads: EligibleLoads) -> Path | None:
        """Find the cheapest path through all layers that begins with one of the first servers."""
        found = [
            self._search.find_complete_path(boundaries, loads, firsts) for boundaries in self._layer_map.halls.values()
        ]
        best = min((path for path in found if path is not None), key=lambda path: path.cost, default=None)
        if best is not None and best.cost <= self._search.link_cost_s:
            return best
        across_halls = self._search.find_complete_path(self._layer_map.everywhere, loads, firsts)
        if across_halls is None or (best is not None and best.cost <= across_halls.cost):
            return best
        if self._may_cross(across_halls):
            return across_halls
        self.is_crossing_refused = True
        return best

    def _may_cross(self, path: Path) -> bool:
        """Tell whether the inter-hall links have capacity for a request over this path."""
        crossings = Chain(self._engine.layers, tuple(path.list_parts())).count_crossings()
        return self._draw < compute_crossing_share(self._get_total_rate(), crossings * self._search.transfer_s)

    def estimate_first_event(self, chain: Chain) -> float | None:
        """Estimate the seconds from the send to the first event; none if the engine has no reading figures."""
        if not self._times.is_known:
            return None
        return self._times.estimate(chain.parts, EligibleLoads(self._reader, ())).first_event

    def estimate_fullness(self, chain: Chain) -> float:
        """Estimate the share of memory, or of slots, in use on the fullest server, without this request."""
        return max(self.estimate_server(part.server, is_first=part is chain.parts[0]) for part in chain.parts)

    def estimate_server(self, server: BackendServer, *, is_first: bool) -> float:
        """Estimate the share of a server's memory in use; for a first server, that of its slots if it is larger."""
        load = self._reader.read(server.id)
        slot_share = load.leading / max(1, server.slots) if is_first else 0.0
        return max(slot_share, compute_used_share(self._engine, server, load))

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
        paths = self._search.find_paths(boundaries, EligibleLoads(self._reader, holders), origin, lost.end)
        best = min(
            paths.items(),
            key=lambda item: (
                item[1].cost + (self._search.estimate_crossing(item[0], target) if target is not None else 0.0)
            ),
            default=None,
        )
        found = best[1].list_parts() if best is not None else []
        return found if has_unique_servers(found) else []


__all__ = ["ChainChooser"]
