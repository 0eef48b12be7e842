"""Choice of routes for answers from what the node knows now."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from vaneturn_core.configuration.schema import Configuration, Pipeline
from vaneturn_core.identifiers import PipelineName, VmId
from vaneturn_core.routing.choice import choose_route
from vaneturn_core.routing.flow import Flow, compute_flow
from vaneturn_core.routing.health import ServerHealths
from vaneturn_core.routing.hops import Hop, Route
from vaneturn_node.metrics import Metrics
from vaneturn_node.stages.pool import LinkPool


class Placement:
    """Holds the flow of each pipeline and chooses routes by it."""

    def __init__(self, healths: ServerHealths, pool: LinkPool, metrics: Metrics) -> None:
        self._healths = healths
        self._pool = pool
        self._metrics = metrics
        self._configuration = Configuration()
        self._flows: dict[PipelineName, tuple[Pipeline, Flow]] = {}
        healths.on_leaving(self._compute_flows)

    def follow(self, configuration: Configuration) -> None:
        """Compute the flows anew after a change of configuration."""
        self._configuration = configuration
        self._compute_flows()

    def choose(self, pipeline: Pipeline, affinity: str, avoided: Collection[VmId]) -> Route | None:
        """Choose a route over servers that are connected, not leaving and, if possible, not ejected."""
        flow = self._find_flow(pipeline)
        barred = {*avoided, *self._healths.list_leaving(), *self._pool.list_down()}
        careful = barred | self._healths.list_ejected()
        route = choose_route(flow, pipeline.layers, affinity, self._healths, careful)
        return route or choose_route(flow, pipeline.layers, affinity, self._healths, barred)

    def replace(
        self, pipeline: Pipeline, route: Route, index: int, affinity: str, avoided: Collection[VmId]
    ) -> Route | None:
        """Choose a route that keeps all hops but one, or else a wholly new one."""
        lost = route.hops[index]
        flow = self._find_flow(pipeline)
        barred = {*avoided, lost.vm, *self._healths.list_leaving(), *self._pool.list_down()}
        part = _restrict(flow, lost.first, lost.end)
        for excluded in (barred | self._healths.list_ejected(), barred):
            between = choose_route(part, lost.end - lost.first, affinity, self._healths, excluded)
            if between is not None:
                moved = tuple(
                    Hop(hop.vm, hop.first + lost.first, hop.end + lost.first, hop.rate) for hop in between.hops
                )
                return Route(route.layers, (*route.hops[:index], *moved, *route.hops[index + 1 :]))
        return self.choose(pipeline, affinity, {*avoided, lost.vm})

    def read_bound(self, name: PipelineName) -> float:
        """Read the throughput bound of a pipeline in tokens a second; 0 when it has none."""
        known = self._flows.get(name)
        return known[1].bound if known else 0.0

    def list_bounds(self) -> Mapping[PipelineName, float]:
        """List the throughput bound of each pipeline in tokens a second."""
        return {name: flow.bound for name, (_, flow) in self._flows.items()}

    def _find_flow(self, pipeline: Pipeline) -> Flow:
        known = self._flows.get(pipeline.name)
        if known is not None and known[0] == pipeline:
            return known[1]
        return compute_flow(pipeline, self._healths.list_leaving())

    def _compute_flows(self) -> None:
        leaving = self._healths.list_leaving()
        self._flows = {
            pipeline.name: (pipeline, compute_flow(pipeline, leaving)) for pipeline in self._configuration.pipelines
        }
        for name, (_, flow) in self._flows.items():
            self._metrics.bound.labels(name).set(flow.bound)


def _restrict(flow: Flow, first: int, end: int) -> Flow:
    """Keep the hops inside [first, end), with layers counted from first."""
    inside = {
        boundary - first: {
            Hop(hop.vm, hop.first - first, hop.end - first, hop.rate): weight
            for hop, weight in starting.items()
            if hop.end <= end
        }
        for boundary, starting in flow.hops.items()
        if first <= boundary < end
    }
    return Flow(flow.bound, inside)


__all__ = ["Placement"]
