"""The vaneturn-node process: wiring, start and planned stop."""

from __future__ import annotations

import logging
import random
import signal
import sys
import uuid
from pathlib import Path
from typing import Final

import anyio
import httpx
import uvloop
import zmq.asyncio
from anyio.abc import TaskGroup

from vaneturn_core.configuration.schema import ClaimMode, Configuration
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import NodeId
from vaneturn_core.limits.retrybudget import RetryBudget
from vaneturn_core.membership.member import Member
from vaneturn_core.membership.table import MemberTable
from vaneturn_core.ports import Unavailable, VmList
from vaneturn_core.routing.health import LeavingSource, ServerHealths
from vaneturn_core.settings import NodeSettings, load_settings
from vaneturn_node.answers.moving import Mover
from vaneturn_node.answers.placement import Placement
from vaneturn_node.bytebudget import ByteBudget
from vaneturn_node.claims.bykey import ClaimsByKey
from vaneturn_node.claims.bymode import ClaimsByMode
from vaneturn_node.claims.byslot import ClaimsBySlot
from vaneturn_node.claims.ownership import SlotOwnership
from vaneturn_node.clock import read_clock
from vaneturn_node.configuration.changes import Changes
from vaneturn_node.configuration.follower import WATCHERS_PER_HALL, ConfigurationFollower
from vaneturn_node.configuration.inforce import ConfigurationInForce
from vaneturn_node.http.app import make_app
from vaneturn_node.http.bounding import BoundedRequests
from vaneturn_node.http.ended import EndedRequests
from vaneturn_node.http.listener import Listener
from vaneturn_node.http.serviceanswers import make_transport
from vaneturn_node.limits.admission import Admission
from vaneturn_node.logs import configure_logs
from vaneturn_node.machine import compute_byte_budget
from vaneturn_node.metrics import Metrics
from vaneturn_node.peers.meeting import Introducer
from vaneturn_node.peers.requests import PeerClient
from vaneturn_node.peers.seal import Sealer
from vaneturn_node.peers.wiring import Peers, make_peers
from vaneturn_node.placing.placer import Placer
from vaneturn_node.placing.tenure import Tenure
from vaneturn_node.runtime import Runtime
from vaneturn_node.stages.cachemove import CacheMover
from vaneturn_node.stages.pool import LinkPool
from vaneturn_node.standalone.keyvalue import HttpKeyValueService
from vaneturn_node.standalone.vms import HttpVmList
from vaneturn_node.startsteps import log_start_step

EXIT_SETTINGS: Final = 2
UNREADY_DELAY_S: Final = 1.0  # from unready to refusing, so that the load balancer can react
ABORT_TIME_S: Final = 1.0  # for the answers to requests that the end of a stop has aborted
VM_LIST_INTERVAL_S: Final = 2.0
MAX_CLIENT_CONNECTIONS: Final = 512

logger = logging.getLogger(__name__)


def run_node(path: Path, *, is_check: bool) -> int:
    """Run a node with the standalone interface until SIGTERM or SIGINT; return the exit code."""
    settings = load_settings(path)
    if isinstance(settings, Fault):
        print(settings, file=sys.stderr)  # noqa: T201 # the error message for the operator
        return EXIT_SETTINGS
    if is_check:
        return 0
    node = NodeId(uuid.uuid4().hex[:16])
    configure_logs(settings.log_level, settings.vm, node)
    log_start_step("modules loaded")
    anyio.run(_run, settings, node, backend_options={"loop_factory": uvloop.new_event_loop})
    return 0


async def _run(settings: NodeSettings, node: NodeId) -> None:
    limits = httpx.Limits(max_connections=MAX_CLIENT_CONNECTIONS)
    async with (
        httpx.AsyncClient(limits=limits) as client,
        httpx.AsyncClient(transport=make_transport(limits)) as service_client,
        anyio.create_task_group() as tasks,
    ):
        own = Member(node, settings.vm, settings.peer_address, settings.data_hall)
        table = MemberTable(own, random.Random(node), read_clock)
        runtime = _make_runtime(settings, table, client, service_client, tasks)
        peers = make_peers(runtime, table)
        follower = ConfigurationFollower(
            runtime.store, runtime.in_force, lambda: table.has_role("watch", WATCHERS_PER_HALL)
        )
        tasks.start_soon(peers.run)
        placer = Placer(runtime.tenure, runtime.in_force, runtime.pool, runtime.healths, runtime.metrics)
        tasks.start_soon(follower.run)
        tasks.start_soon(placer.run)
        if settings.vm_list_url is not None:
            tasks.start_soon(_follow_vm_list, HttpVmList(client, settings.vm_list_url), runtime.healths)
        stopped = anyio.Event()
        tasks.start_soon(_wait_for_stop, runtime, peers, stopped)
        log_start_step("parts made")
        await _serve(runtime, stopped)
        tasks.cancel_scope.cancel()
    logger.info("stopped")


def _make_runtime(
    settings: NodeSettings,
    table: MemberTable,
    client: httpx.AsyncClient,
    service_client: httpx.AsyncClient,
    tasks: TaskGroup,
) -> Runtime:
    metrics = Metrics()
    store = HttpKeyValueService(client, settings.key_value_url, metrics)
    in_force = ConfigurationInForce(metrics)
    peer_client = PeerClient(zmq.asyncio.Context.instance(), tasks, Sealer(settings.cluster_key), metrics)
    ownership = SlotOwnership(store, table, Introducer(peer_client, table))
    healths = ServerHealths(read_clock)
    pool = LinkPool(tasks, healths, metrics)
    placement = Placement(healths, pool, metrics)
    caches = CacheMover(client, settings.data_hall)
    in_force.add_listener(_FirstConfiguration().note)
    in_force.add_listener(lambda configuration: healths.replace_leaving(LeavingSource.OPERATOR, configuration.draining))
    in_force.add_listener(caches.follow)
    in_force.add_listener(pool.follow)
    in_force.add_listener(placement.follow)
    return Runtime(
        settings=settings,
        node=table.own.node,
        metrics=metrics,
        store=store,
        in_force=in_force,
        changes=Changes(store, in_force),
        claims=ClaimsByMode(
            {
                ClaimMode.BY_KEY: ClaimsByKey(store, table.own.node),
                ClaimMode.BY_SLOT: ClaimsBySlot(table.own.node, ownership, peer_client),
            },
            lambda: in_force.view.configuration.claims,
        ),
        ownership=ownership,
        tenure=Tenure(store, table),
        peer_client=peer_client,
        admission=Admission(metrics, placement.read_bound, lambda: len(table.list_active())),
        retry_budget=RetryBudget(),
        healths=healths,
        pool=pool,
        placement=placement,
        mover=Mover(healths, caches, in_force.find_server),
        client=service_client,
        generations={},
        ended=EndedRequests(),
    )


class _FirstConfiguration:
    """Logs when the first configuration is in force."""

    def __init__(self) -> None:
        self._is_known = False

    def note(self, _configuration: Configuration) -> None:
        if not self._is_known:
            self._is_known = True
            log_start_step("configuration in force")


async def _serve(runtime: Runtime, stopped: anyio.Event) -> None:
    app = BoundedRequests(make_app(runtime), ByteBudget(compute_byte_budget(runtime.settings.memory_mb)))
    log_start_step("serving")
    logger.info("serving", extra={"address": runtime.settings.http_address})
    await Listener(app, runtime.settings).serve(stopped)


async def _wait_for_stop(runtime: Runtime, peers: Peers, stopped: anyio.Event) -> None:
    """On a signal become unready, refuse new requests after UNREADY_DELAY_S, and stop when the last one has ended."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for received in signals:
            logger.info("stopping", extra={"signal": received.name})
            break
    runtime.admission.is_ready = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(peers.announce_stopping)
        tasks.start_soon(runtime.tenure.give_up)
        await anyio.sleep(UNREADY_DELAY_S)
        runtime.admission.is_stopping = True
    with anyio.move_on_after(runtime.settings.stop_timeout):
        await runtime.admission.wait_idle()
    runtime.admission.abort_requests()
    with anyio.move_on_after(ABORT_TIME_S):
        await runtime.admission.wait_idle()
    await peers.announce_stopped()
    stopped.set()


async def _follow_vm_list(vm_list: VmList, healths: ServerHealths) -> None:
    while True:
        leaving = await vm_list.list_leaving()
        if not isinstance(leaving, Unavailable):
            healths.replace_leaving(LeavingSource.VM_LIST, leaving)
        await anyio.sleep(VM_LIST_INTERVAL_S)


__all__ = ["EXIT_SETTINGS", "run_node"]
