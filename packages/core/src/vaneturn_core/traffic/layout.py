"""The plan of which layers each backend server should hold: whole chains inside each data hall, fast servers first.

A hall's servers tile all layers in the order of their speed, each with as many layers as leave it room for the requests
that one chain can have in progress. Each hall begins with its fastest servers at other layers, so that the loss of the
same kind of server in all halls leaves every layer somewhere. Servers left over double the smallest parts of a hall:
the loss of one of them leaves a chain there.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.layermap import HOP_TIME
from vaneturn_core.traffic.servers import BackendServer, LayerRange, ServerState

MAX_WEIGHTS_SHARE: Final = 0.75  # of a server's memory that weights may take; the rest is room for requests
WEAK_SHARE: Final = 0.35  # of the mean cover; layers below it get a server from elsewhere
ROOM_SHARE: Final = 0.67  # of the requests that a first server takes: more room would cost layers on fast servers
TILING_SHIFT: Final = 0.5  # of the layers, between the fastest servers of two tilings of a hall
LESS_ROOM: Final = 0.85  # of that room, where it spares a chain its last server, which costs each token 0.8 ms
ROOM_STEPS: Final = 12  # halvings of the room of a chain: to a fortieth of a request at 96
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
        self._sizes: dict[str, list[int]] = {}  # by data hall: layers of the largest part that holds each layer
        self._most_requests = ROOM_SHARE * engine.slots
        self._cover = [0.0] * engine.layers  # requests that all holders of a layer have room for
        for server in self._servers:
            for layers in server.layers:
                self._add(server, layers, 1)

    def plan_empty(self, *, takes_spare: bool = True) -> list[Placement]:
        """Plan for the servers that hold nothing: halls without any layer are tiled, others filled up.

        :param takes_spare: whether servers get layers that others in the hall hold already.
        """
        placements: list[Placement] = []
        for number, (hall, servers) in enumerate(sorted(self._halls.items())):
            empty = [server for server in servers if not server.layers]
            if len(empty) == len(servers):
                placements += self._tile_hall(servers, number / len(self._halls))
                continue
            for server in sorted(empty, key=lambda one: (-self._count_bytes(one), one.id)):
                layers = self._find_gap(server, hall)
                if layers is None and takes_spare:
                    layers = self._find_spare(server)
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
            layers = self._find_weakest(server)
            self._add(server, layers, 1)
            cover = min(self._cover)
            self._add(server, layers, -1)
            self._add(server, held, 1)
            if layers != held and cover > best_cover:
                best, best_cover = Placement(server, layers), cover
        return best

    def _tile_hall(self, servers: Iterable[BackendServer], shift: float) -> Iterator[Placement]:
        """Tile all layers as often as they fit; the servers left over double some of them.

        :param shift: share of the layers before the fastest server of the first tiling.
        """
        requests = self._find_room(servers)
        rest = sorted(servers, key=lambda one: (self._estimate_layer_time(one, requests), one.id))
        while parts := self._take_tiling(rest, requests):
            shorter = self._take_tiling(rest, LESS_ROOM * requests)
            parts = shorter if len(shorter) < len(parts) else parts
            rest = rest[len(parts) :]
            for placement in _lay_out(parts, int(shift * self._engine.layers)):
                self._add(placement.server, placement.layers, 1)
                yield placement
            shift = (shift + TILING_SHIFT) % 1
        for server in rest:
            layers = self._find_spare(server)
            self._add(server, layers, 1)
            yield Placement(server, layers)

    def _take_tiling(self, servers: Sequence[BackendServer], requests: float) -> list[tuple[BackendServer, int]]:
        """Take the first servers that hold all layers, each with its number of layers; empty when all do not."""
        parts: list[tuple[BackendServer, int]] = []
        left = self._engine.layers
        for server in servers:
            size = min(left, max(1, self._count_roomy_layers(server, requests)))
            parts.append((server, size))
            left -= size
            if not left:
                return parts
        return []

    def _find_room(self, servers: Iterable[BackendServer]) -> float:
        """Find how many requests a chain of a hall can have room for: those that its first server takes, or fewer."""
        least, most = 0.0, self._most_requests
        if sum(self._count_roomy_layers(server, most) for server in servers) >= self._engine.layers:
            return most
        for _ in range(ROOM_STEPS):
            middle = (least + most) / 2
            if sum(self._count_roomy_layers(server, middle) for server in servers) >= self._engine.layers:
                least = middle
            else:
                most = middle
        return least

    def _estimate_layer_time(self, server: BackendServer, requests: float) -> float:
        """Estimate the seconds that a token takes for each layer there, its wait at the server included."""
        step = self._engine.step * self._engine.kinds[server.kind or ""].step_factor / self._engine.layers
        return step + HOP_TIME / max(1, self._count_roomy_layers(server, requests))

    def _find_gap(self, server: BackendServer, hall: str) -> LayerRange | None:
        """Find the layers that an empty server should hold first: those that nobody in its hall holds."""
        counts = self._counts.get(hall, [0] * self._engine.layers)
        runs = _list_runs([count == 0 for count in counts])
        if not runs:
            return None
        gap = max(runs, key=len)
        most = self._count_most_layers(server)
        if len(gap) > most:
            return LayerRange(gap.first, gap.first + max(1, self._count_roomy_layers(server, self._most_requests)))
        return gap

    def _close_gap(self, servers: Iterable[BackendServer], gap: LayerRange) -> list[Placement]:
        """Let the servers on both sides of a gap share it by the room they have."""
        before = max(_list_beside(servers, gap, is_before=True), key=self._count_free, default=None)
        after = max(_list_beside(servers, gap, is_before=False), key=self._count_free, default=None)
        free_before = self._count_free(before) if before is not None else 0
        free_after = self._count_free(after) if after is not None else 0
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
        """Let servers whose layers others in the hall hold as well close a gap; none when they cannot close it all."""
        placements: list[Placement] = []
        first = gap.first
        for server in sorted(servers, key=lambda one: (-self._count_most_layers(one), one.id)):
            if first >= gap.end:
                break
            if len(server.layers) != 1 or not self._is_doubled(server):
                continue
            layers = LayerRange(first, min(gap.end, first + self._count_most_layers(server)))
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

    def _is_doubled(self, server: BackendServer) -> bool:
        held = server.layers[0]
        return min(self._counts[server.hall][held.first : held.end]) > 1

    def _find_spare(self, server: BackendServer) -> LayerRange:
        """Find the layers that a server more should double: few holders in its hall, small parts, weak cover."""
        counts = self._counts.setdefault(server.hall, [0] * self._engine.layers)
        sizes = self._sizes.setdefault(server.hall, [0] * self._engine.layers)
        return self._find_least(server, counts, sizes, self._cover)

    def _find_weakest(self, server: BackendServer) -> LayerRange:
        """Find the layers with the least room in all halls."""
        return self._find_least(server, self._cover)

    def _find_least(self, server: BackendServer, *figures: Sequence[float]) -> LayerRange:
        """Find the layers for a server with the least sum of the first figure; the next ones decide between equals."""
        size = max(1, min(self._count_roomy_layers(server, self._most_requests), self._engine.layers))
        starts = range(self._engine.layers - size + 1)
        first = min(starts, key=lambda start: [sum(figure[start : start + size]) for figure in figures])
        return LayerRange(first, first + size)

    def _add(self, server: BackendServer, layers: LayerRange, sign: int) -> None:
        counts = self._counts.setdefault(server.hall, [0] * self._engine.layers)
        sizes = self._sizes.setdefault(server.hall, [0] * self._engine.layers)
        free = self._count_bytes(server) - len(layers) * self._engine.layer_bytes
        requests = max(1.0, free / (self._count_request_bytes() * len(layers)))
        for layer in range(layers.first, min(layers.end, self._engine.layers)):
            counts[layer] += sign
            sizes[layer] = max(sizes[layer], len(layers))
            self._cover[layer] += sign * requests

    def _count_bytes(self, server: BackendServer) -> float:
        return self._engine.kinds[server.kind or ""].bytes

    def _count_most_layers(self, server: BackendServer) -> int:
        return max(1, int(MAX_WEIGHTS_SHARE * self._count_bytes(server) / self._engine.layer_bytes))

    def _count_roomy_layers(self, server: BackendServer, requests: float) -> int:
        """Count the layers that leave a server room for so many requests."""
        roomy = self._count_bytes(server) / (self._engine.layer_bytes + requests * self._count_request_bytes())
        return min(int(roomy), self._count_most_layers(server))

    def _count_request_bytes(self) -> float:
        """Count what a usual request takes for each layer."""
        return (self._engine.usual_prompt + self._engine.usual_answer) * self._engine.cache_bytes

    def _count_free(self, server: BackendServer) -> int:
        """Count the layers that a server may take beside its own."""
        return max(0, self._count_most_layers(server) - sum(len(layers) for layers in server.layers))


def _lay_out(parts: Sequence[tuple[BackendServer, int]], before: int) -> Iterator[Placement]:
    """Lay parts out over the layers, the last ones first until so many layers are before the first one."""
    turn = len(parts)
    while turn > 1 and sum(size for _, size in parts[turn:]) < before:
        turn -= 1
    first = 0
    for server, size in [*parts[turn:], *parts[:turn]]:
        yield Placement(server, LayerRange(first, first + size))
        first += size


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
