"""Choice of routes for answers from the current state of configuration, servers and links."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

from vaneturn_core.configuration.schema import Configuration, Pipeline
from vaneturn_core.identifiers import PipelineName, VmId
from vaneturn_core.placing.parts import Part, list_lacking_servers, list_versions
from vaneturn_core.placing.versions import choose_version
from vaneturn_core.routing.choice import choose_route
from vaneturn_core.routing.flow import Flow, compute_flow
from vaneturn_core.routing.health import ServerHealths
from vaneturn_core.routing.hops import Hop, Route
from vaneturn_node.clock import read_clock
from vaneturn_node.metrics import Metrics
from vaneturn_node.stages.pool import LinkPool

REFRESH_INTERVAL_S: Final = 0.2  # minimum time between two computations due to changed holdings of engines


class Placement:
    """Holds the flow of each pipeline and chooses routes from it."""

    def __init__(self, healths: ServerHealths, pool: LinkPool, metrics: Metrics) -> None:
        self._healths = healths
        self._pool = pool
        self._metrics = metrics
        self._configuration = Configuration()
        self._flows: dict[tuple[PipelineName, str], tuple[Pipeline, Flow]] = {}  # by name and version
        healths.on_leaving(self._compute_flows)
        pool.on_holdings(self._mark_stale)
        self._is_stale = False
        self._computed_at = float("-inf")

    def follow(self, configuration: Configuration) -> None:
        """Recompute the flows after a change of configuration."""
        self._configuration = configuration
        self._compute_flows()

    def find_route(self, pipeline: Pipeline, affinity: str, avoided: Collection[VmId]) -> Route | None:
        """Find a route over servers that are connected, not leaving and, if possible, not ejected."""
        flow = self._find_flow(pipeline)
        barred = self._list_barred(avoided)
        barred_or_ejected = barred | self._healths.list_ejected()
        route = choose_route(flow, pipeline.layers, affinity, self._healths, barred_or_ejected)
        return route or choose_route(flow, pipeline.layers, affinity, self._healths, barred)

    def replace_hop(
        self, pipeline: Pipeline, route: Route, index: int, affinity: str, avoided: Collection[VmId]
    ) -> Route | None:
        """Choose a route that keeps all hops but one, or else an entirely new one.

        :param avoided: must include the server of the replaced hop, unless it may be used again.
        """
        lost = route.hops[index]
        flow = self._find_flow(pipeline)
        barred = self._list_barred(avoided)
        inner_flow = _restrict(flow, lost.first, lost.end)
        for excluded in (barred | self._healths.list_ejected(), barred):
            replacement = choose_route(inner_flow, lost.end - lost.first, affinity, self._healths, excluded)
            if replacement is not None:
                shifted = tuple(
                    Hop(hop.vm, hop.first + lost.first, hop.end + lost.first, hop.rate) for hop in replacement.hops
                )
                return Route(route.layers, (*route.hops[:index], *shifted, *route.hops[index + 1 :]))
        return self.find_route(pipeline, affinity, avoided)

    def choose_version(self, pipeline: Pipeline, affinity: str) -> Pipeline:
        """Choose the version for a new answer: the declared one, or possibly the previous one during a rollout."""
        newest = next((known for known in self._configuration.pipelines if known.name == pipeline.name), pipeline)
        versions = {version.version: version for version in list_versions(newest)}
        if len(versions) == 1:
            return newest
        bounds = {name: self._find_flow(version).bound for name, version in versions.items()}
        return versions[choose_version(affinity, newest.version, bounds)]

    def read_bound(self, name: PipelineName) -> float:
        """Read the throughput bound of a pipeline in tokens per second; 0 if it has none."""
        return self.list_bounds().get(name, 0.0)

    def list_bounds(self) -> Mapping[PipelineName, float]:
        """List the throughput bound of each pipeline in tokens per second, which is the highest of its versions."""
        self._refresh()
        bounds: dict[PipelineName, float] = {}
        for (name, _), (_, flow) in self._flows.items():
            bounds[name] = max(bounds.get(name, 0.0), flow.bound)
        return bounds

    def _mark_stale(self) -> None:
        self._is_stale = True

    def _refresh(self) -> None:
        """Recompute the flows if holdings of engines changed; not for each change, as they come in bursts."""
        if self._is_stale and read_clock() >= self._computed_at + REFRESH_INTERVAL_S:
            self._compute_flows()

    def _list_barred(self, avoided: Collection[VmId]) -> set[VmId]:
        return {*avoided, *self._healths.list_leaving(), *self._pool.list_down()}

    def _find_flow(self, pipeline: Pipeline) -> Flow:
        self._refresh()
        known = self._flows.get((pipeline.name, pipeline.version))
        if known is not None and known[0] == pipeline:
            return known[1]
        return self._compute_flow(pipeline, self._list_held())

    def _compute_flows(self) -> None:
        self._is_stale = False
        self._computed_at = read_clock()
        held = self._list_held()
        self._flows = {
            (pipeline.name, version.version): (version, self._compute_flow(version, held))
            for pipeline in self._configuration.pipelines
            for version in list_versions(pipeline)
        }
        for name, bound in self.list_bounds().items():
            self._metrics.bound.labels(name).set(bound)

    def _list_held(self) -> Mapping[VmId, Collection[Part]]:
        return {vm: holdings.held for vm, holdings in self._pool.list_holdings().items()}

    def _compute_flow(self, pipeline: Pipeline, held: Mapping[VmId, Collection[Part]]) -> Flow:
        unusable = self._healths.list_leaving() | list_lacking_servers(pipeline, held)
        return compute_flow(pipeline, unusable)


def _restrict(flow: Flow, first: int, end: int) -> Flow:
    """Restrict a flow to hops within [first, end), with layers renumbered from 0."""
    inner_hops = {
        boundary - first: {
            Hop(hop.vm, hop.first - first, hop.end - first, hop.rate): weight
            for hop, weight in starting.items()
            if hop.end <= end
        }
        for boundary, starting in flow.hops.items()
        if first <= boundary < end
    }
    return Flow(flow.bound, inner_hops)


__all__ = ["Placement"]
