"""Hops and routes: which server runs which layers of one answer."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from vaneturn_core.configuration.schema import Pipeline, Stage
from vaneturn_core.identifiers import VmId
from vaneturn_core.tiling import assert_tiling


@dataclass(frozen=True)
class Hop:
    """The layers [first, end) run on one server."""

    vm: VmId
    first: int
    end: int
    rate: float = 0.0  # tokens per second of the server over these layers


@dataclass(frozen=True)
class Route:
    """The hops of one answer in layer order."""

    layers: int
    hops: tuple[Hop, ...]

    def __post_init__(self) -> None:
        assert_tiling(self.hops, self.layers)

    def __str__(self) -> str:
        return " ".join(f"{hop.vm}[{hop.first},{hop.end})" for hop in self.hops)


def list_entry_points(pipeline: Pipeline) -> Iterator[tuple[Stage, int]]:
    """List each stage with each layer boundary at which it may be entered, including those inside its range."""
    boundaries = {0, *(stage.end for stage in pipeline.stages if stage.end < pipeline.layers)}
    for stage in pipeline.stages:
        yield from ((stage, boundary) for boundary in boundaries if stage.first <= boundary < stage.end)


def make_hop(stage: Stage, boundary: int) -> Hop:
    """Make the hop from a boundary to the stage's end.

    The time per token grows with the number of layers, so a shorter hop has a higher rate.
    """
    rate = stage.rate * (stage.end - stage.first) / (stage.end - boundary)
    return Hop(stage.vm, boundary, stage.end, rate)


def list_hops(pipeline: Pipeline) -> Mapping[int, Sequence[Hop]]:
    """Map each layer boundary to the hops that may start there."""
    hops: dict[int, list[Hop]] = defaultdict(list)
    for stage, boundary in list_entry_points(pipeline):
        hops[boundary].append(make_hop(stage, boundary))
    return hops


def find_reachable(hops: Mapping[int, Iterable[Hop]], layers: int) -> set[int]:
    """Find the boundaries from which the last layer can be reached."""
    reachable = {layers}
    for boundary in sorted(hops, reverse=True):
        if any(hop.end in reachable for hop in hops[boundary]):
            reachable.add(boundary)
    return reachable


__all__ = ["Hop", "Route", "find_reachable", "list_entry_points", "list_hops", "make_hop"]
