"""Opens connections to servers, and finds out whether this node can reach the servers of each service.

A request that cannot connect starts a round of probes, which the others share. While no server of a service can be
reached, this task probes them, so that no request pays for finding out that the path is back.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import anyio
from anyio import CancelScope

from vaneturn_core.identifiers import RequestId, ServiceName
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.paths import ServicePath, choose_probed
from vaneturn_core.traffic.servers import BackendServer
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import HttpLink, LinkError
from vaneturn_node.http1.pool import MAX_IDLE_S, LinkPool
from vaneturn_node.traffic.servers.signals import Signal

SUSPICION_DELAY_S: Final = 0.08  # of a connection that does not open; healthy servers accept within a few milliseconds
PROBE_TIMEOUT_S: Final = 0.1
LOSS_TIME_S: Final = 1.0  # before a path is known to be lost, in which failures are due to the loss
HELD_UP_FACTOR: Final = 2.0  # times its timeout; a round that took longer proves nothing
PROBE_INTERVAL_S: Final = 0.2  # between rounds of probes while a path is lost
MAX_SHOWN_S: Final = 1e9  # in place of infinity, which JSON cannot express

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Probes:
    """The outcomes of a round of probes, by their number; the others were refused or got no answer."""

    opened: int = 0
    reset: int = 0  # while they opened
    local: int = 0  # not opened for a reason of this VM


class Connectivity:
    """The paths from this node to the servers, by service."""

    def __init__(self, view: PlatformView, beliefs: ServerStatuses, pool: LinkPool) -> None:
        self._view = view
        self._beliefs = beliefs
        self._pool = pool
        self._paths: defaultdict[ServiceName, ServicePath] = defaultdict(ServicePath)
        self._rounds: dict[ServiceName, anyio.Event] = {}  # rounds in progress
        self._has_lost = Signal()

    async def run(self) -> None:
        """Probe the services whose paths are lost until cancelled."""
        while True:
            await self._has_lost.wait()
            while lost := self.list_lost():
                await anyio.sleep(PROBE_INTERVAL_S)
                self._drop_unlisted()
                async with anyio.create_task_group() as tasks:
                    for service in lost:
                        tasks.start_soon(self._run_round, service)

    def is_lost(self, service: ServiceName) -> bool:
        """Tell whether no server of a service accepts connections from this node."""
        return service in self._paths and self._paths[service].is_lost

    def is_cut_off(self, service: ServiceName) -> bool:
        """Tell whether the servers of a service count as cut off from this node, so that runs on them don't count."""
        return service in self._paths and self._paths[service].is_cut_off

    def is_confirmed_lost(self, service: ServiceName) -> bool:
        """Tell the same after several rounds of probes."""
        return service in self._paths and self._paths[service].is_confirmed_lost

    def list_lost(self) -> list[ServiceName]:
        """List the services whose servers this node cannot reach."""
        return [service for service, path in self._paths.items() if path.is_lost]

    def compute_lost_time(self, service: ServiceName) -> float:
        """Return the seconds since the path to a service was lost; 0 if it is not."""
        lost_at = self._paths[service].lost_at if service in self._paths else None
        return 0.0 if lost_at is None else read_clock() - lost_at

    async def acquire(
        self, server: BackendServer, max_idle: float = MAX_IDLE_S, *, request: RequestId | None = None
    ) -> HttpLink:
        """Take a pooled connection to a server or open a new one.

        :param request: to be sent on it; a connection that has carried it before is not taken.
        :raises LinkError: no connection could be opened; `has_no_path` states that no server of the service accepts
            connections from this node.
        """
        pooled = await self._pool.take_idle(server.address, max_idle, request=request)
        if pooled is not None:
            return pooled
        started = read_clock()
        link: HttpLink | None = None
        failure = LinkError("no path to any server of the service", was_sent=False, has_no_path=True)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._check_while_opening, server.service, started, tasks.cancel_scope)
                try:
                    link = await self._pool.open(server.address)
                except LinkError as error:
                    failure = error
                tasks.cancel_scope.cancel()
        except BaseException:
            if link is not None:
                with CancelScope(shield=True):
                    await link.abort()
            raise
        if link is not None:
            self._paths[server.service].record_opened(read_clock())
            return link
        if not failure.has_no_path and not await self.check(server.service, started):
            raise LinkError(failure.cause, was_sent=False, has_no_path=True)
        raise failure

    async def check(self, service: ServiceName, since: float) -> bool:
        """Tell whether this node can open connections to servers of a service, probing some if none was opened.

        :param since: monotonic time; connections that were opened earlier do not count.
        """
        path = self._paths[service]
        if not path.is_lost and path.opened_at < since:
            running = self._rounds.get(service)
            await (running.wait() if running is not None else self._run_round(service))
        return not path.is_lost

    async def _check_while_opening(self, service: ServiceName, started: float, opening: CancelScope) -> None:
        """Cancel the opening of a connection if the path turns out to be lost."""
        await anyio.sleep(SUSPICION_DELAY_S)
        if not await self.check(service, started):
            opening.cancel()

    def _list_servers(self, service: ServiceName) -> list[BackendServer]:
        """List the servers of a service, also those that are leaving, as any of them shows that the path is open."""
        return [server for server in self._view.list_servers(service) if not self._beliefs[server.id].is_replaced]

    def _drop_unlisted(self) -> None:
        """Drop the lost paths of services that have no servers any more."""
        for service in [each for each in self.list_lost() if not self._list_servers(each)]:
            logger.info("path to service forgotten, as it has no servers", extra={"service": service})
            del self._paths[service]

    async def _run_round(self, service: ServiceName) -> None:
        over = self._rounds[service] = anyio.Event()
        try:
            started = read_clock()
            probed = choose_probed(self._list_servers(service), self._beliefs.list_failed(started))
            if probed:
                probes = await self._probe(probed, is_one_enough=not self._paths[service].is_lost)
                if not probes.opened and read_clock() - started > HELD_UP_FACTOR * PROBE_TIMEOUT_S:
                    probes = await self._probe(probed, is_one_enough=True)  # this process did not run meanwhile
                if probes.local < len(probed):
                    self._record_round(service, probed, probes, started)
        finally:
            del self._rounds[service]
            over.set()

    async def _probe(self, servers: Sequence[BackendServer], *, is_one_enough: bool) -> _Probes:
        """Open a new connection to each server.

        Pooled connections are not used, as they may live on while new ones are refused.
        """
        probes = _Probes()

        async def open_link(server: BackendServer) -> None:
            try:
                link = await HttpLink.open(server.address, PROBE_TIMEOUT_S)
            except LinkError as error:
                probes.reset += error.is_reset
                probes.local += error.is_local
                return
            probes.opened += 1
            with CancelScope(shield=True):
                await link.abort()
            if is_one_enough:
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for server in servers:
                tasks.start_soon(open_link, server)
        return probes

    def _record_round(
        self, service: ServiceName, probed: Sequence[BackendServer], probes: _Probes, started: float
    ) -> None:
        path = self._paths[service]
        lost_for = self.compute_lost_time(service)
        opened_at = path.opened_at
        now = read_clock()
        if not path.record_round(len(probed), probes.opened, now, reset=probes.reset):
            return
        extra = {
            "service": service,
            "probed": [server.id for server in probed],
            "opened": probes.opened,
            "reset": probes.reset,
            "took": round(now - started, 3),
        }
        if path.is_lost:
            extra["opened_age"] = round(min(now - opened_at, MAX_SHOWN_S), 3)
            logger.warning("path to service lost", extra=extra)
            self._forget_failures(service, now - LOSS_TIME_S)
            self._has_lost.notify()
        else:
            logger.warning("path to service regained", extra={**extra, "lost_for": round(lost_for, 3)})

    def _forget_failures(self, service: ServiceName, since: float) -> None:
        """Forget the failures of servers since a time, as this node could not reach any of them."""
        for server in self._list_servers(service):
            status = self._beliefs[server.id]
            if status.failed_at >= since:
                status.failures, status.failed_until = 0, float("-inf")


__all__ = ["Connectivity"]
