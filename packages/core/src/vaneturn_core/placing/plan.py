"""Planning of which parts each engine should hold, recomputed each round from the engines' reports."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from vaneturn_core.configuration.schema import Configuration, Pipeline, Server
from vaneturn_core.identifiers import PipelineName, VmId
from vaneturn_core.placing.parts import (
    Holdings,
    Part,
    count_bytes,
    group_parts,
    list_lacking_servers,
    list_versions,
    make_part,
)
from vaneturn_core.routing.flow import compute_flow

MIN_CAPACITY_SHARE: Final = 0.5  # of a pipeline's bound with all servers; must remain when a server is emptied


@dataclass(frozen=True)
class HoldOrder:
    """The parts that one engine should hold from now on."""

    vm: VmId
    parts: tuple[Part, ...]


@dataclass(frozen=True)
class Plan:
    """The orders of one round; if no engine is changing, also the servers that must change but cannot be spared."""

    orders: tuple[HoldOrder, ...]
    stuck: tuple[VmId, ...]


class Planner:
    """One planning round over all servers; a load that it orders counts at once against the limit on parallel loads."""

    def __init__(
        self,
        configuration: Configuration,
        reports: Mapping[VmId, Holdings],
        unusable: Collection[VmId],
        unresponsive: Collection[VmId],
    ) -> None:
        """Start a round.

        :param reports: the last report of each connected engine; engines without a report get no orders.
        :param unusable: servers that are leaving or down.
        :param unresponsive: engines that have not answered an order in time.
        """
        self._configuration = configuration
        self._unusable = frozenset(unusable)
        # If an engine that never confirms an order came first, no other server of its range could be emptied.
        # Unresponsive engines are therefore planned last, and their capacity is not counted on.
        self._unresponsive = frozenset(unresponsive)
        self._reports = reports
        # state of each server after this round: the parts to hold finally, and those that are ready now
        self._targets = {vm: holdings.target for vm, holdings in reports.items()}
        self._held = {vm: frozenset(holdings.held) for vm, holdings in reports.items()}
        self._budget = configuration.loads_at_once - sum(bool(holdings.loading) for holdings in reports.values())
        # number of servers that have each part ready, and that have it in any state
        self._ready_counts = Counter(part for held in self._held.values() for part in held)
        self._ending = {part for holdings in reports.values() for part in holdings.ending}
        self._replica_counts = Counter(
            part for holdings in reports.values() for part in (*holdings.target, *holdings.ending)
        )
        # parts that the newest and the previous versions need on each server
        self._wanted = group_parts(configuration.pipelines)
        previous = [version for pipeline in configuration.pipelines for version in list_versions(pipeline)[1:]]
        self._previous = group_parts(version for version in previous if not self._is_replaced(version))
        self._previous_in_use = group_parts(version for version in previous if self._is_in_use(version))
        self._rates = self._sum_rates()
        # for each pipeline: servers without capacity, capacity at the start of this round, and required capacity
        self._unavailable: dict[PipelineName, frozenset[VmId]] = {}
        self._capacities: dict[PipelineName, float] = {}
        self._required_capacities: dict[PipelineName, float] = {}
        self._unsparable: set[frozenset[Part]] = set()  # sets of parts whose servers cannot be spared in this round
        self._stuck: list[VmId] = []

    def _sum_rates(self) -> Mapping[VmId, float]:
        rates: defaultdict[VmId, float] = defaultdict(float)
        for pipeline in self._configuration.pipelines:
            for stage in pipeline.stages:
                rates[stage.vm] += stage.rate
        return rates

    def make_plan(self) -> Plan:
        """Make the plan: servers with enough free memory come first, among them those whose parts are rarest."""
        servers = [server for server in self._configuration.servers if self._takes_orders(server.vm)]
        servers.sort(key=self._make_sort_key)
        orders = [order for server in servers for order in self._plan_server(server)]
        is_moving = orders or any(holdings.loading or holdings.ending for holdings in self._reports.values())
        return Plan(tuple(orders), () if is_moving else tuple(self._stuck))

    def _takes_orders(self, vm: VmId) -> bool:
        return vm in self._reports and vm not in self._unusable

    def _make_sort_key(self, server: Server) -> tuple[bool, bool, int, float, VmId]:
        wanted = self._wanted.get(server.vm, frozenset())
        has_memory = self._fits(server, wanted | self._targets[server.vm])
        is_unresponsive = server.vm in self._unresponsive
        return (is_unresponsive, not has_memory, self._count_holders(server.vm), self._rates[server.vm], server.vm)

    def _count_holders(self, vm: VmId) -> int:
        """Count the replicas of the rarest part that this server lacks."""
        lacking = self._wanted.get(vm, frozenset()) - self._held[vm]
        return min((self._ready_counts[part] for part in lacking), default=len(self._held))

    def _plan_server(self, server: Server) -> Iterator[HoldOrder]:
        """Plan one server; yields an order only if the target changes."""
        target = self._targets[server.vm]
        chosen = self._choose_parts(server, target)
        if chosen != target:
            self._targets[server.vm] = chosen
            self._held[server.vm] &= chosen
            yield HoldOrder(server.vm, tuple(sorted(chosen, key=str)))

    def _choose_parts(self, server: Server, target: frozenset[Part]) -> frozenset[Part]:
        """Choose the parts that a server should hold.

        A server without enough memory is emptied first and loads in a later round.
        Sessions in progress may delay the load for long, and until then the server reads nothing from the weight store.
        """
        wanted = self._wanted.get(server.vm, frozenset())
        retained = (target & wanted) | (target & self._previous.get(server.vm, frozenset()))
        missing = self._list_missing(server, target)
        if self._budget <= 0:
            return retained
        if missing:
            self._replica_counts.update(missing)
            self._budget -= 1
            return retained | missing
        if wanted <= target:
            return retained
        if self._fits(server, wanted | retained):
            self._budget -= 1
            return wanted | retained
        if retained - wanted and self._can_be_spared(server.vm):
            self._budget -= 1  # for the load that follows
            return retained & wanted
        return retained

    def _is_replaced(self, previous: Pipeline) -> bool:
        """Tell whether all servers that take orders hold the newest version, and it can run on the usable ones alone.

        Servers that this node cannot reach may still serve the previous version for all other nodes.
        """
        newest = next(pipeline for pipeline in self._configuration.pipelines if pipeline.name == previous.name)
        lacking = list_lacking_servers(newest, self._held)
        if any(self._takes_orders(vm) for vm in lacking):
            return False
        return not lacking or compute_flow(newest, lacking | self._unusable).bound > 0

    def _is_in_use(self, previous: Pipeline) -> bool:
        """Tell whether sessions in progress still use a version that some server no longer offers to new ones."""
        return any(make_part(previous, stage) in self._ending for stage in previous.stages)

    def _list_missing(self, server: Server, target: frozenset[Part]) -> frozenset[Part]:
        """List the parts that sessions in progress need and no server has any more, if they fit on this server."""
        gone = frozenset(
            part for part in self._previous_in_use.get(server.vm, frozenset()) if not self._replica_counts[part]
        )
        if not gone or not self._fits(server, target | gone):
            return frozenset()
        return gone

    def _is_sole_holder(self, vm: VmId) -> bool:
        """Tell whether this server is the only one with some part that sessions in progress need."""
        parts = self._previous_in_use.get(vm, frozenset()) & self._targets[vm]
        return any(self._replica_counts[part] == 1 for part in parts)

    def _fits(self, server: Server, parts: frozenset[Part]) -> bool:
        """Tell whether parts fit in memory beside those that the engine keeps for sessions in progress."""
        ending = self._reports[server.vm].ending
        return not server.memory or count_bytes(self._configuration, {*parts, *ending}) <= server.memory

    def _can_be_spared(self, vm: VmId) -> bool:
        """Tell whether enough capacity remains without this server, over all versions."""
        if self._is_sole_holder(vm):
            return False
        parts = self._wanted[vm]
        if parts in self._unsparable:
            return False  # a server with the same parts and no greater rate could not be spared
        affected = [
            pipeline for pipeline in self._configuration.pipelines if any(stage.vm == vm for stage in pipeline.stages)
        ]
        if all(self._has_enough_capacity(pipeline, vm) for pipeline in affected):
            return True
        self._unsparable.add(parts)
        self._stuck.append(vm)
        return False

    def _has_enough_capacity(self, pipeline: Pipeline, without: VmId) -> bool:
        if pipeline.name not in self._capacities:
            unavailable = self._unavailable[pipeline.name] = self._find_unavailable(pipeline)
            self._capacities[pipeline.name] = self._compute_capacity(pipeline, unavailable)
            self._required_capacities[pipeline.name] = MIN_CAPACITY_SHARE * compute_flow(pipeline, unavailable).bound
        required = min(self._required_capacities[pipeline.name], self._capacities[pipeline.name])
        return self._compute_capacity(pipeline, self._unavailable[pipeline.name] | {without}) >= required

    def _find_unavailable(self, pipeline: Pipeline) -> frozenset[VmId]:
        """Find the servers whose capacity does not count.

        Unresponsive servers are among them only if some capacity remains without them, as they may serve other nodes.
        """
        unavailable = self._unusable | self._unresponsive
        return unavailable if self._compute_capacity(pipeline, unavailable) else self._unusable

    def _compute_capacity(self, pipeline: Pipeline, without: frozenset[VmId]) -> float:
        """Compute the current capacity of a pipeline without some servers, summed over its versions."""
        return sum(
            compute_flow(version, list_lacking_servers(version, self._held) | without).bound
            for version in list_versions(pipeline)
        )


def plan_holdings(
    configuration: Configuration,
    reports: Mapping[VmId, Holdings],
    unusable: Collection[VmId] = frozenset(),
    unresponsive: Collection[VmId] = frozenset(),
) -> Plan:
    """Plan which parts each engine should hold."""
    return Planner(configuration, reports, unusable, unresponsive).make_plan()


__all__ = ["MIN_CAPACITY_SHARE", "HoldOrder", "Plan", "plan_holdings"]
