"""The plan of which layers each backend server should hold: whole chains inside each data hall.

The servers of a hall are dealt into groups, and each group tiles all layers once, in proportion to memory. So every
server has room for the same number of requests, a request need not leave its hall, and another hall stands in for
layers that are lost in one.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.servers import BackendServer, LayerRange, ServerState

GROUP_MEMORY: Final = 2.2  # memory of a group, in weights of the whole model: more than half is left for requests
MAX_WEIGHTS_SHARE: Final = 0.75  # of a server's memory that weights may take when it stands in for a lost one
SPARE_WEIGHTS_SHARE: Final = 0.5  # of a server's memory when nothing is missing: room x layers is greatest at a half
WEAK_SHARE: Final = 0.35  # of the mean cover; layers below it get a server from elsewhere
MOVE_GAIN: Final = 1.25  # by which a move must better the weakest cover: it costs a load


@dataclass(frozen=True, slots=True)
class Placement:
    """What one server should hold."""

    server: BackendServer
    layers: LayerRange


class LayoutPlanner:
    """One round over the servers of one model."""

    def __init__(self, engine: EngineProfile, servers: Iterable[BackendServer]) -> None:
        self._engine = engine
        self._servers = [one for one in servers if one.state is ServerState.READY and one.kind in engine.kinds]
        self._halls: defaultdict[str, list[BackendServer]] = defaultdict(list)
        for server in self._servers:
            self._halls[server.hall].append(server)
        self._counts: dict[str, list[int]] = {}  # by data hall: holders of each layer
        self._cover = [0.0] * engine.layers  # requests that all holders of a layer have room for
        for server in self._servers:
            for layers in server.layers:
                self._add(server, layers, 1)

    def plan_empty(self, *, takes_spare: bool = True) -> list[Placement]:
        """Plan for the servers that hold nothing: halls without any layer are tiled, others filled up.

        :param takes_spare: whether servers get layers that others in the hall hold already.
        """
        placements: list[Placement] = []
        for hall, servers in sorted(self._halls.items()):
            empty = [server for server in servers if not server.layers]
            if len(empty) == len(servers):
                placements += self._tile_hall(servers)
                continue
            for server in sorted(empty, key=lambda one: (-self._count_bytes(one), one.id)):
                layers = self._find_gap(server, hall)
                if layers is None and takes_spare:
                    layers = self._find_weakest(self._count_spare_layers(server))
                if layers is None:
                    continue
                self._add(server, layers, 1)
                placements.append(Placement(server, layers))
        return placements

    def plan_repair(self) -> list[Placement]:
        """Plan for layers that nobody in a hall holds: the servers beside them take them over."""
        placements = []
        for hall, servers in sorted(self._halls.items()):
            counts = self._counts.get(hall)
            if counts is None or not any(counts):
                continue
            runs = _list_runs([count == 0 for count in counts])
            placements += [placement for run in runs for placement in self._close_gap(servers, run)]
        return placements

    def plan_move(self) -> Placement | None:
        """Plan to move one server to layers that too few hold; none while the cover is good enough."""
        mean = sum(self._cover) / len(self._cover)
        weakest = min(self._cover)
        if not mean or weakest >= WEAK_SHARE * mean:
            return None
        best: Placement | None = None
        best_cover = max(MOVE_GAIN * weakest, 1.0)
        for server in self._servers:
            if len(server.layers) != 1:
                continue
            held = server.layers[0]
            self._add(server, held, -1)
            layers = self._find_weakest(self._count_spare_layers(server))
            self._add(server, layers, 1)
            cover = min(self._cover)
            self._add(server, layers, -1)
            self._add(server, held, 1)
            if layers != held and cover > best_cover:
                best, best_cover = Placement(server, layers), cover
        return best

    def _tile_hall(self, servers: Sequence[BackendServer]) -> Iterator[Placement]:
        weights = self._engine.layers * self._engine.layer_bytes
        total = sum(self._count_bytes(server) for server in servers)
        groups = max(1, int(total / (GROUP_MEMORY * weights)))
        for group in self._deal(servers, groups):
            yield from self._tile(group)

    def _deal(self, servers: Sequence[BackendServer], groups: int) -> list[list[BackendServer]]:
        """Deal servers into groups of about the same memory."""
        dealt: list[list[BackendServer]] = [[] for _ in range(groups)]
        filled = [0.0] * groups
        for server in sorted(servers, key=lambda one: (-self._count_bytes(one), one.id)):
            index = min(range(groups), key=lambda one: filled[one])
            dealt[index].append(server)
            filled[index] += self._count_bytes(server)
        return dealt

    def _tile(self, group: Sequence[BackendServer]) -> Iterator[Placement]:
        """Tile all layers once in proportion to memory; servers beyond the layers, or too small, stay for gaps."""
        total = sum(self._count_bytes(server) for server in group)
        first = 0
        passed = 0.0
        for server in group:
            passed += self._count_bytes(server)
            end = min(round(self._engine.layers * passed / total), first + self._count_most_layers(server))
            if end <= first:
                continue
            layers = LayerRange(first, end)
            self._add(server, layers, 1)
            yield Placement(server, layers)
            first = end

    def _find_gap(self, server: BackendServer, hall: str) -> LayerRange | None:
        """Find the layers that an empty server should hold first: those that nobody in its hall holds."""
        counts = self._counts.get(hall, [0] * self._engine.layers)
        runs = _list_runs([count == 0 for count in counts])
        if not runs:
            return None
        gap = max(runs, key=len)
        most = self._count_most_layers(server)
        if len(gap) > most:
            return LayerRange(gap.first, gap.first + self._count_spare_layers(server))
        return gap

    def _close_gap(self, servers: Iterable[BackendServer], gap: LayerRange) -> list[Placement]:
        """Let the servers on both sides of a gap share it by the room they have."""
        before = max(_list_beside(servers, gap, is_before=True), key=self._count_free, default=None)
        after = max(_list_beside(servers, gap, is_before=False), key=self._count_free, default=None)
        free_before = self._count_free(before) if before is not None else 0
        free_after = self._count_free(after) if after is not None else 0
        if free_before + free_after < len(gap):
            return []
        middle = gap.first + min(free_before, round(len(gap) * free_before / (free_before + free_after)))
        middle = max(middle, gap.end - free_after)
        placements = []
        if before is not None and middle > gap.first:
            placements.append(Placement(before, LayerRange(before.layers[0].first, middle)))
        if after is not None and middle < gap.end:
            placements.append(Placement(after, LayerRange(middle, after.layers[0].end)))
        return placements

    def _find_weakest(self, size: int) -> LayerRange:
        starts = range(self._engine.layers - size + 1)
        first = min(starts, key=lambda start: sum(self._cover[start : start + size]))
        return LayerRange(first, first + size)

    def _add(self, server: BackendServer, layers: LayerRange, sign: int) -> None:
        counts = self._counts.setdefault(server.hall, [0] * self._engine.layers)
        usual = (self._engine.usual_prompt + self._engine.usual_answer) * self._engine.cache_bytes * len(layers)
        free = self._count_bytes(server) - len(layers) * self._engine.layer_bytes
        requests = max(1.0, free / usual)
        for layer in range(layers.first, min(layers.end, self._engine.layers)):
            counts[layer] += sign
            self._cover[layer] += sign * requests

    def _count_bytes(self, server: BackendServer) -> float:
        return self._engine.kinds[server.kind or ""].bytes

    def _count_most_layers(self, server: BackendServer) -> int:
        return max(1, int(MAX_WEIGHTS_SHARE * self._count_bytes(server) / self._engine.layer_bytes))

    def _count_spare_layers(self, server: BackendServer) -> int:
        wanted = int(SPARE_WEIGHTS_SHARE * self._count_bytes(server) / self._engine.layer_bytes)
        return max(1, min(wanted, self._engine.layers))

    def _count_free(self, server: BackendServer) -> int:
        """Count the layers that a server may take beside its own."""
        return max(0, self._count_most_layers(server) - sum(len(layers) for layers in server.layers))


def _list_beside(servers: Iterable[BackendServer], gap: LayerRange, *, is_before: bool) -> list[BackendServer]:
    """List the servers with one range that ends where a gap begins, or begins where it ends."""
    single = [server for server in servers if len(server.layers) == 1]
    if is_before:
        return [server for server in single if server.layers[0].end == gap.first]
    return [server for server in single if server.layers[0].first == gap.end]


def _list_runs(flags: Sequence[bool]) -> list[LayerRange]:
    """List the runs of layers that are flagged."""
    runs = []
    first: int | None = None
    for layer, is_flagged in enumerate([*flags, False]):
        if is_flagged and first is None:
            first = layer
        elif not is_flagged and first is not None:
            runs.append(LayerRange(first, layer))
            first = None
    return runs


__all__ = ["LayoutPlanner", "Placement"]
