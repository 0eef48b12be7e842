"""Throughput bound of a pipeline and the share of it that each hop carries."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Any, Final

import networkx as nx

from vaneturn_core.configuration.schema import Pipeline
from vaneturn_core.identifiers import VmId
from vaneturn_core.routing.hops import Hop, list_hops

MINIMUM_SHARE: Final = 0.01  # of a hop's rate: hops without flow stay usable when others fail

_Vertex = tuple[str, str | int]


@dataclass(frozen=True)
class Flow:
    """The bound in tokens a second, and a weight for each usable hop by the boundary it starts at."""

    bound: float
    hops: Mapping[int, Mapping[Hop, float]]


def compute_flow(pipeline: Pipeline, unusable: Collection[VmId]) -> Flow:
    """Compute the maximum flow from the first layer to the last over the usable servers.

    Exact where ranges meet at their ends. A hop that enters a server inside its range is counted at the rate of
    the whole range, so the bound is then low by at most the layers that it leaves out.
    """
    hops = {
        boundary: [hop for hop in starting if hop.vm not in unusable]
        for boundary, starting in list_hops(pipeline).items()
    }
    graph = _build_graph(pipeline, hops)
    bound, flow = nx.maximum_flow(graph, _boundary(0), _boundary(pipeline.layers))
    weights = {
        boundary: {
            hop: max(flow[_boundary(boundary)][_entry(hop.vm, hop.end)], MINIMUM_SHARE * hop.rate) for hop in starting
        }
        for boundary, starting in hops.items()
    }
    return Flow(float(bound), weights)


def _build_graph(pipeline: Pipeline, hops: Mapping[int, list[Hop]]) -> nx.DiGraph[Any]:
    graph: nx.DiGraph[Any] = nx.DiGraph()
    graph.add_nodes_from([_boundary(0), _boundary(pipeline.layers)])
    usable = {hop.vm for starting in hops.values() for hop in starting}
    for stage in pipeline.stages:
        if stage.vm in usable:
            graph.add_edge(_entry(stage.vm, stage.end), _exit(stage.vm, stage.end), capacity=stage.rate)
            graph.add_edge(_exit(stage.vm, stage.end), _boundary(stage.end))
    for boundary, starting in hops.items():
        for hop in starting:
            graph.add_edge(_boundary(boundary), _entry(hop.vm, hop.end))
    return graph


def _boundary(layer: int) -> _Vertex:
    return ("boundary", layer)


def _entry(vm: VmId, end: int) -> _Vertex:
    return ("entry", f"{vm} {end}")


def _exit(vm: VmId, end: int) -> _Vertex:
    return ("exit", f"{vm} {end}")


__all__ = ["MINIMUM_SHARE", "Flow", "compute_flow"]
