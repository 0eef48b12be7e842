"""Complete tilings of a data hall: each covers all layers exactly once and in order, with the fastest servers first."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.layermap import HOP_TIME
from vaneturn_core.traffic.memory import ServerMemory
from vaneturn_core.traffic.servers import BackendServer, LayerRange

LESS_ROOM: Final = 0.85  # of the wanted capacity; accepted if it saves a server, which would cost each token 0.8 ms
ROOM_STEPS: Final = 12  # bisection steps for the capacity of a chain: precise to a fortieth of a request at 96
TILING_SHIFT: Final = 0.5  # of the layers; offset between the fastest servers of successive tilings of a hall


@dataclass(frozen=True, slots=True)
class Placement:
    """The layers that one server should hold."""

    server: BackendServer
    layers: LayerRange


class HallTiler:
    """Computes tilings of halls for the servers of one model."""

    def __init__(self, engine: EngineProfile, memory: ServerMemory, most_requests: float) -> None:
        """Create a tiler.

        :param most_requests: requests that a chain should have memory for, if its hall has enough.
        """
        self._engine = engine
        self._memory = memory
        self._most_requests = most_requests

    def tile(self, servers: Iterable[BackendServer], shift: float) -> tuple[list[Placement], list[BackendServer]]:
        """Tile all layers as often as the memory allows; return the placements and the servers left over.

        :param shift: share of the layers before the fastest server of the first tiling.
        """
        requests = self._find_room(servers)
        roomy = sum(self._memory.count_roomy_layers(server, requests) for server in servers)
        placements: list[Placement] = []
        left_over: list[BackendServer] = []
        for group in self._deal(servers, max(1, roomy // self._engine.layers)):
            fastest_first = sorted(group, key=lambda one: (self._estimate_layer_time(one, requests), one.id))
            parts = self._take_tiling(fastest_first, requests)
            shorter = self._take_tiling(fastest_first, LESS_ROOM * requests)
            parts = shorter if len(shorter) < len(parts) else parts
            placements += _lay_out(parts, int(shift * self._engine.layers))
            left_over += fastest_first[len(parts) :]
            shift = (shift + TILING_SHIFT) % 1
        return placements, left_over

    def _deal(self, servers: Iterable[BackendServer], groups: int) -> list[list[BackendServer]]:
        """Divide servers into groups with about the same memory and kinds, one for each tiling."""
        dealt: list[list[BackendServer]] = [[] for _ in range(groups)]
        filled = [0.0] * groups
        for server in sorted(servers, key=lambda one: (-self._memory.count_bytes(one), one.id)):
            index = min(range(groups), key=lambda one: filled[one])
            dealt[index].append(server)
            filled[index] += self._memory.count_bytes(server)
        return dealt

    def _take_tiling(self, servers: Sequence[BackendServer], requests: float) -> list[tuple[BackendServer, int]]:
        """Take servers in order until they hold all layers, each with its number of layers; empty if they cannot."""
        parts: list[tuple[BackendServer, int]] = []
        left = self._engine.layers
        for server in servers:
            size = min(left, max(1, self._memory.count_roomy_layers(server, requests)))
            parts.append((server, size))
            left -= size
            if not left:
                return parts
        return []

    def _find_room(self, servers: Iterable[BackendServer]) -> float:
        """Find how many requests a chain of the hall can have memory for, up to the wanted number."""
        least, most = 0.0, self._most_requests
        if self._can_tile(servers, most):
            return most
        for _ in range(ROOM_STEPS):
            middle = (least + most) / 2
            if self._can_tile(servers, middle):
                least = middle
            else:
                most = middle
        return least

    def _can_tile(self, servers: Iterable[BackendServer], requests: float) -> bool:
        return sum(self._memory.count_roomy_layers(server, requests) for server in servers) >= self._engine.layers

    def _estimate_layer_time(self, server: BackendServer, requests: float) -> float:
        """Estimate the seconds that a token takes per layer on a server, including its wait there."""
        step = self._engine.step * self._engine.kinds[server.kind or ""].step_factor / self._engine.layers
        return step + HOP_TIME / max(1, self._memory.count_roomy_layers(server, requests))


def _lay_out(parts: Sequence[tuple[BackendServer, int]], before: int) -> Iterator[Placement]:
    """Assign parts to layers, rotated: the last parts come first until enough layers are before the first part."""
    turn = len(parts)
    while turn > 1 and sum(size for _, size in parts[turn:]) < before:
        turn -= 1
    first = 0
    for server, size in [*parts[turn:], *parts[:turn]]:
        yield Placement(server, LayerRange(first, first + size))
        first += size


__all__ = ["HallTiler", "Placement"]
