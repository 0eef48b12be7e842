"""What every forwarder of a node shares."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

import anyio

from vaneturn_core.identifiers import DataHall, ServiceName, VmId
from vaneturn_core.traffic.arrivals import ArrivalRate
from vaneturn_core.traffic.beliefs import ServerBeliefs
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.crashes import CrashBoard
from vaneturn_core.traffic.hearing import Hearing
from vaneturn_core.traffic.layermap import LayerMap
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.losses import LossBoard
from vaneturn_core.traffic.patience import Patience
from vaneturn_core.traffic.ratelimits import NodeHistory, PermitIssuer, RateLimits
from vaneturn_core.traffic.retries import WindowedRetryBudget
from vaneturn_core.traffic.servers import BackendServer, ServerId
from vaneturn_core.traffic.settings import Bounds
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.link import HttpLink
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.servers import ServerCalls
from vaneturn_node.traffic.servers.crashwatch import CrashWatch
from vaneturn_node.traffic.servers.directivekeeper import DirectiveKeeper
from vaneturn_node.traffic.servers.firstreading import FirstReading
from vaneturn_node.traffic.servers.permits import Permits
from vaneturn_node.traffic.servers.reports import JOIN_AGE, ReportBoard
from vaneturn_node.traffic.servers.signals import Signal

CONTROLS: Final = 2  # servers asked for whether this VM hears anybody; one of them may be lost as well


@dataclass
class TrafficParts:
    """One instance for each process."""

    vm: VmId
    hall: DataHall
    bounds: Bounds
    view: PlatformView
    beliefs: ServerBeliefs
    pool: LinkPool
    calls: ServerCalls
    reports: ReportBoard
    hearing: Hearing
    caller: Caller
    node_history: NodeHistory = field(default_factory=lambda: NodeHistory(read_clock))
    losses: LossBoard = field(default_factory=lambda: LossBoard(read_clock))
    loss_found: Signal = field(default_factory=Signal)
    board: LoadBoard = field(default_factory=lambda: LoadBoard(read_clock))
    arrivals: ArrivalRate = field(default_factory=lambda: ArrivalRate(read_clock))  # of streams
    first_reading: FirstReading = field(default_factory=FirstReading)
    patience: Patience = field(default_factory=Patience)
    limits: RateLimits = field(default_factory=RateLimits)
    permits: Permits = field(init=False)
    directives: DirectiveKeeper = field(init=False)
    budgets: dict[ServiceName, WindowedRetryBudget] = field(default_factory=dict)
    layer_maps: dict[ServiceName, LayerMap] = field(default_factory=dict)
    crashes: CrashBoard = field(init=False)
    crash_watch: CrashWatch = field(init=False)

    def __post_init__(self) -> None:
        """Make the parts that are made of the others."""
        self.crashes = CrashBoard(read_clock, self.view.list_software)
        self.crash_watch = CrashWatch(self.crashes, self.reports, self.view)
        self.directives = DirectiveKeeper(self.beliefs, self.limits)
        self.permits = Permits(
            vm=self.vm,
            view=self.view,
            beliefs=self.beliefs,
            limits=self.limits,
            issuer=PermitIssuer(self.vm, self.node_history, read_clock),
            caller=self.caller,
        )

    def find_budget(self, service: ServiceName) -> WindowedRetryBudget:
        """Find the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = WindowedRetryBudget(
                self.bounds.retry_ratio,
                self.bounds.retry_slack,
                self.bounds.retry_window_s,
                self.view.count_nodes,
                read_clock,
            )
        return budget

    def find_layer_map(self, service: ServiceName, engine: EngineProfile) -> LayerMap:
        """Find who holds which layers now; built anew only when the list of servers has changed."""
        servers = self.view.list_servers(service)
        known = self.layer_maps.get(service)
        if known is None or not known.is_of(engine, servers):
            known = self.layer_maps[service] = LayerMap(engine, servers)
        return known

    def list_choosable(self, service: ServiceName, avoided: Iterable[ServerId]) -> list[BackendServer]:
        """List the servers of a service that may get new work."""
        return self.beliefs.list_choosable(self.view.list_servers(service), avoided, read_clock())

    def list_accepting(self, service: ServiceName, avoided: Iterable[ServerId]) -> list[BackendServer]:
        """List the choosable servers of a service that accept requests from this node."""
        now = read_clock()
        choosable = self.list_choosable(service, avoided)
        return [server for server in choosable if self.beliefs[server.id].may_take_request(now)]

    def compute_wait(self, service: ServiceName) -> float:
        """Compute the seconds until a server of a service accepts requests again; 0 when one does, or none will."""
        now = read_clock()
        leading = [server for server in self.view.list_servers(service) if server.can_lead]
        staying = [belief for belief in (self.beliefs[server.id] for server in leading) if not belief.is_leaving]
        return min((belief.compute_wait(now) for belief in staying), default=0.0)

    async def hears_others(self, but: Collection[ServerId], since: float) -> bool:
        """Tell whether this VM hears servers, others than some; asks a few of them if it has asked nobody since.

        Where there is one server at most it is taken to hear: nothing speaks against it.

        :param since: steady time; an answer to an older question says nothing.
        """
        engines = [one for one in self.view.servers.values() if one.kind is not None]
        if len(engines) <= 1 or self.hearing.has_heard_since(since):
            return True
        asked_at = read_clock()
        others = [one for one in engines if one.id not in but]
        async with anyio.create_task_group() as tasks:
            for control in random.sample(others, min(CONTROLS, len(others))):
                tasks.start_soon(self.reports.read, control, 0.0)
        return self.hearing.has_heard_since(asked_at - JOIN_AGE)

    def note_lost(self, server: ServerId) -> None:
        """Take note that a server has failed for this node, once while it rests for that; other nodes are told.

        Five streams that saw one silence of a server made 8 s of rest out of it, in place of 0.7 s.
        """
        now = read_clock()
        if self.beliefs[server].found_until <= now:
            self.beliefs[server].record_failure(now)
        self.loss_found.give()

    def note_refusal(self, server: ServerId, fullness: float) -> None:
        """Take note that a server lacks room, or is lost, by how full it should be."""
        now = read_clock()
        belief = self.beliefs[server]
        belief.record_refusal(now, fullness)
        if belief.found_until > now:
            self.loss_found.give()

    async def release(self, link: HttpLink, address: str, *, is_whole: bool) -> None:
        """Keep a connection whose exchange ended as it should, and close any other at once."""
        with anyio.CancelScope(shield=True):
            if is_whole:
                await self.pool.release(link, address)
            else:
                await link.abort()


__all__ = ["TrafficParts"]
