"""Throughput bound of a pipeline and the share that each hop carries."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Any, Final

import networkx as nx

from vaneturn_core.configuration.schema import Pipeline
from vaneturn_core.identifiers import VmId
from vaneturn_core.routing.hops import Hop, list_entry_points, make_hop

MINIMUM_SHARE: Final = 0.01  # of a hop's rate, so that hops without flow stay usable when others fail

_Range = tuple[int, int]
_Vertex = tuple[str, int, int]


@dataclass(frozen=True)
class Flow:
    """The bound in tokens per second, and the weight of each usable hop, by the boundary where the hop starts."""

    bound: float
    hops: Mapping[int, Mapping[Hop, float]]


def compute_flow(pipeline: Pipeline, unusable: Collection[VmId]) -> Flow:
    """Compute the maximum flow from the first layer to the last over the usable servers.

    All servers with the same range form one edge and share its flow in proportion to their rates, so the graph grows
    with the number of ranges, not servers. The bound is exact if ranges meet only at their ends. A hop that enters a
    server inside its range is counted at the rate of the whole range, so the bound is too low by at most the share of
    the skipped layers.
    """
    entries = [(stage, boundary) for stage, boundary in list_entry_points(pipeline) if stage.vm not in unusable]
    rates: defaultdict[_Range, float] = defaultdict(float)
    for stage in pipeline.stages:
        if stage.vm not in unusable:
            rates[stage.first, stage.end] += stage.rate
    graph = _build_graph(pipeline, rates, {(boundary, stage.first, stage.end) for stage, boundary in entries})
    bound, flow = nx.maximum_flow(graph, _boundary(0), _boundary(pipeline.layers))
    weights: defaultdict[int, dict[Hop, float]] = defaultdict(dict)
    for stage, boundary in entries:
        hop = make_hop(stage, boundary)
        entered_flow = flow[_boundary(boundary)][_entry(stage.first, stage.end)]
        share = entered_flow * stage.rate / rates[stage.first, stage.end]
        weights[boundary][hop] = max(share, MINIMUM_SHARE * hop.rate)
    return Flow(float(bound), weights)


def _build_graph(
    pipeline: Pipeline, rates: Mapping[_Range, float], entries: Collection[tuple[int, int, int]]
) -> nx.DiGraph[Any]:
    """Build the graph of layer boundaries and ranges.

    :param entries: triples of a boundary and the first and end layer of a range that may be entered there.
    """
    graph: nx.DiGraph[Any] = nx.DiGraph()
    graph.add_nodes_from([_boundary(0), _boundary(pipeline.layers)])
    for (first, end), rate in rates.items():
        graph.add_edge(_entry(first, end), _exit(first, end), capacity=rate)
        graph.add_edge(_exit(first, end), _boundary(end))
    for boundary, first, end in entries:
        graph.add_edge(_boundary(boundary), _entry(first, end))
    return graph


def _boundary(layer: int) -> _Vertex:
    return ("boundary", layer, layer)


def _entry(first: int, end: int) -> _Vertex:
    return ("entry", first, end)


def _exit(first: int, end: int) -> _Vertex:
    return ("exit", first, end)


__all__ = ["MINIMUM_SHARE", "Flow", "compute_flow"]
