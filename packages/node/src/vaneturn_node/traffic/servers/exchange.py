"""Objects that all forwarders of a node share."""

from __future__ import annotations

import random
import zlib
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

import anyio

from vaneturn_core.identifiers import DataHall, ServiceName, VmId
from vaneturn_core.traffic.admission.demand import DemandRecorder
from vaneturn_core.traffic.admission.demandboard import DemandBoard
from vaneturn_core.traffic.admission.prioritized import DemandScope, derive_scope
from vaneturn_core.traffic.arrivals import ArrivalRate
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.blame.contents import Identity
from vaneturn_core.traffic.blame.crashboard import TRIAL_INTERVAL_S, CrashBoard
from vaneturn_core.traffic.configuration import EngineProfile, TrafficConfiguration
from vaneturn_core.traffic.hearing import Reachability
from vaneturn_core.traffic.layermap import LayerMap
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.losses import LossBoard
from vaneturn_core.traffic.nodeshare import NodeShare
from vaneturn_core.traffic.patience import ProbeDelay
from vaneturn_core.traffic.ratelimits import NodeHistory, PermitIssuer, RateLimits
from vaneturn_core.traffic.retries import MAX_ARRIVAL_DELAY_S
from vaneturn_core.traffic.servers import BackendServer, ServerId
from vaneturn_core.traffic.settings import Bounds
from vaneturn_core.traffic.streamrate import MeanDuration, ServiceServers, ServiceStreams, estimate_total_rate
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.link import HttpLink
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.servers import ServerCalls
from vaneturn_node.traffic.servers.connectivity import Connectivity
from vaneturn_node.traffic.servers.crashwatch import CrashWatch
from vaneturn_node.traffic.servers.directivekeeper import DirectiveKeeper
from vaneturn_node.traffic.servers.firstreading import FirstReading
from vaneturn_node.traffic.servers.liveness import LivenessCheck
from vaneturn_node.traffic.servers.permits import Permits
from vaneturn_node.traffic.servers.reports import PROBE_JOIN_AGE_S, ReportBoard
from vaneturn_node.traffic.servers.retrybudgets import RetryBudgets
from vaneturn_node.traffic.servers.signals import Signal
from vaneturn_node.traffic.servers.silences import SilenceWatch

CONTROL_PROBES: Final = 2  # servers probed to check this VM's own connectivity; one of them may be lost as well


@dataclass
class TrafficParts:
    """The shared objects; one instance per process."""

    vm: VmId
    hall: DataHall
    bounds: Bounds
    view: PlatformView
    beliefs: ServerStatuses
    pool: LinkPool
    calls: ServerCalls
    reports: ReportBoard
    hearing: Reachability
    caller: Caller
    has_admission: bool = True  # whether prioritized services are subject to admission control
    node_history: NodeHistory = field(default_factory=lambda: NodeHistory(read_clock))
    losses: LossBoard = field(default_factory=lambda: LossBoard(read_clock))
    loss_found: Signal = field(default_factory=Signal)
    board: LoadBoard = field(default_factory=lambda: LoadBoard(read_clock))
    demand: DemandRecorder = field(default_factory=lambda: DemandRecorder(read_clock))  # of this node
    demand_board: DemandBoard = field(default_factory=lambda: DemandBoard(read_clock))  # of the other nodes
    demand_scope: DemandScope = field(default_factory=DemandScope)  # of the configuration in force
    arrivals: ArrivalRate = field(default_factory=lambda: ArrivalRate(read_clock))  # of streams
    refusals: ArrivalRate = field(default_factory=lambda: ArrivalRate(read_clock))  # of streams, by this node
    durations: defaultdict[ServiceName, MeanDuration] = field(default_factory=lambda: defaultdict(MeanDuration))
    first_reading: FirstReading = field(default_factory=FirstReading)
    patience: ProbeDelay = field(default_factory=ProbeDelay)
    limits: RateLimits = field(default_factory=RateLimits)
    connectivity: Connectivity = field(init=False)
    liveness: LivenessCheck = field(init=False)
    silences: SilenceWatch = field(init=False)
    permits: Permits = field(init=False)
    directives: DirectiveKeeper = field(init=False)
    node_share: NodeShare = field(init=False)
    retries: RetryBudgets = field(init=False)
    layer_maps: dict[ServiceName, LayerMap] = field(default_factory=dict)
    stream_servers: dict[ServiceName, ServiceServers] = field(default_factory=dict)
    full_listeners: list[Callable[[ServerId], None]] = field(default_factory=list)  # called when a server is full
    crashes: CrashBoard = field(init=False)
    crash_watch: CrashWatch = field(init=False)

    def __post_init__(self) -> None:
        """Create the objects that depend on other fields."""
        self.node_share = NodeShare(self.vm, self.bounds.retry_window_s + MAX_ARRIVAL_DELAY_S, read_clock)
        self.retries = RetryBudgets(self.vm, self.bounds, self.view, self.node_share)
        self.connectivity = Connectivity(self.view, self.beliefs, self.pool)
        self.liveness = LivenessCheck(self.reports, self.calls)
        self.silences = SilenceWatch(self.reports, self.can_reach_others)
        self.crashes = CrashBoard(read_clock, self.view.list_software, self._compute_trial_delay)
        self.crash_watch = CrashWatch(self.crashes, self.reports, self.view, self.connectivity)
        self.directives = DirectiveKeeper(self.beliefs, self.limits)
        self.permits = Permits(
            vm=self.vm,
            view=self.view,
            beliefs=self.beliefs,
            limits=self.limits,
            issuer=PermitIssuer(self.vm, self.node_history, read_clock),
            caller=self.caller,
        )

    def get_layer_map(self, service: ServiceName, engine: EngineProfile) -> LayerMap:
        """Return the map of servers by layer; rebuilt only when the list of servers has changed."""
        servers = self.view.list_servers(service)
        layer_map = self.layer_maps.get(service)
        if layer_map is None or not layer_map.is_built_for(engine, servers):
            layer_map = self.layer_maps[service] = LayerMap(engine, servers)
        return layer_map

    def estimate_total_rate(self) -> float:
        """Estimate the streams per second of all nodes; without a recent report, this node's rate times the nodes."""
        nodes = self.view.count_nodes()
        others = self.board.sum_others()
        if others is None or self.view.configuration is None:
            return self.arrivals.compute() * nodes
        own = self.beliefs.list_loads()
        services: list[ServiceStreams] = []
        for name, service in self.view.configuration.services.items():
            if service.engine is None:
                continue
            layer_map = self.get_layer_map(name, service.engine)
            servers = self.stream_servers.get(name)
            if servers is None or servers.layer_map is not layer_map:
                servers = self.stream_servers[name] = ServiceServers.derive(layer_map)
            duration_s = self.durations[name].estimate(servers.expected_duration_s)
            services.append(ServiceStreams(servers.count_streams(own, others), duration_s))
        return estimate_total_rate(services, self.refusals.compute(), nodes)

    def restrict_demand(self, configuration: TrafficConfiguration) -> None:
        """Drop the figures of demand about what a new configuration no longer has."""
        scope = derive_scope(configuration) if self.has_admission else DemandScope()
        if scope != self.demand_scope:
            self.demand_scope = scope
            self.demand.restrict(scope)
            self.demand_board.restrict(scope)

    def list_eligible(self, service: ServiceName, avoided: Iterable[ServerId]) -> list[BackendServer]:
        """List the servers of a service that are eligible for new work."""
        eligible = self.beliefs.list_eligible(self.view.list_servers(service), avoided, read_clock())
        return self.view.lapsed.prefer_listed(eligible)

    def list_accepting(self, service: ServiceName, avoided: Iterable[ServerId]) -> list[BackendServer]:
        """List the eligible servers of a service that accept requests from this node."""
        now = read_clock()
        eligible = self.list_eligible(service, avoided)
        return [server for server in eligible if self.beliefs[server.id].may_take_request(now)]

    def compute_wait(self, service: ServiceName) -> float:
        """Compute the seconds until a server of a service accepts requests again; 0 if one does now or none will."""
        now = read_clock()
        leading = [server for server in self.view.list_servers(service) if server.can_lead]
        staying = [belief for belief in (self.beliefs[server.id] for server in leading) if not belief.is_leaving]
        return min((belief.compute_wait(now) for belief in staying), default=0.0)

    def _compute_trial_delay(self, identity: Identity) -> float:
        """Compute how much later than others this node may try a blocked identity, in seconds."""
        order = zlib.crc32(f"{identity}\0{self.vm}".encode()) / 2**32
        return order * self.node_share.count_nodes() * TRIAL_INTERVAL_S

    async def can_reach_others(self, excluded: Collection[ServerId], since: float) -> bool:
        """Check whether this VM can reach servers other than the given ones, probing a few if none has responded.

        With at most one engine server there is nothing to compare with, so the VM counts as connected.

        :param since: monotonic time; responses to probes sent earlier do not count.
        """
        engines = [server for server in self.view.servers.values() if server.kind is not None]
        if len(engines) <= 1 or self.hearing.has_reached_others_since(since):
            return True
        probed_at = read_clock()
        others = [server for server in engines if server.id not in excluded]
        async with anyio.create_task_group() as tasks:
            for control in random.sample(others, min(CONTROL_PROBES, len(others))):
                tasks.start_soon(self.reports.read, control, 0.0)
        return self.hearing.has_reached_others_since(probed_at - PROBE_JOIN_AGE_S)

    def record_loss(self, server: ServerId) -> None:
        """Record a failure of a server, unless its backoff is still running, and report it to other nodes.

        Without this check, five streams that saw the same 0.1 s silence would extend the backoff from 0.7 s to 8 s.
        """
        now = read_clock()
        if self.beliefs[server].failed_until <= now:
            self.beliefs[server].record_failure(now)
        self.loss_found.notify()

    def record_refusal(self, server: ServerId, fullness: float) -> None:
        """Record that a server refused a request: it lacks capacity or is lost, depending on its expected fullness."""
        now = read_clock()
        belief = self.beliefs[server]
        belief.record_refusal(now, fullness)
        if belief.failed_until > now:
            self.loss_found.notify()
            return
        for listener in self.full_listeners:
            listener(server)

    async def release(self, link: HttpLink, address: str, *, is_whole: bool) -> None:
        """Return a connection to the pool if its exchange completed, and close it at once otherwise."""
        with anyio.CancelScope(shield=True):
            if is_whole:
                await self.pool.release(link, address)
            else:
                await link.abort()


__all__ = ["TrafficParts"]
