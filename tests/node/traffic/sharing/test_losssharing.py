"""A loss that two nodes have found reaches the other nodes at once over the relays."""

from __future__ import annotations

import gc
import time

import anyio
import msgspec
import pytest

from core.traffic.samples import make_server
from node.traffic.samples import make_parts
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import FIRST_BACKOFF_S, ServerStatuses
from vaneturn_core.traffic.losses import Finding
from vaneturn_core.traffic.relays import list_relays, rank_relays
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.traffic.sharing.changelog import ChangeLog
from vaneturn_node.traffic.sharing.losssharing import GATHER_TIME_S, LOSSES_PATH, LossReport, LossSharing
from vaneturn_node.traffic.sharing.serverrows import pack_findings

pytestmark = pytest.mark.anyio

LOST = ServerId("i-1")
NODES = [VmId(f"entry-{number}") for number in range(60)]


class Fleet(Caller):
    """Delivers messages between nodes in this process; the address of a node is its name."""

    def __init__(self) -> None:
        super().__init__(LinkPool())
        self.nodes: dict[str, Node] = {}
        self.words = 0

    async def call(self, address: str, method: str, target: str, limit: float, **sent: object) -> Reply | Failed:
        assert (method, target) == ("POST", LOSSES_PATH)
        assert limit > 0
        self.words += 1
        self.nodes[address].sharing.take(sent["body"])  # type: ignore[arg-type]
        return Reply(200, b"")


class Node:
    def __init__(self, vm: VmId, fleet: Fleet) -> None:
        self.view = PlatformView(5.0, time.monotonic)
        self.view.put_server(make_server(1, "a100"))
        self.view.nodes = {node: str(node) for node in NODES}
        self.beliefs = ServerStatuses()
        self.parts = make_parts(vm, self.view, self.beliefs, fleet)
        self.sharing = LossSharing(vm, self.parts, fleet, ChangeLog())
        fleet.nodes[vm] = self

    def is_resting(self) -> bool:
        return self.beliefs[LOST].backoff_until > time.monotonic()


async def lose_at(fleet: Fleet, finders: list[VmId]) -> None:
    gc.collect()  # a full collection of what other tests left takes 0.09 s, longer than the wait below
    async with anyio.create_task_group() as tasks:
        for node in list(fleet.nodes.values()):
            tasks.start_soon(node.sharing.run)
        for vm in finders:
            fleet.nodes[vm].parts.record_loss(LOST)
        await anyio.sleep(4 * GATHER_TIME_S)
        tasks.cancel_scope.cancel()


def list_followers(relay: VmId) -> list[VmId]:
    return [vm for vm in NODES if rank_relays(vm, NODES)[:1] == [relay]]


async def test_loss_found_behind_two_relays_is_known_to_all_relays() -> None:
    fleet = Fleet()
    one, other = list_relays(NODES)
    for vm in (one, other, *list_followers(one)[:1], *list_followers(other)[:1]):
        Node(vm, fleet)
    await lose_at(fleet, [list_followers(one)[0], list_followers(other)[0]])
    assert fleet.nodes[one].is_resting()
    assert fleet.nodes[other].is_resting()
    assert fleet.nodes[one].sharing.version > 0


async def test_node_that_alone_cannot_reach_a_server_is_not_believed() -> None:
    fleet = Fleet()
    one, other = list_relays(NODES)
    for vm in (one, other, *list_followers(one)[:1]):
        Node(vm, fleet)
    await lose_at(fleet, [list_followers(one)[0]])
    assert not fleet.nodes[one].is_resting()
    assert not fleet.nodes[other].is_resting()


async def test_relay_tells_its_followers_what_is_confirmed() -> None:
    fleet = Fleet()
    relay, follower = Node(NODES[0], fleet), Node(NODES[1], fleet)
    now = time.monotonic()
    for vm in ("entry-7", "entry-8"):
        body = msgspec.json.encode(LossReport(VmId(vm), pack_findings({LOST: Finding(now + 1.4)}, now)))
        relay.sharing.take(body)
    follower.sharing.take_confirmed(relay.sharing.pack_confirmed(time.monotonic()), "relay")
    assert follower.is_resting()
    assert follower.beliefs.list_failed(now) == {}


async def test_one_silence_seen_by_many_requests_is_one_failure() -> None:
    """Each stream on a server checks for itself; five must not turn one silence of 0.1 s into 8 s of backoff."""
    node = Node(NODES[0], Fleet())
    for _ in range(5):
        node.parts.record_loss(LOST)
    assert node.beliefs[LOST].backoff_until <= time.monotonic() + FIRST_BACKOFF_S


async def test_server_that_has_worked_since_it_was_found_lost_gets_work_again() -> None:
    node = Node(NODES[0], Fleet())
    servers = [make_server(number, "a100") for number in range(1, 5)]
    for _ in range(3):
        node.parts.record_loss(LOST)
        await anyio.sleep(0.01)
    node.beliefs[LOST].record_token(time.monotonic())
    assert servers[0] in node.beliefs.list_eligible(servers, [], time.monotonic())


async def test_node_that_hears_of_a_server_again_takes_its_word_back() -> None:
    """Reports of two nodes that briefly received nothing must not keep others off a healthy server for up to 8 s."""
    fleet = Fleet()
    one, other = list_relays(NODES)
    finders = [list_followers(one)[0], list_followers(other)[0]]
    for vm in (one, other, *finders):
        Node(vm, fleet)
    await lose_at(fleet, finders)
    assert fleet.nodes[one].is_resting()
    for vm in finders:
        fleet.nodes[vm].beliefs[LOST].record_token(time.monotonic())
        fleet.nodes[vm].parts.loss_found.notify()
    await lose_at(fleet, [])
    confirmed = [node.parts.losses.list_confirmed({}) for node in fleet.nodes.values()]
    assert not any(confirmed)
    assert not fleet.nodes[one].is_resting()


def move_to_other_relay(fleet: Fleet, finder: VmId, lost: VmId) -> VmId:
    """Take a relay off the list of all nodes, and return the one that the finder reports to then."""
    for node in fleet.nodes.values():
        del node.view.nodes[lost]
    return rank_relays(finder, fleet.nodes[finder].view.nodes)[0]


async def test_node_whose_relay_has_gone_is_one_finder_at_the_next_one() -> None:
    """The next relay also held its finding in the last report of the old one, and took a healthy server for lost."""
    fleet = Fleet()
    lost, other = list_relays(NODES)
    finder = next(vm for vm in list_followers(lost) if rank_relays(vm, set(NODES) - {lost})[0] == other)
    for vm in {lost, finder, *list_relays(set(NODES) - {lost})}:
        Node(vm, fleet)
    await lose_at(fleet, [finder])
    assert move_to_other_relay(fleet, finder, lost) == other
    await lose_at(fleet, [finder])
    assert fleet.nodes[other].parts.losses.list_confirmed({}) == {}
    assert not fleet.nodes[other].is_resting()


async def test_follower_that_becomes_a_relay_is_one_finder() -> None:
    fleet = Fleet()
    first, second = list_relays(NODES)
    follower = list_followers(first)[0]
    relay, _, _ = (Node(vm, fleet) for vm in (first, second, follower))
    await lose_at(fleet, [follower])
    for node in fleet.nodes.values():
        node.view.nodes = {vm: str(vm) for vm in (first, follower)}
    await lose_at(fleet, [follower])
    assert follower in relay.parts.losses._relays
    assert relay.parts.losses.list_confirmed({}) == {}
