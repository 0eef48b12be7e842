"""Complete tilings of a data hall: each covers all layers exactly once and in order, with the fastest servers first."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.layermap import HOP_TIME_S
from vaneturn_core.traffic.memory import ServerMemory
from vaneturn_core.traffic.servers import BackendServer, LayerRange

REDUCED_CAPACITY_SHARE: Final = 0.85  # if it saves a chain its last server, which costs each token 0.8 ms
CAPACITY_STEPS: Final = 12  # bisections for the capacity of a chain: precise to a fortieth of a request at 96
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
        requests = self._find_capacity(servers)
        total_layers = sum(self._memory.count_roomy_layers(server, requests) for server in servers)
        placements: list[Placement] = []
        left_over: list[BackendServer] = []
        for group in self._divide(servers, max(1, total_layers // self._engine.layers)):
            fastest_first = sorted(group, key=lambda member: (self._estimate_layer_time(member, requests), member.id))
            parts = self._take_tiling(fastest_first, requests)
            shorter = self._take_tiling(fastest_first, REDUCED_CAPACITY_SHARE * requests)
            parts = shorter if len(shorter) < len(parts) else parts
            placements += _lay_out(parts, int(shift * self._engine.layers))
            left_over += fastest_first[len(parts) :]
            shift = (shift + TILING_SHIFT) % 1
        return placements, left_over

    def _divide(self, servers: Iterable[BackendServer], groups: int) -> list[list[BackendServer]]:
        """Divide servers into groups with about the same memory and kinds, one for each tiling."""
        members: list[list[BackendServer]] = [[] for _ in range(groups)]
        filled = [0.0] * groups
        for server in sorted(servers, key=lambda candidate: (-self._memory.count_bytes(candidate), candidate.id)):
            index = min(range(groups), key=lambda group: filled[group])
            members[index].append(server)
            filled[index] += self._memory.count_bytes(server)
        return members

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

    def _find_capacity(self, servers: Iterable[BackendServer]) -> float:
        """Find how many requests a chain of the hall can have memory for, up to the wanted number."""
        low, high = 0.0, self._most_requests
        if self._can_tile(servers, high):
            return high
        for _ in range(CAPACITY_STEPS):
            middle = (low + high) / 2
            if self._can_tile(servers, middle):
                low = middle
            else:
                high = middle
        return low

    def _can_tile(self, servers: Iterable[BackendServer], requests: float) -> bool:
        return sum(self._memory.count_roomy_layers(server, requests) for server in servers) >= self._engine.layers

    def _estimate_layer_time(self, server: BackendServer, requests: float) -> float:
        """Estimate the seconds that a token takes per layer on a server, including its wait there."""
        step = self._engine.step * self._engine.kinds[server.kind or ""].step_factor / self._engine.layers
        return step + HOP_TIME_S / max(1, self._memory.count_roomy_layers(server, requests))


def _lay_out(parts: Sequence[tuple[BackendServer, int]], before: int) -> Iterator[Placement]:
    """Assign parts to layers, rotated: the last parts come first until enough layers are before the first part."""
    rotation = len(parts)
    while rotation > 1 and sum(size for _, size in parts[rotation:]) < before:
        rotation -= 1
    first = 0
    for server, size in [*parts[rotation:], *parts[:rotation]]:
        yield Placement(server, LayerRange(first, first + size))
        first += size


__all__ = ["HallTiler", "Placement"]
