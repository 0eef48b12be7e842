"""All nodes see the loads of all, also those that ask a node that replaces a relay."""

from __future__ import annotations

import time

import anyio
import pytest

from core.traffic.samples import make_server
from node.traffic.samples import Answer, make_crash_sharing, make_parts
from node.traffic.sharing.samples import BUSY, RESERVED, TIMES, lead
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.relays import hash_text, list_relays
from vaneturn_core.traffic.servers import ServerLoad
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.platform.epochs import StoreState
from vaneturn_node.platform.store import StoreItem
from vaneturn_node.traffic.sharing.changeclient import ChangeClient, RelayedChanges
from vaneturn_node.traffic.sharing.changelog import ChangeLog
from vaneturn_node.traffic.sharing.changeserver import LOADS_PATH, ChangeServer
from vaneturn_node.traffic.sharing.demandsharing import DemandSharing
from vaneturn_node.traffic.sharing.loadsharing import REPORT_GAP_S, LoadSharing
from vaneturn_node.traffic.sharing.losssharing import LossSharing

pytestmark = pytest.mark.anyio

NODES = sorted((VmId(f"entry-{number}") for number in range(60)), key=lambda node: (hash_text(node), node))
LOST, RELAY, REPLACEMENT, SECOND = NODES[:4]
FOLLOWER, OTHER = NODES[10:12]
ASK_GAP_S = 0.2


class Fleet(Caller):
    """Delivers messages between nodes in this process; the address of a node is its name."""

    def __init__(self) -> None:
        super().__init__(LinkPool())
        self.nodes: dict[str, Node] = {}
        self.reports: list[tuple[str, int]] = []  # between relays: receiver and bytes

    async def call(self, address: str, method: str, target: str, limit: float, **sent: object) -> Reply | Failed:
        assert limit > 0
        if address not in self.nodes:
            return Failed("no answer", was_sent=True)
        body = sent["body"]
        assert isinstance(body, bytes)
        if target == LOADS_PATH:
            self.reports.append((address, len(body)))
        answer = Answer()
        request = ClientRequest(method, target, target.partition("?")[0], [], body, time.monotonic())
        await self.nodes[address].server.answer(request, answer)
        return Reply(answer.status, answer.body)


class Node:
    """A node that leads some requests over the server i-1."""

    def __init__(self, vm: VmId, fleet: Fleet, busy: int) -> None:
        view = PlatformView(5.0, time.monotonic)
        view.put_server(make_server(1, "a100", "east"))
        view.nodes = {node: str(node) for node in NODES}
        view.confirm(time.monotonic())
        beliefs, log, self.busy = ServerStatuses(), ChangeLog(), busy
        lead(beliefs, busy)
        log.replace([], StoreState(5))
        log.append([StoreItem("servers/i-1", b"entry", StoreState(6))], StoreState(6))
        self.parts = make_parts(vm, view, beliefs, fleet)
        demand, losses = DemandSharing(self.parts), LossSharing(vm, self.parts, fleet, log)
        crashes, permits, board = make_crash_sharing(vm, view, fleet), self.parts.permits, self.parts.board
        self.server = ChangeServer(
            log=log,
            view=view,
            times=TIMES,
            beliefs=beliefs,
            board=board,
            losses=losses,
            crashes=crashes,
            permits=permits,
            demand=demand,
        )
        self.client = ChangeClient(
            caller=fleet,
            times=TIMES,
            vm=vm,
            view=view,
            beliefs=beliefs,
            board=board,
            losses=losses,
            crashes=crashes,
            permits=permits,
            demand=demand,
        )
        self.sharing = LoadSharing(self.parts, demand, self.client)
        fleet.nodes[vm] = self

    async def follow(self, relay: VmId) -> None:
        while True:
            assert isinstance(await self.client.ask(relay, StoreState(5)), RelayedChanges)
            await anyio.sleep(ASK_GAP_S)

    def count_seen(self) -> int:
        """Count the requests in progress that it sees over all nodes."""
        others = self.parts.board.get_others(BUSY)
        return self.busy + (others.leading if others is not None else 0)


async def exchange(fleet: Fleet, followed: dict[VmId, VmId]) -> dict[str, int]:
    async with anyio.create_task_group() as tasks:
        for vm, relay in followed.items():
            tasks.start_soon(fleet.nodes[vm].follow, relay)
        for node in fleet.nodes.values():
            tasks.start_soon(node.sharing.run)
        for _ in range(12):
            await anyio.sleep(REPORT_GAP_S / 3)
            for node in fleet.nodes.values():
                node.parts.view.confirm(time.monotonic())
        seen = {vm: node.count_seen() for vm, node in fleet.nodes.items()}
        tasks.cancel_scope.cancel()
    return seen


def make_fleet(*vms: VmId) -> Fleet:
    fleet = Fleet()
    for number, vm in enumerate(vms):
        Node(vm, fleet, 2**number)
    return fleet


async def test_follower_that_replaces_a_relay_passes_on_the_loads_of_its_followers() -> None:
    """A node that still reaches its relay gets the followers of a lost one; both sides saw only their own part."""
    assert list_relays(NODES) == [LOST, RELAY]
    fleet = make_fleet(RELAY, REPLACEMENT, FOLLOWER, OTHER)
    followed = {REPLACEMENT: RELAY, FOLLOWER: REPLACEMENT, OTHER: RELAY}
    assert set((await exchange(fleet, followed)).values()) == {15}
    assert {receiver for receiver, _ in fleet.reports} == set()  # no messages besides those to the lost relay


async def test_replacement_without_a_relay_exchanges_sums_with_the_relays() -> None:
    """A node that takes a relay's place asks the store, so it exchanges sums as the relay did."""
    fleet = make_fleet(RELAY, REPLACEMENT, FOLLOWER, OTHER)
    assert set((await exchange(fleet, {FOLLOWER: REPLACEMENT, OTHER: RELAY})).values()) == {15}


async def test_replacements_of_all_relays_exchange_sums_with_each_other() -> None:
    """With all relays lost, no relay tells one replacement about the other."""
    fleet = make_fleet(REPLACEMENT, SECOND, FOLLOWER, OTHER)
    assert set((await exchange(fleet, {FOLLOWER: REPLACEMENT, OTHER: SECOND})).values()) == {15}


async def test_nodes_without_followers_send_no_reports_to_relays() -> None:
    """Otherwise, when 390 nodes ask the store for a while, each of them sends as much as a relay."""
    fleet = make_fleet(RELAY, REPLACEMENT, OTHER)
    await exchange(fleet, {})
    assert fleet.reports == []


async def test_replacement_that_follows_a_relay_again_withdraws_its_sums() -> None:
    """The relays held them for 3 s more, and counted its former followers twice meanwhile."""
    fleet = make_fleet(LOST, RELAY, REPLACEMENT, FOLLOWER)
    replacement = fleet.nodes[REPLACEMENT].parts.board
    async with anyio.create_task_group() as tasks:
        for node in fleet.nodes.values():
            tasks.start_soon(node.sharing.run)
        replacement.record_follower(FOLLOWER, {BUSY: ServerLoad(8, 8 * RESERVED)})
        await anyio.sleep(1.5 * REPORT_GAP_S)
        assert all(REPLACEMENT in fleet.nodes[vm].parts.board.list_reporters() for vm in (LOST, RELAY))
        replacement.record_total({}, {})
        await anyio.sleep(1.5 * REPORT_GAP_S)
        assert not any(REPLACEMENT in fleet.nodes[vm].parts.board.list_reporters() for vm in (LOST, RELAY))
        tasks.cancel_scope.cancel()
