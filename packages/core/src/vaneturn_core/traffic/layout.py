"""Planning of which layers each backend server should hold: complete chains inside each data hall, fast servers first.

The servers of a hall cover all layers in order of speed. Each gets as many layers as leave it memory for the requests
that one chain can have in progress. The fastest servers get different layers in each hall, so that the loss of one kind
of server in all halls does not remove every copy of a layer. The servers left over hold second copies of the smallest
parts of a hall, so that the hall keeps a chain when one of those is lost.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.memory import ServerMemory
from vaneturn_core.traffic.servers import BackendServer, LayerRange, ServerState
from vaneturn_core.traffic.tilings import HallTiler, Placement

LOW_COVERAGE_SHARE: Final = 0.35  # of the mean coverage; a server is moved to layers below this
# share of a first server's slots for which each part of a chain should have memory. With 0.67, six busy days on 38
# servers scored 0.65; with 1.0 they scored 0.59, since more layers are on slow servers, and with 0.5 they scored 0.52,
# since memory runs short
CAPACITY_SHARE: Final = 0.67
MIN_MOVE_GAIN: Final = 1.25  # by which a move must improve the lowest coverage, since it costs a model load


class LayoutPlanner:
    """Plans one round of placements for the servers of one model."""

    def __init__(self, engine: EngineProfile, servers: Iterable[BackendServer]) -> None:
        self._engine = engine
        self._servers = [ready for ready in servers if ready.state is ServerState.READY and ready.kind in engine.kinds]
        self._halls: defaultdict[str, list[BackendServer]] = defaultdict(list)
        for server in self._servers:
            self._halls[server.hall].append(server)
        self._counts: dict[str, list[int]] = {}  # by data hall: number of holders of each layer
        self._sizes: dict[str, list[int]] = {}  # by data hall: size of the largest part that holds each layer
        self._most_requests = CAPACITY_SHARE * engine.slots
        self._memory = ServerMemory(engine)
        self._tiler = HallTiler(engine, self._memory, self._most_requests)
        self._coverage = [0.0] * engine.layers  # coverage of each layer: requests that all its holders have memory for
        for server in self._servers:
            for layers in server.layers:
                self._add(server, layers, 1)

    def plan_empty(self, *, takes_spare: bool = True) -> list[Placement]:
        """Plan for the servers that hold no layers: tile the halls without any layers, and fill the gaps of the others.

        :param takes_spare: whether a server may get layers that others in its hall already hold.
        """
        placements: list[Placement] = []
        for number, (hall, servers) in enumerate(sorted(self._halls.items())):
            empty = [server for server in servers if not server.layers]
            if len(empty) == len(servers):
                placements += self._tile_hall(servers, number / len(self._halls))
                continue
            for server in sorted(empty, key=lambda candidate: (-self._memory.count_bytes(candidate), candidate.id)):
                layers = self._find_gap(server, hall)
                if layers is None and takes_spare:
                    layers = self._find_second_copy(server)
                if layers is None:
                    continue
                self._add(server, layers, 1)
                placements.append(Placement(server, layers))
        return placements

    def plan_repair(self) -> list[Placement]:
        """Plan for layers that no server in a hall holds: the servers with the adjacent layers take them over."""
        placements = []
        for hall, servers in sorted(self._halls.items()):
            counts = self._counts.get(hall)
            if counts is None or not any(counts):
                continue
            runs = _list_runs([count == 0 for count in counts])
            placements += [placement for run in runs for placement in self._divide_gap(servers, run)]
        return placements

    def plan_move(self) -> Placement | None:
        """Plan to move one server to layers with too little coverage; none while coverage is sufficient."""
        mean = sum(self._coverage) / len(self._coverage)
        weakest = min(self._coverage)
        if not mean or weakest >= LOW_COVERAGE_SHARE * mean:
            return None
        best: Placement | None = None
        best_coverage = max(MIN_MOVE_GAIN * weakest, 1.0)
        for server in self._servers:
            if len(server.layers) != 1:
                continue
            held = server.layers[0]
            self._add(server, held, -1)
            layers = self._find_weakest(server)
            self._add(server, layers, 1)
            coverage = min(self._coverage)
            self._add(server, layers, -1)
            self._add(server, held, 1)
            if layers != held and coverage > best_coverage:
                best, best_coverage = Placement(server, layers), coverage
        return best

    def _tile_hall(self, servers: Iterable[BackendServer], shift: float) -> Iterator[Placement]:
        """Tile all layers as often as the memory allows; the servers left over hold second copies."""
        placements, left_over = self._tiler.tile(servers, shift)
        for placement in placements:
            self._add(placement.server, placement.layers, 1)
            yield placement
        for server in left_over:
            layers = self._find_second_copy(server)
            self._add(server, layers, 1)
            yield Placement(server, layers)

    def _find_gap(self, server: BackendServer, hall: str) -> LayerRange | None:
        """Find layers for an empty server in the largest gap of its hall; none when the hall has no gap."""
        counts = self._counts.get(hall, [0] * self._engine.layers)
        runs = _list_runs([count == 0 for count in counts])
        if not runs:
            return None
        gap = max(runs, key=len)
        most = self._memory.count_most_layers(server)
        if len(gap) > most:
            return LayerRange(
                gap.first, gap.first + max(1, self._memory.count_roomy_layers(server, self._most_requests))
            )
        return gap

    def _divide_gap(self, servers: Iterable[BackendServer], gap: LayerRange) -> list[Placement]:
        """Divide a gap between the servers on both sides of it, in proportion to their free memory."""
        before = max(_list_beside(servers, gap, is_before=True), key=self._memory.count_free, default=None)
        after = max(_list_beside(servers, gap, is_before=False), key=self._memory.count_free, default=None)
        free_before = self._memory.count_free(before) if before is not None else 0
        free_after = self._memory.count_free(after) if after is not None else 0
        if free_before + free_after < len(gap):
            return self._move_spares(servers, gap)
        middle = gap.first + min(free_before, round(len(gap) * free_before / (free_before + free_after)))
        middle = max(middle, gap.end - free_after)
        placements = []
        if before is not None and middle > gap.first:
            placements.append(Placement(before, LayerRange(before.layers[0].first, middle)))
        if after is not None and middle < gap.end:
            placements.append(Placement(after, LayerRange(middle, after.layers[0].end)))
        return placements

    def _move_spares(self, servers: Iterable[BackendServer], gap: LayerRange) -> list[Placement]:
        """Move servers whose layers have other holders in the hall into a gap; none if they cannot close all of it."""
        placements: list[Placement] = []
        first = gap.first
        for server in sorted(servers, key=lambda candidate: (-self._memory.count_most_layers(candidate), candidate.id)):
            if first >= gap.end:
                break
            if len(server.layers) != 1 or not self._has_second_copies(server):
                continue
            layers = LayerRange(first, min(gap.end, first + self._memory.count_most_layers(server)))
            self._add(server, server.layers[0], -1)
            self._add(server, layers, 1)
            placements.append(Placement(server, layers))
            first = layers.end
        if first >= gap.end:
            return placements
        for placement in placements:
            self._add(placement.server, placement.layers, -1)
            self._add(placement.server, placement.server.layers[0], 1)
        return []

    def _has_second_copies(self, server: BackendServer) -> bool:
        held = server.layers[0]
        return min(self._counts[server.hall][held.first : held.end]) > 1

    def _find_second_copy(self, server: BackendServer) -> LayerRange:
        """Find layers for a spare server: those with few holders in its hall, then small parts, then low coverage."""
        counts = self._counts.setdefault(server.hall, [0] * self._engine.layers)
        sizes = self._sizes.setdefault(server.hall, [0] * self._engine.layers)
        return self._find_lowest(server, counts, sizes, self._coverage)

    def _find_weakest(self, server: BackendServer) -> LayerRange:
        """Find the layers with the lowest coverage over all halls."""
        return self._find_lowest(server, self._coverage)

    def _find_lowest(self, server: BackendServer, *figures: Sequence[float]) -> LayerRange:
        """Find the layers with the lowest sum of the first figure; the next figures break ties."""
        size = max(1, min(self._memory.count_roomy_layers(server, self._most_requests), self._engine.layers))
        starts = range(self._engine.layers - size + 1)
        first = min(starts, key=lambda start: [sum(figure[start : start + size]) for figure in figures])
        return LayerRange(first, first + size)

    def _add(self, server: BackendServer, layers: LayerRange, sign: int) -> None:
        counts = self._counts.setdefault(server.hall, [0] * self._engine.layers)
        sizes = self._sizes.setdefault(server.hall, [0] * self._engine.layers)
        requests = self._memory.count_requests(server, layers)
        for layer in range(layers.first, min(layers.end, self._engine.layers)):
            counts[layer] += sign
            sizes[layer] = max(sizes[layer], len(layers))
            self._coverage[layer] += sign * requests


def _list_beside(servers: Iterable[BackendServer], gap: LayerRange, *, is_before: bool) -> list[BackendServer]:
    """List the servers with a single range that ends where a gap begins, or begins where the gap ends."""
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
