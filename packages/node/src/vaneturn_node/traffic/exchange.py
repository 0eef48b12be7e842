"""What every forwarder of a node shares."""

from __future__ import annotations

import random
import time
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

import anyio

from vaneturn_core.identifiers import DataHall, ServiceName, VmId
from vaneturn_core.traffic.arrivals import ArrivalRate
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.hearing import Hearing
from vaneturn_core.traffic.layermap import LayerMap
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.losses import LossBoard
from vaneturn_core.traffic.retries import WindowedRetryBudget
from vaneturn_core.traffic.servers import BackendServer, ServerBeliefs, ServerId
from vaneturn_core.traffic.settings import Bounds
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Failed
from vaneturn_node.http1.link import HttpLink
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.servers import ServerCalls, ServerReport

SIGN_TIME: Final = 0.06  # seconds for a sign of life; a sound server answers in 2 to 4 ms
MAX_REPORT_AGE: Final = 30.0  # seconds
REPORT_AGE: Final = 0.2  # seconds; reports lag by as much
SILENCE_AGE: Final = 0.06  # seconds for which an unanswered question serves all requests; the next look asks anew
CONTROLS: Final = 2  # servers asked for whether this VM hears anybody; one of them may be lost as well


class ReportBoard:
    """Asks servers for their reports, once for all requests that want one at about the same time."""

    def __init__(self, calls: ServerCalls, hearing: Hearing) -> None:
        self._calls = calls
        self._hearing = hearing
        self._newest: dict[ServerId, tuple[float, ServerReport | Failed]] = {}
        self._locks: dict[ServerId, anyio.Lock] = {}

    async def read(self, server: BackendServer, age: float = REPORT_AGE) -> ServerReport | Failed:
        """Read a report of at most some seconds."""
        lock = self._locks.setdefault(server.id, anyio.Lock())
        async with lock:
            known = self._newest.get(server.id)
            if known is not None and _is_fresh(known, age):
                return known[1]
            asked_at = time.monotonic()
            report = await self._calls.read_report(server, SIGN_TIME)
            if isinstance(report, ServerReport):
                self._hearing.record_answer(asked_at)
            self._newest[server.id] = (time.monotonic(), report)
            self._forget_old()
            return report

    def find(self, server: ServerId) -> ServerReport | None:
        """Find the newest report of a server; none when it did not answer."""
        known = self._newest.get(server)
        return known[1] if known is not None and isinstance(known[1], ServerReport) else None

    def is_refused(self, server: ServerId) -> bool:
        """Tell whether nobody listens at the server's address."""
        known = self._newest.get(server)
        return known is not None and isinstance(known[1], Failed) and known[1].is_refused

    def _forget_old(self) -> None:
        """Forget reports that nobody can want any more, of servers that have left among them."""
        oldest = time.monotonic() - MAX_REPORT_AGE
        for server in [one for one, (told_at, _) in self._newest.items() if told_at < oldest]:
            del self._newest[server]
            self._locks.pop(server, None)


def _is_fresh(known: tuple[float, ServerReport | Failed], age: float) -> bool:
    """Tell whether an answer still serves; the same silence counted twice made a server lost by one question."""
    told_at, report = known
    longest = min(age, SILENCE_AGE) if isinstance(report, Failed) else age
    return time.monotonic() - told_at < longest


class Signal:
    """Wakes the one task that waits for it; given while nobody waits, the next wait ends at once."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def give(self) -> None:
        """Wake the task."""
        self._event.set()

    async def wait(self) -> None:
        """Wait until it was given, and take it back."""
        await self._event.wait()
        self._event = anyio.Event()


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
    losses: LossBoard = field(default_factory=lambda: LossBoard(time.monotonic))
    loss_found: Signal = field(default_factory=Signal)
    board: LoadBoard = field(default_factory=lambda: LoadBoard(time.monotonic))
    arrivals: ArrivalRate = field(default_factory=lambda: ArrivalRate(time.monotonic))  # of streams
    budgets: dict[ServiceName, WindowedRetryBudget] = field(default_factory=dict)
    layer_maps: dict[ServiceName, LayerMap] = field(default_factory=dict)

    def find_budget(self, service: ServiceName) -> WindowedRetryBudget:
        """Find the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = WindowedRetryBudget(
                self.bounds.retry_ratio,
                self.bounds.retry_slack,
                self.bounds.retry_window_s,
                self.view.count_nodes,
                time.monotonic,
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
        return self.beliefs.list_choosable(self.view.list_servers(service), avoided, time.monotonic())

    async def hears_others(self, but: Collection[ServerId], since: float) -> bool:
        """Tell whether this VM hears servers, others than some; asks a few of them if it has asked nobody since.

        Where there are no others it is taken to hear: nothing speaks against it.

        :param since: steady time; an answer to an older question says nothing.
        """
        engines = [one for one in self.view.servers.values() if one.kind is not None and one.id not in but]
        if not engines or self.hearing.has_heard_since(since):
            return True
        asked_at = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for control in random.sample(engines, min(CONTROLS, len(engines))):
                tasks.start_soon(self.reports.read, control, 0.0)
        return self.hearing.has_heard_since(asked_at)

    def note_lost(self, server: ServerId) -> None:
        """Take note that a server has failed for this node, once while it rests for that; other nodes are told.

        Five streams that saw one silence of a server made 8 s of rest out of it, in place of 0.7 s.
        """
        now = time.monotonic()
        if self.beliefs[server].found_until <= now:
            self.beliefs[server].record_failure(now)
        self.loss_found.give()

    def note_refusal(self, server: ServerId, fullness: float) -> None:
        """Take note that a server lacks room, or is lost, by how full it should be."""
        now = time.monotonic()
        belief = self.beliefs[server]
        belief.record_refusal(now, fullness)
        if belief.found_until > now:
            self.loss_found.give()

    async def release(self, link: HttpLink, address: str, *, is_whole: bool) -> None:
        """Keep a connection whose exchange ended as it should, and close any other at once."""
        with anyio.CancelScope(shield=True):
            if is_whole:
                await self.pool.put_back(link, address)
            else:
                await link.abort()


__all__ = ["TrafficParts"]
