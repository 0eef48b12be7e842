"""Routes tile the layers for arbitrary stages."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

import networkx as nx
import pytest
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.configuration.schema import Pipeline, Stage
from vaneturn_core.identifiers import PipelineName, VmId
from vaneturn_core.routing.choice import choose_route
from vaneturn_core.routing.flow import compute_flow
from vaneturn_core.routing.hops import Hop, Route

LAYERS = 8


class IdleLoad:
    """No server is full, and all latencies are unknown."""

    def is_full(self, _vm: VmId) -> bool:
        return False

    def estimate_latency(self, _vm: VmId) -> float:
        return 0.0


def make_pipeline(ranges: list[tuple[int, int, float]]) -> Pipeline:
    stages = tuple(
        Stage(vm=VmId(f"vm-{index}"), first=first, end=end, rate=rate)
        for index, (first, end, rate) in enumerate(ranges)
    )
    return Pipeline(name=PipelineName("p"), model="m", version="1", layers=LAYERS, stages=stages)


ranges = st.tuples(st.integers(0, LAYERS - 1), st.integers(1, LAYERS), st.floats(1, 1000, allow_nan=False)).filter(
    lambda stage: stage[0] < stage[1]
)
pipelines = st.lists(ranges, min_size=1, max_size=10).map(make_pipeline)


def can_cover(pipeline: Pipeline, avoided: Collection[VmId]) -> bool:
    """Tell by an independent search whether the stages reach from the first layer to the last."""
    reached = {0}
    for _ in pipeline.stages:
        for stage in pipeline.stages:
            if stage.vm not in avoided and any(stage.first <= layer < stage.end for layer in reached):
                reached.add(stage.end)
    return LAYERS in reached


@given(pipelines, st.sets(st.integers(0, 9)), st.text(max_size=5))
def test_route_exists_exactly_when_the_stages_cover(pipeline: Pipeline, indexes: set[int], affinity: str) -> None:
    avoided = {VmId(f"vm-{index}") for index in indexes}
    route = choose_route(compute_flow(pipeline, ()), LAYERS, affinity, IdleLoad(), avoided)
    assert (route is not None) == can_cover(pipeline, avoided)
    if route is not None:
        assert not {hop.vm for hop in route.hops} & avoided
        held = {stage.vm: range(stage.first, stage.end) for stage in pipeline.stages}
        assert all(layer in held[hop.vm] for hop in route.hops for layer in range(hop.first, hop.end))


@given(pipelines, st.text(max_size=5))
def test_route_is_the_same_on_every_node_and_independent_of_unused_servers(pipeline: Pipeline, affinity: str) -> None:
    flow = compute_flow(pipeline, ())
    route = choose_route(flow, LAYERS, affinity, IdleLoad(), ())
    assert route == choose_route(flow, LAYERS, affinity, IdleLoad(), ())
    if route is not None:
        used = {hop.vm for hop in route.hops}
        others = {stage.vm for stage in pipeline.stages} - used
        assert choose_route(flow, LAYERS, affinity, IdleLoad(), others) == route


@given(pipelines)
def test_bound_never_exceeds_the_rate_over_any_layer(pipeline: Pipeline) -> None:
    flow = compute_flow(pipeline, ())
    for layer in range(LAYERS):
        over = sum(stage.rate for stage in pipeline.stages if stage.first <= layer < stage.end)
        assert flow.bound <= over * (1 + 1e-9)


def test_bound_of_aligned_stages_is_that_of_the_narrowest_range() -> None:
    pipeline = make_pipeline([(0, 4, 100), (0, 4, 50), (4, 8, 80), (4, 8, 40)])
    assert compute_flow(pipeline, ()).bound == pytest.approx(120)


def test_choice_follows_the_flow() -> None:
    pipeline = make_pipeline([(0, 8, 300), (0, 8, 100)])
    flow = compute_flow(pipeline, ())
    routes = [choose_route(flow, LAYERS, f"session {number}", IdleLoad(), ()) for number in range(4000)]
    share = sum(route is not None and route.hops[0].vm == "vm-0" for route in routes) / len(routes)
    assert share == pytest.approx(0.75, abs=0.03)


class UnevenLoad(IdleLoad):
    """Latencies by server; 0 where unknown."""

    def __init__(self, latencies: dict[str, float]) -> None:
        self._latencies = latencies

    def estimate_latency(self, vm: VmId) -> float:
        return self._latencies.get(vm, 0.0)


@pytest.mark.parametrize(
    ("other", "moves"),
    [
        pytest.param(0.0, False, id="unknown"),
        pytest.param(0.01, True, id="faster"),
        pytest.param(0.06, False, id="alike"),
    ],
)
def test_preferred_server_is_replaced_only_by_a_server_known_to_be_faster(other: float, moves: bool) -> None:  # noqa: FBT001
    flow = compute_flow(make_pipeline([(0, 8, 100), (0, 8, 100)]), ())
    preferred = choose_route(flow, LAYERS, "session", IdleLoad(), ())
    assert preferred is not None
    vm = preferred.hops[0].vm
    load = UnevenLoad({"vm-0": other, "vm-1": other, vm: 0.1})
    chosen = choose_route(flow, LAYERS, "session", load, ())
    assert chosen is not None
    assert (chosen.hops[0].vm != vm) == moves


@pytest.mark.parametrize(
    "hops",
    [
        pytest.param([(0, 4), (5, 8)], id="gap"),
        pytest.param([(0, 4), (3, 8)], id="overlap"),
        pytest.param([(0, 4)], id="too short"),
        pytest.param([(4, 8), (0, 4)], id="swapped"),
        pytest.param([(0, 4), (4, 8), (0, 8)], id="doubled"),
        pytest.param([], id="empty"),
    ],
)
def test_broken_route_stops_the_process(hops: list[tuple[int, int]]) -> None:
    with pytest.raises(AssertionError):
        Route(LAYERS, tuple(Hop(VmId("vm"), first, end) for first, end in hops))


@given(pipelines)
def test_bound_is_that_of_the_graph_with_an_edge_for_each_server(pipeline: Pipeline) -> None:
    graph: nx.DiGraph[Any] = nx.DiGraph()
    graph.add_nodes_from([0, pipeline.layers])
    for number, stage in enumerate(pipeline.stages):
        graph.add_edge(f"in {number}", f"out {number}", capacity=stage.rate)
        graph.add_edge(f"out {number}", stage.end)
    for number, stage in enumerate(pipeline.stages):
        for boundary in {0, *(other.end for other in pipeline.stages)}:
            if stage.first <= boundary < stage.end:
                graph.add_edge(boundary, f"in {number}")
    bound, _ = nx.maximum_flow(graph, 0, pipeline.layers)
    assert compute_flow(pipeline, set()).bound == pytest.approx(bound)
