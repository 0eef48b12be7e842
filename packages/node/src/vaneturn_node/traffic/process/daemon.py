"""A node on the users' platform: construction, start, reload of the settings and planned stop."""

from __future__ import annotations

import logging
import signal
import uuid
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Final

import anyio

from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import DataHall, NodeId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.hearing import Reachability
from vaneturn_core.traffic.relays import RelayTimes, rank_candidate
from vaneturn_core.traffic.servers import ServerAddress
from vaneturn_core.traffic.settings import LIMIT_VARIABLES, TrafficSettings, load_traffic_settings
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock, watch_suspensions
from vaneturn_node.errors import Supervisor, UnexpectedErrors
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.logs import configure_logs
from vaneturn_node.platform.servers import ServerCalls
from vaneturn_node.platform.store import PlatformStore
from vaneturn_node.traffic.duties.crashrecords import CrashRecorder
from vaneturn_node.traffic.duties.placing import Placer
from vaneturn_node.traffic.duties.registration import Registration
from vaneturn_node.traffic.duties.tenure import Tenure
from vaneturn_node.traffic.following.follower import StoreFollower
from vaneturn_node.traffic.following.viewkeeping import ViewKeeper
from vaneturn_node.traffic.process.inspection import OperatorHandler
from vaneturn_node.traffic.process.limits import ProcessLimits
from vaneturn_node.traffic.process.listeners import Listeners
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
from vaneturn_node.traffic.sharing.loadsharing import LoadSharing
from vaneturn_node.traffic.sharing.longvalues import LongValueReader
from vaneturn_node.traffic.sharing.losssharing import LossSharing

STOP_POLL_INTERVAL_S: Final = 0.05  # during a planned stop, between checks whether the process may end
ABORT_POLL_INTERVAL_S: Final = 0.005  # the same once requests are aborted: the process is killed soon after

logger = logging.getLogger(__name__)


class TrafficNode:
    """The components of a node and its listeners."""

    def __init__(self, settings: TrafficSettings, path: Path) -> None:
        self._settings = settings
        self._settings_path = path
        self.id = NodeId(uuid.uuid4().hex[:16])
        bounds = settings.bounds
        limits = ProcessLimits.derive(settings)
        self._pool = LinkPool(limits.resources.budget, limits.calls)
        caller = Caller(self._pool)
        self._store = PlatformStore(caller, ServerAddress(settings.store_address))
        self._view = PlatformView(bounds.keys_valid_ms / 1000, read_clock, bounds.leaving_ms / 1000)
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
        ended, errors = RequestHistory(), UnexpectedErrors()
        self._connectivity, self._silences = parts.connectivity, parts.silences
        self._first_reading = parts.first_reading
        self._lifecycle = Lifecycle(bounds.stop_s)
        self._request_handler = RequestHandler(parts, metrics, ended, errors, self._lifecycle.get_time_left)
        forwarded_handler = ForwardedRequestHandler(
            self._request_handler, self._view, lambda: self._lifecycle.is_stopping
        )
        self._placer = Placer(self._tenure, self._view, calls, self._connectivity)
        change_log = ChangeLog()
        times = RelayTimes.derive(min(bounds.leaving_ms, bounds.change_ms) / 1000)
        demand = DemandSharing(parts)
        losses = self._losses = LossSharing(settings.vm, parts, caller, change_log)
        self._crash_recorder = CrashRecorder(self._store, self._tenure, parts.crashes)
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
            keeper=ViewKeeper(self._tenure, self._registration, self._crash_recorder, parts),
            log=change_log,
            peers=change_client,
            server=self._change_server,
            reader=LongValueReader(vm=settings.vm, store=self._store, view=self._view, log=change_log, caller=caller),
            times=times,
            first_reading=parts.first_reading,
        )
        operator_handler = OperatorHandler(
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
            errors=errors,
            limits=limits,
        )
        self._supervisor = Supervisor(errors)
        self._listeners = Listeners(
            errors=errors,
            limits=limits,
            supervisor=self._supervisor,
            settings=settings,
            view=self._view,
            lifecycle=self._lifecycle,
            clients=self._request_handler,
            forwarded=forwarded_handler,
            changes=self._change_server,
            operators=operator_handler,
        )

    async def run(self, has_reload: Callable[[], bool] = lambda: False) -> None:
        """Run until a planned stop is complete."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            if has_reload():
                self._reload()
            async with anyio.create_task_group() as tasks:
                duties = (self._follower, self._tenure, self._registration, self._placer, self._crash_recorder)
                shared = (self._sharing, self._losses, self._crashes, self._pool, *self._request_handler.backgrounds)
                for background in (*duties, *shared, self._connectivity, self._silences):
                    tasks.start_soon(self._supervisor.run, type(background).__name__, background.run)
                watch = partial(watch_suspensions, self._request_handler.shorten_timeouts)
                tasks.start_soon(self._supervisor.run, "watch_suspensions", watch)
                await self._listeners.open(tasks)
                limits = {name: getattr(self._settings, name) for name in LIMIT_VARIABLES.values()}
                logger.info("serving", extra={"address": self._settings.client_address, "node": self.id, **limits})
                tasks.start_soon(self._await_stop, tasks.cancel_scope)
                async for signal_number in signals:
                    if signal_number == signal.SIGHUP:
                        self._reload()
                    elif not self._lifecycle.is_stopping:
                        logger.info("stopping", extra={"in_progress": self._request_handler.in_progress})
                        self._lifecycle.stop()
                        tasks.start_soon(self._supervisor.run, "release_duties", self._release_duties)
        logger.info("stopped")

    async def _await_stop(self, scope: anyio.CancelScope) -> None:
        await self._lifecycle.wait_for_stop()
        while True:
            until_abort = self._lifecycle.get_time_left()
            await anyio.sleep(max(ABORT_POLL_INTERVAL_S, min(STOP_POLL_INTERVAL_S, until_abort)))
            if self._lifecycle.is_closed_to_clients():
                self._lifecycle.idle.close_all()  # connections without a request yet
                self._first_reading.end()  # requests that wait for it are refused, as the process may end before it
            if self._lifecycle.is_closed_to_clients() and self._listeners.close_to_clients():
                logger.info("no more clients", extra={"in_progress": self._request_handler.in_progress})
            if self._lifecycle.must_abort():
                self._request_handler.abort_requests()
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


def run_traffic_node(settings: TrafficSettings, path: Path, has_reload: Callable[[], bool] = lambda: False) -> None:
    """Run a node on the users' platform until a planned stop by SIGTERM or SIGINT is complete.

    :param has_reload: tells whether a reload of the settings was requested before the node handled signals.
    """
    node = TrafficNode(settings, path)
    configure_logs(settings.log_level, settings.vm, node.id)
    anyio.run(node.run, has_reload)


__all__ = ["run_traffic_node"]
