"""Search for the cheapest path of parts from one boundary between layers to another."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.identifiers import DataHall
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.crowding import FULL_SHARE, estimate_crowding
from vaneturn_core.traffic.layermap import Boundaries, Holder, Part
from vaneturn_core.traffic.reading import PromptReading, estimate_pass, get_read_factor
from vaneturn_core.traffic.serverloads import EligibleLoads, PartLoad
from vaneturn_core.traffic.servers import ServerId

GROWTH_WEIGHT: Final = 2.0  # of a server's step growth: a new request slows the others there by as much again
LINK_WEIGHT: Final = 4.0  # of the time of a prompt on an inter-hall link: all who share the link wait as well
READ_WEIGHT: Final = 5.0  # of the time to read a prompt: enough to outweigh token times, not to fill servers
OUTSIDE_HALLS: Final = ""  # hall of a request before its first server
VERY_SLOW_FACTOR: Final = 2.5  # slowness from which the pauses of streams over a server are too long
SLOW_PENALTY_S: Final = 0.3  # for a very slow server: above that of a crossing, below that of a full server
MAX_PARTS: Final = 32  # per chain
MAX_HOLDERS: Final = 6  # servers compared per boundary, sampled at random: limits the time of a choice in large fleets


@dataclass(slots=True)
class Path:
    """The cheapest path found to a boundary, as a linked list of parts."""

    cost: float
    part: Part | None
    previous: Path | None

    def list_parts(self) -> list[Part]:
        """List the parts in the order of the layers."""
        parts: list[Part] = []
        path: Path | None = self
        while path is not None and path.part is not None:
            parts.append(path.part)
            path = path.previous
        return parts[::-1]


class PathSearch:
    """Finds paths with the lowest estimated token time, crowding included, for one request."""

    def __init__(
        self, engine: EngineProfile, hall: DataHall, prompt: float, tokens: float, reading: PromptReading | None = None
    ) -> None:
        """Prepare a search.

        :param hall: hall of this node.
        :param prompt: length of the request's prompt in tokens.
        :param tokens: expected length of the prompt and the answer in tokens.
        :param reading: if given, the time to read the prompt is part of the cost.
        """
        self._engine = engine
        self._hall = hall
        self._tokens = tokens
        self._reading = reading
        # of the prompt on an inter-hall link
        self.transfer_s: float = prompt * engine.handover_bytes / engine.pipe_rate
        self.link_cost_s: float = LINK_WEIGHT * self.transfer_s

    def find_complete_path(
        self, boundaries: Boundaries, loads: EligibleLoads, firsts: Collection[ServerId]
    ) -> Path | None:
        """Find the cheapest path through all layers; none if it has too many parts or uses a server twice."""
        eligible = [holder for holder in boundaries.get(0, ()) if holder.id in firsts]
        if not eligible:
            return None
        paths = self.find_paths({**boundaries, 0: eligible}, loads, OUTSIDE_HALLS, self._engine.layers)
        best = min(paths.values(), key=lambda path: path.cost, default=None)
        if best is None:
            return None
        parts = best.list_parts()
        return best if len(parts) <= MAX_PARTS and has_unique_servers(parts) else None

    def find_paths(self, boundaries: Boundaries, loads: EligibleLoads, origin: str, end: int) -> dict[str, Path]:
        """Find the cheapest path from the first boundary to the end, for each hall that it may end in.

        A boundary keeps only the cheapest path into each data hall: what follows costs the same after any of them.
        """
        paths: defaultdict[int, dict[str, Path]] = defaultdict(dict)
        paths[min(boundaries, default=0)][origin] = Path(0.0, None, None)
        for boundary, holders in boundaries.items():
            starts = paths.get(boundary)
            if starts:
                for holder in self._pick_holders(holders, loads):
                    self._extend(paths, starts, holder, loads[holder.id])
        return paths[end]

    def _pick_holders(self, holders: Sequence[Holder], loads: EligibleLoads) -> Sequence[Holder]:
        """Pick the holders to compare among those that may get work: the fastest readers with room, or a sample."""
        eligible = [holder for holder in holders if holder.id in loads.eligible]
        if len(eligible) <= MAX_HOLDERS:
            return eligible
        if self._reading is None:
            return random.sample(eligible, MAX_HOLDERS)
        random.shuffle(eligible)  # equal ones take turns
        return heapq.nsmallest(MAX_HOLDERS, eligible, key=lambda holder: self._rank_reader(holder, loads[holder.id]))

    def _rank_reader(self, holder: Holder, load: PartLoad) -> tuple[bool, float]:
        read_factor = get_read_factor(self._engine.kinds[holder.server.kind or ""])
        return load.used >= FULL_SHARE * holder.room, load.slowness * read_factor

    def _extend(
        self, paths: Mapping[int, dict[str, Path]], starts: Mapping[str, Path], holder: Holder, load: PartLoad
    ) -> None:
        """Extend the cheapest path to a boundary by one server, to each boundary where its part may end."""
        hall = holder.hall
        cost, previous = float("inf"), None
        for origin, path in starts.items():
            reached = path.cost if origin == hall else path.cost + self.estimate_crossing(origin, hall)
            if reached < cost:
                cost, previous = reached, path
        if previous is None:
            return
        if previous.part is None and holder.options[0].part.first == 0:
            cost += estimate_crowding((load.leading + 1) / holder.slots)
        used, _, slowness = load
        layer_read_s = 0.0
        if self._reading is not None:
            kind = self._engine.kinds[holder.server.kind or ""]
            layer_read_s = READ_WEIGHT * slowness * self._reading.estimate(kind, 1)
            cost += READ_WEIGHT * slowness * estimate_pass(self._engine, holder.server, used)
        slow_s = SLOW_PENALTY_S if slowness >= VERY_SLOW_FACTOR else 0.0
        for option in holder.options:
            step_s = slowness * (option.time + GROWTH_WEIGHT * option.growth * used) + layer_read_s * option.length
            ends = paths[option.end]
            known = ends.get(hall)
            if known is not None and cost + (step_s + slow_s) >= known.cost:
                continue  # crowding only adds to the cost
            fill_share = (used + self._tokens * option.length) / holder.room if holder.room > 0 else 1.0
            total = cost + (step_s + estimate_crowding(fill_share) + slow_s)
            if known is None or total < known.cost:
                ends[hall] = Path(total, option.part, previous)

    def estimate_crossing(self, origin: str, destination: str) -> float:
        """Estimate the seconds from one hall to another, or from this node to the first server."""
        if origin == destination:
            return 0.0
        return self.find_delay(origin, destination) + (0.0 if origin == OUTSIDE_HALLS else self.link_cost_s)

    def find_delay(self, origin: str, destination: str) -> float:
        """Find the network delay from one hall, or from this node, to another hall."""
        origin = self._hall if origin == OUTSIDE_HALLS else origin
        return 0.0 if origin == destination else self._engine.delays.get((DataHall(origin), DataHall(destination)), 0.0)


def has_unique_servers(parts: Sequence[Part]) -> bool:
    """Tell whether each part is on a different server."""
    return len({part.server.address for part in parts}) == len(parts)


__all__ = ["MAX_HOLDERS", "OUTSIDE_HALLS", "VERY_SLOW_FACTOR", "Path", "PathSearch", "has_unique_servers"]
