"""The plan of which layers each empty or badly used backend server should hold."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.servers import BackendServer, LayerRange, ServerState

WEIGHTS_SHARE: Final = 0.5  # of a server's memory; the rest holds requests: room x layers is greatest at a half
GRID_PARTS: Final = 20  # ranges meet at a twentieth of the layers, so that any server can replace another
OWN_HALL_WEIGHT: Final = 3.0  # of the cover in the own data hall, so that whole chains lie in one
WEAK_SHARE: Final = 0.35  # of the mean cover; a boundary's layers below it get a server from elsewhere


@dataclass(frozen=True, slots=True)
class Placement:
    """What one server should hold."""

    server: BackendServer
    layers: LayerRange


def compute_size(engine: EngineProfile, kind_name: str | None) -> int:
    """Compute how many layers a server of a kind should hold; 0 for an unknown kind."""
    kind = engine.kinds.get(kind_name or "")
    if kind is None:
        return 0
    grid = compute_grid(engine)
    most = int(kind.bytes // engine.layer_bytes)
    wanted = int(WEIGHTS_SHARE * kind.bytes / engine.layer_bytes) // grid * grid
    return min(engine.layers, max(wanted, min(grid, most)))


def compute_grid(engine: EngineProfile) -> int:
    """Compute the number of layers between two boundaries."""
    return max(1, engine.layers // GRID_PARTS)


class LayoutPlanner:
    """One round over the servers of one model."""

    def __init__(self, engine: EngineProfile, servers: Iterable[BackendServer]) -> None:
        self._engine = engine
        self._servers = [one for one in servers if one.state is ServerState.READY and compute_size(engine, one.kind)]
        self._cover: dict[str, list[float]] = {}  # by data hall: requests that the holders of each layer have room for
        for server in self._servers:
            for layers in server.layers:
                self._add(server, layers, 1.0)

    def plan_empty(self) -> list[Placement]:
        """Plan for the servers that hold nothing: the greatest first, each where the fewest serve."""
        empty = [server for server in self._servers if not server.layers]
        empty.sort(key=lambda one: (-compute_size(self._engine, one.kind), one.hall, one.id))
        placements = []
        for server in empty:
            layers = self._find_weakest(server)
            self._add(server, layers, 1.0)
            placements.append(Placement(server, layers))
        return placements

    def plan_move(self) -> Placement | None:
        """Plan to move one server to layers that too few hold; none while the cover is good enough."""
        total = self._sum_cover()
        mean = sum(total) / len(total)
        if not mean or min(total) >= WEAK_SHARE * mean:
            return None
        movable = [server for server in self._servers if len(server.layers) == 1]
        best: Placement | None = None
        best_cover = min(total) * 1.25 + 1e-9  # a move must gain a quarter, it costs a load
        for server in movable:
            held = server.layers[0]
            self._add(server, held, -1.0)
            layers = self._find_weakest(server, own_hall=0.0)
            self._add(server, layers, 1.0)
            cover = min(self._sum_cover())
            self._add(server, layers, -1.0)
            self._add(server, held, 1.0)
            if layers != held and cover > best_cover:
                best, best_cover = Placement(server, layers), cover
        return best

    def _add(self, server: BackendServer, layers: LayerRange, sign: float) -> None:
        cover = self._cover.setdefault(server.hall, [0.0] * self._engine.layers)
        room = sign * self._count_requests(server, layers)
        for layer in range(layers.first, min(layers.end, self._engine.layers)):
            cover[layer] += room

    def _count_requests(self, server: BackendServer, layers: LayerRange) -> float:
        """Count the usual requests that fit beside some layers."""
        kind = self._engine.kinds[server.kind or ""]
        usual = (self._engine.usual_prompt + self._engine.usual_answer) * self._engine.cache_bytes * len(layers)
        return max(1.0, (kind.bytes - len(layers) * self._engine.layer_bytes) / usual)

    def _sum_cover(self) -> Sequence[float]:
        return [sum(layer) for layer in zip(*self._cover.values(), strict=True)] or [0.0] * self._engine.layers

    def _find_weakest(self, server: BackendServer, own_hall: float = OWN_HALL_WEIGHT) -> LayerRange:
        size = compute_size(self._engine, server.kind)
        total = self._sum_cover()
        own = self._cover.get(server.hall, [0.0] * self._engine.layers)
        weights = [both + own_hall * one for both, one in zip(total, own, strict=True)]
        grid = compute_grid(self._engine)
        starts = {*range(0, self._engine.layers - size + 1, grid), self._engine.layers - size}
        first = min(sorted(starts), key=lambda start: sum(weights[start : start + size]))
        return LayerRange(first, first + size)


__all__ = ["LayoutPlanner", "Placement", "compute_grid", "compute_size"]
