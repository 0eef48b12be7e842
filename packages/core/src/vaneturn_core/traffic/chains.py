"""Choice of the chain of backend servers that runs all layers of one request."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.identifiers import DataHall
from vaneturn_core.tiling import assert_tiling
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.servers import BackendServer, ServerBeliefs

HOP_TIME: Final = 0.0008  # seconds a token waits at each server for the pass under way, from the published steps
CROWDING_TIME: Final = 0.006  # seconds that a half-full server counts as slower
FULL: Final = 0.97  # of a server's memory; beyond it, requests are put back
FULL_TIME: Final = 10.0  # seconds that a full server counts as slower: it is taken only if no other is left
PIPE_WEIGHT: Final = 4.0  # of the time that a prompt takes a pipe between halls: all who share it wait as well
OUTSIDE: Final = ""  # where a request is before the first server
VERY_SLOW: Final = 2.5  # times slower than its kind: streams over such a server pause for too long
SLOW_TIME: Final = 0.3  # seconds that such a server counts as slower: more than a crossing, less than a full one
MAX_PARTS: Final = 32  # that a chain may have


@dataclass(frozen=True, slots=True)
class Part:
    """The layers [first, end) run on one server."""

    server: BackendServer
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class Chain:
    """The servers of one request, in the order of the layers."""

    layers: int
    parts: tuple[Part, ...]
    crowding: float  # share of its memory that is taken on the fullest server

    def __post_init__(self) -> None:
        assert_chain(self.parts, self.layers)

    @property
    def first(self) -> BackendServer:
        """The server that takes the request and answers it."""
        return self.parts[0].server


def assert_chain(parts: Sequence[Part], layers: int) -> None:
    """Stop the process on parts that do not tile all layers, or name a server twice.

    :raises AssertionError: the invariant is broken.
    """
    assert_tiling(parts, layers)
    if len({part.server.address for part in parts}) != len(parts):
        raise AssertionError(f"a server stands twice in a chain: {parts}")


@dataclass(frozen=True, slots=True)
class _Way:
    """The cheapest way found to a boundary, as a linked list of parts."""

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


class ChainChooser:
    """Chooses by the time of a token and by how full each server is; one instance for each choice."""

    def __init__(
        self,
        *,
        engine: EngineProfile,
        beliefs: ServerBeliefs,
        hall: DataHall,
        share: float,
        prompt: float,
        tokens: float,
        now: float,
    ) -> None:
        """Prepare a choice.

        :param hall: of this node.
        :param share: how many times this node's requests are in progress over all nodes.
        :param prompt: tokens of the request's prompt.
        :param now: steady time, for what was told a while ago.
        :param tokens: that the request will hold in the end.
        """
        self._engine = engine
        self._beliefs = beliefs
        self._hall = hall
        self._share = share
        self._prompt = prompt
        self.tokens = tokens
        self._now = now

    def choose(self, servers: Iterable[BackendServer]) -> Chain | None:
        """Choose a chain over servers that may get work; none when they do not hold all layers."""
        holders = [server for server in servers if server.layers and server.kind in self._engine.kinds]
        chain = self._search(holders, inner_ends=True)
        return chain or self._search(holders, inner_ends=False)

    def choose_replacement(self, servers: Iterable[BackendServer], kept: Sequence[Part], lost: Part) -> list[Part]:
        """Choose servers for the layers of a lost part; empty when none are free beside the kept ones."""
        taken = {part.server.address for part in kept}
        holders = [server for server in servers if server.layers and server.address not in taken]
        start = _Way(0.0, None, None)
        best = self._find_way(holders, lost.first, lost.end, start, inner_ends=False)
        parts = best.list_parts() if best is not None else []
        return parts if len({part.server.address for part in parts}) == len(parts) else []

    def _search(self, holders: Sequence[BackendServer], *, inner_ends: bool) -> Chain | None:
        best = self._find_way(holders, 0, self._engine.layers, _Way(0.0, None, None), inner_ends=inner_ends)
        if best is None:
            return None
        parts = best.list_parts()
        if len(parts) > MAX_PARTS or len({part.server.address for part in parts}) != len(parts):
            return None
        crowding = max(self.estimate_crowding(part) for part in parts)
        return Chain(self._engine.layers, tuple(parts), crowding)

    def _find_way(
        self, holders: Sequence[BackendServer], first: int, end: int, start: _Way, *, inner_ends: bool
    ) -> _Way | None:
        """Find the cheapest way from one boundary to another.

        Only the best way into each data hall is kept at a boundary: what follows costs the same after any of them.
        """
        boundaries = _list_boundaries(holders, first, end)
        ways: defaultdict[int, dict[str, _Way]] = defaultdict(dict)
        ways[first][OUTSIDE] = start
        for boundary in boundaries[:-1]:
            if not ways[boundary]:
                continue
            for server in holders:
                for part in _list_parts(server, boundary, boundaries, inner_ends=inner_ends):
                    self._extend(ways, part)
        return min(ways[end].values(), key=lambda way: way.cost, default=None)

    def _extend(self, ways: Mapping[int, dict[str, _Way]], part: Part) -> None:
        hall = part.server.hall
        own = self._estimate_time(part)
        before = min(ways[part.first].items(), key=lambda item: item[1].cost + self._estimate_crossing(item[0], hall))
        cost = before[1].cost + self._estimate_crossing(before[0], hall) + own
        known = ways[part.end].get(hall)
        if known is None or cost < known.cost:
            ways[part.end][hall] = _Way(cost, part, before[1])

    def _estimate_crossing(self, one: str, other: str) -> float:
        """Estimate the time between two servers of a chain, or from this node to the first."""
        if one == OUTSIDE:
            return self._find_delay(self._hall, other)
        if one == other:
            return 0.0
        pipe = self._prompt * self._engine.handover_bytes / self._engine.pipe_rate
        return self._find_delay(one, other) + PIPE_WEIGHT * pipe

    def _find_delay(self, one: str, other: str) -> float:
        return 0.0 if one == other else self._engine.delays.get((DataHall(one), DataHall(other)), 0.0)

    def estimate_crowding(self, part: Part) -> float:
        """Estimate the share of a server's memory that is taken once the request is there."""
        room = part.server.compute_room(self._engine)
        if room <= 0:
            return 1.0
        taken = self._beliefs[part.server.id].reserved * self._share
        return (taken + self.tokens * (part.end - part.first)) / room

    def _estimate_time(self, part: Part) -> float:
        kind = self._engine.kinds[part.server.kind or ""]
        share = (part.end - part.first) / self._engine.layers
        crowding = self.estimate_crowding(part)
        crowded = FULL_TIME * crowding if crowding >= FULL else CROWDING_TIME * crowding / (1 - crowding)
        slowness = self._beliefs[part.server.id].read_slowness(self._now)
        slow = SLOW_TIME if slowness >= VERY_SLOW else 0.0
        return slowness * (self._engine.step * kind.step_factor * share + HOP_TIME) + crowded + slow


def _list_boundaries(holders: Iterable[BackendServer], first: int, end: int) -> list[int]:
    edges = {first, end}
    for server in holders:
        for layers in server.layers:
            edges.update(edge for edge in (layers.first, layers.end) if first < edge < end)
    return sorted(edges)


def _list_parts(server: BackendServer, boundary: int, boundaries: Sequence[int], *, inner_ends: bool) -> Iterable[Part]:
    """List what a server can run from a boundary on: to the end of its range, and to boundaries inside it."""
    for layers in server.layers:
        if not layers.first <= boundary < layers.end:
            continue
        last = min(layers.end, boundaries[-1])
        yield Part(server, boundary, last)
        if inner_ends:
            yield from (Part(server, boundary, end) for end in boundaries if boundary < end < last)


__all__ = ["VERY_SLOW", "Chain", "ChainChooser", "Part", "assert_chain"]
