"""A node on the users' platform: construction, start, reload of the settings and planned stop."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import signal
import uuid
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Final

import anyio

from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import DataHall, NodeId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.configuration import ClientLimits
from vaneturn_core.traffic.hearing import Reachability
from vaneturn_core.traffic.relays import RelayTimes, rank_candidate
from vaneturn_core.traffic.servers import ServerAddress
from vaneturn_core.traffic.settings import TrafficSettings, load_traffic_settings
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock, watch_suspensions
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.http1.server import ClientAnswer, ClientConnection, ClientRequest, Handler
from vaneturn_node.http1.tcp import TcpStream, listen
from vaneturn_node.logs import configure_logs
from vaneturn_node.platform.servers import ServerCalls
from vaneturn_node.platform.store import PlatformStore
from vaneturn_node.traffic.duties.placing import Placer
from vaneturn_node.traffic.duties.registration import Registration
from vaneturn_node.traffic.duties.tenure import Tenure
from vaneturn_node.traffic.following.follower import StoreFollower
from vaneturn_node.traffic.following.viewkeeping import ViewKeeper
from vaneturn_node.traffic.process.inspection import OperatorHandler
from vaneturn_node.traffic.process.stopping import Lifecycle
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.reports import ReportBoard
from vaneturn_node.traffic.serving.answering import RequestHandler
from vaneturn_node.traffic.serving.forwardedrequests import ForwardedRequestHandler
from vaneturn_node.traffic.serving.metrics import TrafficMetrics
from vaneturn_node.traffic.serving.requesthistory import RequestHistory
from vaneturn_node.traffic.sharing.changeclient import ChangeClient
from vaneturn_node.traffic.sharing.changelog import ChangeLog
from vaneturn_node.traffic.sharing.changeserver import ChangeServer
from vaneturn_node.traffic.sharing.crashsharing import CrashSharing
from vaneturn_node.traffic.sharing.demandsharing import DemandSharing
from vaneturn_node.traffic.sharing.forwarding import FORWARDED_PATH
from vaneturn_node.traffic.sharing.loadsharing import LoadSharing
from vaneturn_node.traffic.sharing.longvalues import LongValueReader
from vaneturn_node.traffic.sharing.losssharing import LossSharing

READINESS_PATH: Final = "/api/readyz"
STOP_POLL_INTERVAL_S: Final = 0.05  # during a planned stop, between checks whether the process may end
MAX_FORWARDED_HEAD_BYTES: Final = 131_072  # of a request that a node forwards, besides its body
BACKLOG: Final = 512  # connections waiting to be accepted

logger = logging.getLogger(__name__)


class TrafficNode:
    """The components of a node and its listeners."""

    def __init__(self, settings: TrafficSettings, path: Path) -> None:
        self._settings = settings
        self._settings_path = path
        self.id = NodeId(uuid.uuid4().hex[:16])
        bounds = settings.bounds
        self._pool = LinkPool()
        caller = Caller(self._pool)
        self._store = PlatformStore(caller, ServerAddress(settings.store_address))
        self._view = PlatformView(bounds.keys_valid_ms / 1000, read_clock)
        self._beliefs = ServerStatuses()
        metrics = TrafficMetrics()
        self._tenure = Tenure(self._store, self.id, settings.vm, self._rank_candidate)
        self._registration = Registration(self._store, settings.vm, settings.peer_address)
        calls = ServerCalls(caller)
        hall = DataHall(settings.data_hall)
        hearing = Reachability(read_clock)
        reports = ReportBoard(calls, hearing)
        parts = TrafficParts(
            settings.vm,
            hall,
            bounds,
            self._view,
            self._beliefs,
            self._pool,
            calls,
            reports,
            hearing,
            caller,
            has_admission=settings.admission,
        )
        ended = RequestHistory()
        self._connectivity = parts.connectivity
        self._request_handler = RequestHandler(parts, metrics, ended)
        self._forwarded_handler = ForwardedRequestHandler(
            self._request_handler, self._view, lambda: self._lifecycle.is_stopping
        )
        self._placer = Placer(self._tenure, self._view, calls, self._connectivity)
        self._lifecycle = Lifecycle(bounds.stop_s)
        change_log = ChangeLog()
        times = RelayTimes.derive(min(bounds.leaving_ms, bounds.change_ms) / 1000)
        demand = DemandSharing(parts)
        losses = self._losses = LossSharing(settings.vm, parts, caller, change_log)
        crashes = self._crashes = CrashSharing(settings.vm, parts.crashes, self._view, caller)
        self._change_server = ChangeServer(
            log=change_log,
            view=self._view,
            times=times,
            beliefs=self._beliefs,
            board=parts.board,
            losses=losses,
            crashes=crashes,
            permits=parts.permits,
            demand=demand,
        )
        change_client = ChangeClient(
            caller=caller,
            times=times,
            vm=settings.vm,
            view=self._view,
            beliefs=self._beliefs,
            board=parts.board,
            losses=losses,
            crashes=crashes,
            permits=parts.permits,
            demand=demand,
        )
        self._sharing = LoadSharing(parts, demand, change_client)
        self._follower = StoreFollower(
            vm=settings.vm,
            store=self._store,
            view=self._view,
            keeper=ViewKeeper(self._tenure, self._registration, parts),
            log=change_log,
            peers=change_client,
            server=self._change_server,
            reader=LongValueReader(vm=settings.vm, store=self._store, view=self._view, log=change_log, caller=caller),
            times=times,
            first_reading=parts.first_reading,
        )
        self._client_listener: asyncio.Server | None = None
        self._operator_handler = OperatorHandler(
            vm=settings.vm,
            node=self.id,
            parts=parts,
            metrics=metrics,
            admitter=self._request_handler.admitter,
            ended=ended,
            tenure=self._tenure,
            follower=self._follower,
            lifecycle=self._lifecycle,
            demand=demand,
        )

    async def run(self) -> None:
        """Run until a planned stop is complete."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with anyio.create_task_group() as tasks:
                duties = (self._follower, self._tenure, self._registration, self._placer)
                shared = (self._sharing, self._losses, self._crashes, self._pool, self._request_handler.admitter)
                for background in (*duties, *shared, self._connectivity):
                    tasks.start_soon(background.run)
                tasks.start_soon(watch_suspensions, self._request_handler.shorten_timeouts)
                await self._listen(tasks)
                logger.info("serving", extra={"address": self._settings.client_address, "node": self.id})
                tasks.start_soon(self._await_stop, tasks.cancel_scope)
                async for signal_number in signals:
                    if signal_number == signal.SIGHUP:
                        self._reload()
                    elif not self._lifecycle.is_stopping:
                        logger.info("stopping", extra={"in_progress": self._request_handler.in_progress})
                        self._lifecycle.stop()
                        tasks.start_soon(self._release_duties)
        logger.info("stopped")

    async def _listen(self, tasks: anyio.abc.TaskGroup) -> None:
        listeners: list[tuple[str, Callable[[TcpStream], Coroutine[Any, Any, None]]]] = [
            (self._settings.client_address, self._serve_client),
            (self._settings.readiness_address, self._serve_readiness),
            (self._settings.metrics_address, self._serve_metrics),
            (self._settings.peer_address, self._serve_peer),
        ]
        for address, serve in listeners:
            host, _, port = address.rpartition(":")
            listener = await listen(host, int(port), serve, tasks, BACKLOG)
            if address == self._settings.client_address:
                self._client_listener = listener

    async def _await_stop(self, scope: anyio.CancelScope) -> None:
        await self._lifecycle.wait_for_stop()
        while True:
            await anyio.sleep(STOP_POLL_INTERVAL_S)
            if self._client_listener is not None and self._lifecycle.is_closed_to_clients():
                logger.info("no more clients", extra={"in_progress": self._request_handler.in_progress})
                self._client_listener.close()
                self._client_listener = None
            if self._lifecycle.may_exit(self._request_handler.in_progress):
                break
        scope.cancel()

    def _rank_candidate(self) -> int | None:
        """Return the rank of this node among those that may order servers; None while it cannot reach them."""
        configuration = self._view.configuration
        if configuration is not None and any(map(self._connectivity.is_lost, configuration.list_engines())):
            return None
        return rank_candidate(self._settings.vm, self._view.nodes)

    async def _release_duties(self) -> None:
        """Hand the duties over to other nodes at once; requests in progress do not need them."""
        await self._tenure.release()
        await self._registration.deregister()

    def _reload(self) -> None:
        """Read the settings again and apply the log level; the other settings take effect at the next start."""
        settings = load_traffic_settings(self._settings_path)
        if isinstance(settings, Fault):
            logger.error("settings not reloaded", extra={"fault": str(settings)})
            return
        logging.getLogger().setLevel(settings.log_level)
        changed = [
            name for name in settings.__struct_fields__ if getattr(settings, name) != getattr(self._settings, name)
        ]
        logger.info("settings reloaded", extra={"changed": changed})

    async def _serve_client(self, stream: TcpStream) -> None:
        await self._serve(stream, self._request_handler.handle)

    async def _serve_readiness(self, stream: TcpStream) -> None:
        await self._serve(stream, self._answer_readiness)

    async def _serve_metrics(self, stream: TcpStream) -> None:
        self._operator_handler.in_progress = self._request_handler.in_progress
        await self._serve(stream, self._operator_handler.answer)

    async def _serve_peer(self, stream: TcpStream) -> None:
        await self._serve(stream, self._answer_peer, extra_bytes=MAX_FORWARDED_HEAD_BYTES)

    async def _answer_peer(self, request: ClientRequest, answer: ClientAnswer) -> None:
        is_forwarded = request.path == FORWARDED_PATH
        await (self._forwarded_handler if is_forwarded else self._change_server).answer(request, answer)

    async def _serve(self, stream: TcpStream, handler: Handler, extra_bytes: int = 0) -> None:
        configuration = self._view.configuration
        limits = configuration.limits if configuration is not None else ClientLimits()
        limits = dataclasses.replace(limits, body_bytes=limits.body_bytes + extra_bytes)
        lifecycle = self._lifecycle
        await ClientConnection(stream, handler, limits, lifecycle.idle_scopes, lambda: lifecycle.is_stopping).run()

    async def _answer_readiness(self, request: ClientRequest, answer: ClientAnswer) -> None:
        is_ready = request.path == READINESS_PATH and self._is_ready()
        await answer.send_whole(200 if is_ready else 503, [], b"ready" if is_ready else b"not ready")

    def _is_ready(self) -> bool:
        return not self._lifecycle.is_stopping and self._view.is_ready()


def run_traffic_node(settings: TrafficSettings, path: Path) -> None:
    """Run a node on the users' platform until a planned stop by SIGTERM or SIGINT is complete."""
    node = TrafficNode(settings, path)
    configure_logs(settings.log_level, settings.vm, node.id)
    anyio.run(node.run)


__all__ = ["run_traffic_node"]
