"""No plan removes the last path through the layers, exceeds the limit on loads or leaves a rollout unfinished."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_core.configuration.check import check_configuration
from vaneturn_core.configuration.schema import Configuration, Pipeline, Server, Stage
from vaneturn_core.identifiers import DataHall, PipelineName, VmId
from vaneturn_core.placing.parts import Holdings, Part, count_bytes, group_parts, list_lacking_servers, list_versions
from vaneturn_core.placing.plan import HoldOrder, plan_holdings
from vaneturn_core.placing.versions import choose_version
from vaneturn_core.routing.flow import compute_flow

LAYERS = 12
MAX_ROUNDS = 200


def make_configuration(cuts: list[int], replicas: int, memory: int, loads: int) -> Configuration:
    """Make a pipeline whose layers are cut into ranges, each with some replicas."""
    bounds = [0, *cuts, LAYERS]
    ranges = list(pairwise(bounds))
    stages = tuple(
        Stage(vm=VmId(f"runner-{first}-{number}"), first=first, end=end, rate=100.0)
        for first, end in ranges
        for number in range(replicas)
    )
    widest = max(end - first for first, end in ranges)
    servers = tuple(
        Server(vm=stage.vm, address="127.0.0.1:1", data_hall=DataHall("osborne"), memory=memory * widest)
        for stage in stages
    )
    pipeline = Pipeline(
        name=PipelineName("ledgerlm"), model="ledger", version="1", layers=LAYERS, stages=stages, layer_bytes=1
    )
    return Configuration(servers=servers, pipelines=(pipeline,), loads_at_once=loads)


def roll_out(configuration: Configuration) -> Configuration:
    pipeline = configuration.pipelines[0]
    newer = msgspec.structs.replace(pipeline, version="2", previous_version="1")
    return msgspec.structs.replace(configuration, pipelines=(newer,))


class Engines:
    """Engines that carry out orders; loads and sessions end at random."""

    def __init__(self, configuration: Configuration, rng: Random) -> None:
        self.rng = rng
        self.memory = {server.vm: server.memory for server in configuration.servers}
        self.configuration = configuration
        self.reports = {server.vm: Holdings(0, (), (), ()) for server in configuration.servers}

    def apply_order(self, order: HoldOrder) -> None:
        report = self.reports[order.vm]
        held = tuple(part for part in report.held if part in order.parts)
        dropped = tuple(part for part in report.held if part not in order.parts)
        loading = tuple(part for part in order.parts if part not in held)
        self.reports[order.vm] = Holdings(1, held, loading, (*report.ending, *dropped))

    def advance(self) -> None:
        for vm, report in self.reports.items():
            ending = report.ending if self.rng.random() < 0.5 else ()
            held, loading = report.held, report.loading
            if loading and self.rng.random() < 0.5 and self._fits(vm, (*held, *ending, loading[0])):
                held, loading = (*held, loading[0]), loading[1:]
            self.reports[vm] = Holdings(1, held, loading, ending)

    def _fits(self, vm: VmId, parts: tuple[Part, ...]) -> bool:
        return not self.memory[vm] or count_bytes(self.configuration, parts) <= self.memory[vm]

    def count_loading(self) -> int:
        return sum(bool(report.loading) for report in self.reports.values())

    def has_ending(self) -> bool:
        return any(report.ending for report in self.reports.values())

    def compute_capacity(self, pipeline: Pipeline) -> float:
        total = 0.0
        for version in list_versions(pipeline):
            lacking = list_lacking_servers(version, {vm: report.held for vm, report in self.reports.items()})
            total += compute_flow(version, lacking).bound
        return total


def run_until_settled(configuration: Configuration, engines: Engines, required: float = 0.0) -> int:
    """Carry out plans until nothing is left to order, load or end; return the number of rounds."""
    for number in range(MAX_ROUNDS):
        plan = plan_holdings(configuration, engines.reports)
        for order in plan.orders:
            engines.apply_order(order)
        assert engines.count_loading() <= configuration.loads_at_once
        assert engines.compute_capacity(configuration.pipelines[0]) >= required
        if not plan.orders and not engines.count_loading() and not engines.has_ending():
            return number
        engines.advance()
    raise AssertionError("the plan does not settle within the maximum number of rounds")


shapes = st.tuples(st.lists(st.integers(1, LAYERS - 1), max_size=3, unique=True).map(sorted), st.integers(2, 4))


@given(shapes, st.integers(1, 2), st.integers(1, 5), st.integers(0, 1000))
def test_rollout_ends_and_always_leaves_a_path(
    shape: tuple[list[int], int], memory: int, loads: int, seed: int
) -> None:
    configuration = make_configuration(*shape, memory, loads)
    assert not check_configuration(configuration)
    engines = Engines(configuration, Random(seed))
    run_until_settled(configuration, engines)
    newer = roll_out(configuration)
    full_capacity = engines.compute_capacity(configuration.pipelines[0])
    run_until_settled(newer, engines, required=full_capacity / 2 - 1e-6)
    for vm, report in engines.reports.items():
        assert set(report.held) == group_parts(newer.pipelines)[vm]


class PartlyUnresponsiveEngines(Engines):
    """Engines of which one never answers.

    For some rounds after an order to it, the planner must assume that it took the order.
    """

    TIMEOUT_ROUNDS = 10

    def __init__(self, configuration: Configuration, rng: Random, unresponsive: VmId) -> None:
        super().__init__(configuration, rng)
        self.unresponsive = unresponsive
        self.known_unresponsive: frozenset[VmId] = frozenset()
        self._actual: Holdings | None = None
        self._rounds_left = 0

    def apply_order(self, order: HoldOrder) -> None:
        if order.vm != self.unresponsive:
            super().apply_order(order)
        elif self._actual is None:
            report = self._actual = self.reports[order.vm]
            self._rounds_left = self.TIMEOUT_ROUNDS
            held = tuple(part for part in report.held if part in order.parts)
            loading = tuple(part for part in order.parts if part not in held)
            self.reports[order.vm] = Holdings(1, held, loading, report.ending)

    def advance(self) -> None:
        assumed = self.reports[self.unresponsive]
        super().advance()
        self.reports[self.unresponsive] = assumed
        self._rounds_left -= 1
        if self._actual is not None and self._rounds_left <= 0:
            self.reports[self.unresponsive], self._actual = self._actual, None
            self.known_unresponsive = frozenset({self.unresponsive})


@given(shapes, st.integers(1, 2), st.integers(2, 5), st.integers(0, 1000), st.data())
def test_unresponsive_engine_does_not_stop_the_rollout_on_the_others(
    shape: tuple[list[int], int], memory: int, loads: int, seed: int, data: st.DataObject
) -> None:
    configuration = make_configuration(*shape, memory, loads)
    vms = [server.vm for server in configuration.servers]
    engines = PartlyUnresponsiveEngines(configuration, Random(seed), data.draw(st.sampled_from(vms)))
    engines.reports = {vm: Holdings(1, tuple(group_parts(configuration.pipelines)[vm]), (), ()) for vm in vms}
    newer = roll_out(configuration)
    wanted = group_parts(newer.pipelines)
    others = [vm for vm in vms if vm != engines.unresponsive]
    required = min(engines.compute_capacity(newer.pipelines[0]) / 2, 100.0) - 1e-6
    has_spare_capacity = shape[1] > 2 or memory > 1  # otherwise the only other server of the range is its last replica
    for _ in range(MAX_ROUNDS):
        for order in plan_holdings(newer, engines.reports, unresponsive=engines.known_unresponsive).orders:
            engines.apply_order(order)
        assert engines.count_loading() <= configuration.loads_at_once
        assert (
            engines.compute_capacity(newer.pipelines[0]) >= required
            or engines.unresponsive in engines.known_unresponsive
        )
        if all(set(engines.reports[vm].held) >= wanted[vm] for vm in others):
            return
        engines.advance()
    assert not has_spare_capacity


def test_unresponsive_engines_of_a_whole_range_are_not_treated_as_lost() -> None:
    """A range may be unresponsive only to the ordering node; the plan must keep enough capacity for the others."""
    configuration = make_configuration([6], 3, 1, 4)
    engines = Engines(configuration, Random(1))
    run_until_settled(configuration, engines)
    newer = roll_out(configuration)
    unresponsive = {stage.vm for stage in newer.pipelines[0].stages if stage.first}
    full_capacity = engines.compute_capacity(configuration.pipelines[0])
    for order in plan_holdings(newer, engines.reports, unresponsive=unresponsive).orders:
        engines.apply_order(order)
    assert engines.compute_capacity(newer.pipelines[0]) >= full_capacity / 2


def test_last_replica_is_not_emptied_for_a_version_that_does_not_fit_beside() -> None:
    configuration = make_configuration([6], 1, 1, 4)
    engines = Engines(configuration, Random(1))
    run_until_settled(configuration, engines)
    newer = roll_out(configuration)
    run_until_settled(newer, engines, required=1.0)
    assert plan_holdings(newer, engines.reports).stuck
    assert all(part.version == "1" for report in engines.reports.values() for part in report.held)


def test_leaving_servers_get_no_order() -> None:
    configuration = make_configuration([6], 2, 1, 4)
    engines = Engines(configuration, Random(1))
    vms = [server.vm for server in configuration.servers]
    assert {order.vm for order in plan_holdings(configuration, engines.reports, vms[:1]).orders} == set(vms[1:])


def test_version_that_unreachable_servers_still_need_is_not_removed_from_the_others() -> None:
    """The ordering node has lost its links to one range, whose servers still serve the previous version to others.

    If that version counts as replaced, it is removed from the reachable servers and neither version has all its layers.
    """
    configuration = roll_out(make_configuration([6], 2, memory=2, loads=1))
    pipeline = configuration.pipelines[0]
    newest, previous = (group_parts([version]) for version in list_versions(pipeline))
    engines = Engines(configuration, Random(1))
    unreachable = {stage.vm for stage in pipeline.stages if stage.first}
    for vm in engines.reports:
        held = previous[vm] if vm in unreachable else previous[vm] | newest[vm]
        engines.reports[vm] = Holdings(1, tuple(held), (), ())
    before = engines.compute_capacity(pipeline)
    for order in plan_holdings(configuration, engines.reports, unreachable).orders:
        engines.apply_order(order)
    assert engines.compute_capacity(pipeline) == before


def test_memory_too_small_for_the_stages_is_a_fault() -> None:
    configuration = make_configuration([6], 1, 1, 4)
    small = msgspec.structs.replace(configuration.servers[0], memory=5)
    faults = check_configuration(msgspec.structs.replace(configuration, servers=(small, *configuration.servers[1:])))
    assert [fault.path for fault in faults] == ["$.servers[0].memory"]


@given(st.text(max_size=9), st.floats(0, 100), st.floats(0, 100), st.floats(0, 50))
def test_affinity_that_has_the_newest_version_keeps_it(affinity: str, new: float, old: float, more: float) -> None:
    if choose_version(affinity, "2", {"2": new, "1": old}) == "2":
        assert choose_version(affinity, "2", {"2": new + more, "1": max(0.0, old - more)}) == "2"


def test_version_without_capacity_is_not_chosen() -> None:
    assert all(choose_version(f"session {number}", "2", {"2": 0.0, "1": 5.0}) == "1" for number in range(50))
    assert all(choose_version(f"session {number}", "2", {"2": 5.0, "1": 0.0}) == "2" for number in range(50))
