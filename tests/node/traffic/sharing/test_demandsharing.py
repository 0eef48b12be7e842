"""Demand in the messages between nodes: passed on by relays, refused when invalid, absent where it is not needed."""

from __future__ import annotations

import logging
import math
import time

import anyio
import msgspec
import pytest
from msgspec import UNSET, Struct

from core.traffic.admission.samples import LLM, make_configuration, make_customer, make_key, make_route
from node.traffic.samples import Answer, make_parts
from node.traffic.sharing.samples import BUSY, RESERVED, Relay, Transport, make_client
from vaneturn_core.identifiers import CustomerName, VmId
from vaneturn_core.traffic.admission.demand import Demand, DemandRows, ServiceDemand
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.configuration import TrafficConfiguration
from vaneturn_core.traffic.loads import MAX_SUM_AGE_S
from vaneturn_core.traffic.servers import ServerLoad
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.platform.epochs import StoreState
from vaneturn_node.platform.store import StoreItem
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.permits import LimitRow
from vaneturn_node.traffic.sharing import demandsharing
from vaneturn_node.traffic.sharing.changeclient import RelayedChanges
from vaneturn_node.traffic.sharing.changelog import Change
from vaneturn_node.traffic.sharing.changeserver import CHANGES_PATH, LOADS_PATH
from vaneturn_node.traffic.sharing.demandrows import DemandCodec
from vaneturn_node.traffic.sharing.demandsharing import DemandSharing
from vaneturn_node.traffic.sharing.peerwords import LoadReport, RelayAnswer
from vaneturn_node.traffic.sharing.serverrows import pack_loads

pytestmark = pytest.mark.anyio

PRIORITIZED = make_configuration([make_route("a", 0), make_route("b", 2)])
PLAIN = make_configuration([make_route("a", 1), make_route("b", 1)], version=2)


class OldReport(Struct):
    """The report of a build without shared demand."""

    vm: VmId
    loads: bytes
    crashes: int = 0
    limits: list[LimitRow] = []


class OldAnswer(Struct):
    """The answer of a relay of a build without shared demand."""

    revision: int
    changes: list[Change]
    held: float
    confirmed_age: float | None
    failed_age: float | None
    returned_age: float | None
    loads: bytes = b""
    losses: bytes = b""
    limits: list[LimitRow] = []


class Tapping(Transport):
    """Keeps the bodies of requests and answers."""

    def __init__(self, relay: Relay) -> None:
        super().__init__(relay.server)
        self.bodies: list[bytes] = []

    async def call(self, address: str, method: str, target: str, limit: float, **sent: object) -> Reply | Failed:
        reply = await super().call(address, method, target, limit, **sent)
        assert isinstance(reply, Reply)
        self.bodies += [sent["body"], reply.body]  # type: ignore[list-item]
        return reply


class FixedRelay(Caller):
    """Gives the same answer to every call."""

    def __init__(self, answer: Struct) -> None:
        super().__init__(LinkPool())
        self._body = msgspec.json.encode(answer)

    async def call(self, address: str, *_: object, **__: object) -> Reply | Failed:
        assert address
        return Reply(200, self._body)


def make_node(name: str, busy: int, configuration: TrafficConfiguration = PRIORITIZED) -> TrafficParts:
    """Make the parts of a node with requests in progress."""
    parts = make_parts(name, PlatformView(5.0, time.monotonic), ServerStatuses(), Caller(LinkPool()))
    parts.restrict_demand(configuration)
    for _ in range(busy):
        parts.demand.record_arrival(make_key(), CustomerName("agency"))
        parts.demand.record_admitted(make_key())
    return parts


def make_relay(busy: int, configuration: TrafficConfiguration = PRIORITIZED) -> Relay:
    relay = Relay()
    relay.parts.restrict_demand(configuration)
    for _ in range(busy):
        relay.parts.demand.record_admitted(make_key())
    return relay


async def ask(node: TrafficParts, caller: Caller) -> None:
    client, _ = make_client(caller, node.vm, parts=node)
    await client.ask("relay", StoreState(5))


def note_change(relay: Relay) -> None:
    """Let the relay hear of a change, so that it answers at once."""
    revision = relay.log.revision + 1
    relay.hear(StoreItem("servers/i-1", b"entry", StoreState(revision)), revision=revision)


async def ask_after_news(node: TrafficParts, relay: Relay, caller: Caller | None = None) -> None:
    await anyio.sleep(MAX_SUM_AGE_S)  # answers at about the same time share one sum
    note_change(relay)
    await ask(node, caller or Transport(relay.server))


def read(node: TrafficParts, nodes: int) -> ServiceDemand:
    return node.demand_board.read(LLM, node.demand.list_rows(), nodes)


async def test_demand_of_all_nodes_reaches_a_follower_over_two_relays() -> None:
    relay, other = make_relay(1), make_relay(2)
    first, second, third = make_node("entry-2", 4), make_node("entry-3", 8), make_node("entry-4", 16)
    await ask_after_news(third, other)
    client, _ = make_client(Transport(relay.server), "entry-9", parts=other.parts)
    await client.report_loads("relay", {BUSY: ServerLoad(7, 7 * RESERVED)}, DemandSharing(other.parts).pack_followers())
    await ask_after_news(first, relay)
    await ask_after_news(second, relay)
    demand = read(second, 5)
    assert demand.by_priority[0].in_progress == 1 + 2 + 4 + 8 + 16
    assert demand.customers[CustomerName("agency")] == pytest.approx((4 + 8 + 16) / 2.1, rel=0.1)
    assert demand.age < 1.0
    assert relay.board.get_others(BUSY) == ServerLoad(7, 7 * RESERVED)


async def test_messages_are_unchanged_without_prioritized_services() -> None:
    """All other deployments must pay nothing for shared demand."""
    relay, node = make_relay(1, PLAIN), make_node("entry-2", 4, PLAIN)
    tap = Tapping(relay)
    await ask_after_news(node, relay, tap)
    report, answer = tap.bodies
    assert report == msgspec.json.encode(msgspec.json.decode(report, type=OldReport))
    assert answer == msgspec.json.encode(msgspec.json.decode(answer, type=OldAnswer))
    assert b"demand" not in report + answer


async def test_build_without_shared_demand_understands_the_messages() -> None:
    relay, node = make_relay(1), make_node("entry-2", 4)
    tap = Tapping(relay)
    await ask_after_news(node, relay, tap)
    report, answer = tap.bodies
    assert msgspec.json.decode(report, type=OldReport).vm == "entry-2"
    assert msgspec.json.decode(answer, type=OldAnswer).revision == 6


async def test_older_follower_is_counted_as_the_mean_of_the_others() -> None:
    relay = make_relay(6)
    body = msgspec.json.encode(OldReport(VmId("entry-7"), b""))
    await send(relay, CHANGES_PATH, body)
    node = make_node("entry-2", 6)
    await ask_after_news(node, relay)
    assert read(node, 3).by_priority[0].in_progress == 18


async def test_older_relay_leaves_the_own_figures_times_the_nodes() -> None:
    node = make_node("entry-2", 4)
    await ask(node, FixedRelay(OldAnswer(6, [], 0.0, 0.0, None, None)))
    demand = read(node, 10)
    assert demand.by_priority[0].in_progress == 40
    assert demand.age == math.inf


async def send(relay: Relay, path: str, body: bytes) -> int:
    answer = Answer()
    target = f"{path}?since=5" if path == CHANGES_PATH else path
    note_change(relay)
    await relay.server.answer(ClientRequest("POST", target, path, [], body, time.monotonic()), answer)
    return answer.status


@pytest.mark.parametrize("path", [CHANGES_PATH, LOADS_PATH])
async def test_invalid_report_leaves_the_earlier_figures(
    path: str, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One broken node must neither change the sums nor fill the log, and its loads still count."""
    relay, codec = make_relay(1), DemandCodec(make_node("entry-2", 0).demand_scope)
    valid = codec.pack(DemandRows({make_key(): Demand(1.0, 5, 0, 0.0)}, {make_customer("agency"): 1.0}, 1))
    invalid = msgspec.msgpack.encode([1, [], [], [[0, 0, 0, math.nan, -1, 0, 0]], []])
    loads = pack_loads({BUSY: ServerLoad(3, RESERVED)})
    with caplog.at_level(logging.WARNING):
        for sender, demand in [("entry-2", valid), *[("entry-2", invalid)] * 5, ("entry-3", invalid)]:
            report = LoadReport(VmId(sender), loads, demand=demand)
            assert await send(relay, path, msgspec.json.encode(report)) == 200
    assert read(relay.parts, 2).by_priority[0].in_progress == 6
    assert relay.board.get_others(BUSY) == ServerLoad(6, 2 * RESERVED)
    lines = [record for record in caplog.records if "demand" in record.message]
    assert [record.__dict__["sender"] for record in lines] == ["entry-2", "entry-3"]
    monkeypatch.setattr(demandsharing, "FAULT_LOG_GAP_S", 0.0)
    await send(relay, path, msgspec.json.encode(LoadReport(VmId("entry-3"), loads, demand=invalid)))
    assert len([record for record in caplog.records if "demand" in record.message]) == 3
    assert len(relay.server._demand._logged_at) == 1


async def test_invalid_total_leaves_the_earlier_one_and_the_relay() -> None:
    node, relay = make_node("entry-2", 1), make_relay(9)
    await ask_after_news(node, relay)
    invalid = RelayAnswer(9, [], 0.0, 0.0, None, None, demand=b"invalid")
    client, _ = make_client(FixedRelay(invalid), parts=node)
    assert isinstance(await client.ask("relay", StoreState(5)), RelayedChanges)
    assert read(node, 2).by_priority[0].in_progress == 10


async def test_new_configuration_takes_demand_out_of_the_messages() -> None:
    """Nothing about services, customers and priorities that are gone may be sent or summed after the change."""
    relay, node = make_relay(1), make_node("entry-2", 4)
    await ask_after_news(node, relay)
    sharing = DemandSharing(relay.parts)
    assert sharing.pack_all() is not UNSET
    customers = make_configuration([make_route("a", 0), make_route("b", 2)], customers=["another"], version=2)
    relay.parts.restrict_demand(customers)
    rows = DemandCodec(relay.parts.demand_scope).unpack(sharing.pack_all() or b"")
    assert isinstance(rows, DemandRows)
    assert rows.demand.keys() == {make_key()}
    assert rows.customers == {}
    relay.parts.restrict_demand(PLAIN)
    assert (sharing.pack_all(), sharing.pack_followers()) == (UNSET, UNSET)
    assert read(relay.parts, 2).by_priority == {}
    await ask_after_news(node, relay)  # a node that has not got the change yet
    assert read(relay.parts, 2).by_priority == {}


async def test_sum_that_holds_more_nodes_than_are_listed_is_logged_with_its_senders(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A node that is counted twice looks like demand; the log tells which report holds it."""
    relay = make_relay(1)
    relay.view.nodes = dict.fromkeys(map(VmId, ("entry-1", "entry-2", "entry-3")), None)
    rows = DemandRows({make_key(): Demand(1.0, 1, 0, 0.0)}, {}, 2)
    relay.parts.demand_board.record_relay(VmId("entry-3"), rows)
    sharing = DemandSharing(relay.parts)
    with caplog.at_level(logging.WARNING):
        sharing.pack_all()
        assert sharing.reported_nodes == 3
        assert not caplog.records
        relay.parts.demand_board.record_follower(VmId("entry-2"), rows)
        await anyio.sleep(MAX_SUM_AGE_S)
        sharing.pack_all()
    assert sharing.reported_nodes == 5
    (line,) = caplog.records
    assert (line.__dict__["reported"], line.__dict__["listed"]) == (5, 3)
    assert line.__dict__["senders"] == {"entry-2": 2, "entry-3": 2}
