"""Documents that are nested too deeply, or contain numbers that are too large, are malformed for every reader."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
import pytest

from node.traffic.samples import make_crash_sharing, make_parts, make_sharing
from node.traffic.test_parsing import FixedCaller
from vaneturn_core.decoding import MalformedError
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import DataHall, NodeId, ServiceName, VmId
from vaneturn_core.traffic.admission.prioritized import DemandScope
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.blame.crashboard import CrashBoard
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.relays import RelayTimes
from vaneturn_core.traffic.servers import (
    BackendServer,
    LayerRange,
    ServerAddress,
    ServerId,
    ServerName,
    ServerState,
)
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Failed
from vaneturn_node.http1.link import AnswerHead, HttpLink, LinkError
from vaneturn_node.platform.configuration import decode_configuration
from vaneturn_node.platform.epochs import StoreState
from vaneturn_node.platform.servers import OrderOutcome, ServerCalls, ServerReport, decode_server
from vaneturn_node.platform.store import NotDone, PlatformStore, Rejection, UnusableWatch
from vaneturn_node.traffic.duties.crashrecords import CrashRecorder
from vaneturn_node.traffic.duties.records import decode_holder, decode_node
from vaneturn_node.traffic.duties.tenure import Tenure
from vaneturn_node.traffic.serving.attempts import AttemptLoan, Attempts
from vaneturn_node.traffic.serving.outcomes import OwnAnswer
from vaneturn_node.traffic.serving.peeranswer import PeerAnswer
from vaneturn_node.traffic.sharing.changeclient import ChangeClient, NoChanges
from vaneturn_node.traffic.sharing.changelog import Change, ChangeLog
from vaneturn_node.traffic.sharing.demandrows import DemandCodec
from vaneturn_node.traffic.sharing.demandsharing import DemandSharing
from vaneturn_node.traffic.sharing.difference import apply_difference, pack
from vaneturn_node.traffic.sharing.forwarding import AnswerKind, AnswerMarks, decode_forwarded
from vaneturn_node.traffic.sharing.longvalues import LongValueReader
from vaneturn_node.traffic.sharing.peerwords import decode_load_report

pytestmark = pytest.mark.anyio

DEPTH = 30_000
BIG = b"9" * 4000
NESTED = b"[" * DEPTH
CRASHES = b'{"vm":"a","check":1,"ends":[["s",0,"v",[[%b,1]],[[%b,[%b]]]]]}'
ODD = {
    "lists": NESTED,
    "lists in a field": b'{"unknown":' + NESTED,
    "objects": b'{"unknown":' * DEPTH,
    "MessagePack": b"\x91" * DEPTH,
    "MessagePack in a list": b"\xdc\x00\x40" + b"\x00" * 63 + b"\x91" * DEPTH,
    "MessagePack in a field": b"\x81\xa7unknown" + b"\x91" * DEPTH,
    "no text": b'{"unknown":"\xff\xfe"}',
    "infinite": b'{"pace":1e999,"written":1e999,"wait":1e999,"held":1e999,"timeout_ms":1e999}',
    "orders": b'{"seq":%b}' % BIG,
    "start": b'{"born":%b,"seq":1}' % BIG,
    "store": b'{"at":%b,"entries":[],"revision":%b,"lease":%b,"ttl_ms":%b}' % (BIG, BIG, BIG, BIG),
    "loads": b'{"vm":"a","loads":"","crashes":%b}' % BIG,
    "relay": b'{"revision":%b,"changes":[],"held":0,"confirmed_age":0,"failed_age":null,"returned_age":null}' % BIG,
    "negative relay": b'{"revision":-1,"changes":[],"held":0,"confirmed_age":0,"failed_age":null,"returned_age":null}',
    "checksum": b'{"vm":"a","check":%b,"ends":[]}' % BIG,
    "suspects": CRASHES % (BIG, b"1", b"1"),
    "contents": CRASHES % (b"1", BIG, b"1"),
    "parts": CRASHES % (b"1", b"1", BIG),
    "crash record": b'{"written":0,"crashes":[["s",0,"v",[[%b,1]],[]]]}' % BIG,
    "configuration": b'{"version":%b,"routes":[],"services":[]}' % BIG,
    "time of arrival": msgspec.msgpack.encode(
        {"vm": "a", "method": "GET", "target": "/", "headers": [], "body": b"", "elapsed": float("nan"), "version": 1}
    ),
}


def make_server() -> BackendServer:
    return BackendServer(
        id=ServerId("i-1"),
        name=ServerName("i-1"),
        service=ServiceName("llm"),
        address=ServerAddress("127.0.0.1:1"),
        hall=DataHall("east"),
        state=ServerState.READY,
        slots=1,
        kind=None,
        layers=(),
        version="",
        born=None,
    )


def make_view() -> PlatformView:
    view = PlatformView(5.0, time.monotonic)
    view.servers = {ServerId("i-1"): make_server()}
    return view


async def read_report(body: bytes) -> None:
    calls = ServerCalls(FixedCaller(200, body))
    report = await calls.read_report(make_server())
    assert isinstance(report, Failed | ServerReport)
    if isinstance(report, ServerReport):
        placed = await calls.place(make_server(), LayerRange(0, 1), 1, report.orders_begun)
        assert placed is OrderOutcome.TAKEN


async def read_entry(body: bytes) -> None:
    assert isinstance(decode_server(ServerName("i-1"), body), Fault)


async def read_configuration(body: bytes) -> None:
    assert isinstance(decode_configuration(body), Fault)


async def read_records(body: bytes) -> None:
    assert decode_node(body) is None
    assert decode_holder(body) is None


async def read_crash_record(body: bytes) -> None:
    store = PlatformStore(FixedCaller(200, b""), ServerAddress("store"))
    board = CrashBoard(time.monotonic, make_view().list_software)
    recorder = CrashRecorder(store, Tenure(store, NodeId("1"), VmId("entry-1"), lambda: None), board)
    recorder.note_record(body, StoreState(1))
    assert not board.list_evidence()


async def read_store(body: bytes) -> None:
    store = PlatformStore(FixedCaller(200, body), ServerAddress("store"))
    watched = await store.watch("", StoreState(1), 1.0)
    assert isinstance(watched, UnusableWatch)
    assert watched.rejection is Rejection.MALFORMED
    assert isinstance(await store.read_range(""), NotDone)
    await store.read_key("key")
    await store.write("key", b"value", StoreState(0))
    await store.grant_lease(1.0)
    await store.renew_lease(1)


async def take_crashes(body: bytes) -> None:
    sharing = make_crash_sharing("entry-1", make_view(), FixedCaller(200, b""))
    sharing.take(body)
    assert sharing.check == make_crash_sharing("entry-1", make_view(), FixedCaller(200, b"")).check


async def take_losses(body: bytes) -> None:
    make_sharing("entry-1", make_view(), ServerStatuses(), FixedCaller(200, b"")).take(body)


async def answer_permit(body: bytes) -> None:
    assert (
        make_parts("entry-1", make_view(), ServerStatuses(), FixedCaller(200, b"")).permits.answer_request(body) is None
    )


async def obtain_permit(body: bytes) -> None:
    view = make_view()
    view.nodes = {VmId("entry-2"): "127.0.0.1:1"}
    permits = make_parts("entry-1", view, ServerStatuses(), FixedCaller(200, body)).permits
    permits._limits.record_report(ServerId("i-1"), 1.0, time.monotonic(), time.monotonic())
    assert not await permits.obtain(ServerId("i-1"))


async def take_load_report(body: bytes) -> None:
    report = decode_load_report(body, [])
    assert report is None or report.crashes < 2**64


async def read_forwarded(body: bytes) -> None:
    assert decode_forwarded(body) is None


async def read_demand(body: bytes) -> None:
    assert isinstance(DemandCodec(DemandScope()).unpack(body[:20_000]), Fault)


async def read_difference(body: bytes) -> None:
    with pytest.raises(MalformedError):
        apply_difference(b"base", pack(body), b"")


async def read_long_value(body: bytes) -> None:
    caller, view = FixedCaller(200, body), make_view()
    store = PlatformStore(caller, ServerAddress("store"))
    reader = LongValueReader(vm=VmId("entry-1"), store=store, view=view, log=ChangeLog(), caller=caller)
    assert await reader.read(Change("op/config", 9, None, is_left_out=True), "relay") is None


async def ask_relay(body: bytes) -> None:
    view, beliefs, caller = make_view(), ServerStatuses(), FixedCaller(200, body)
    client = ChangeClient(
        caller=caller,
        times=RelayTimes.derive(2.0),
        vm=VmId("entry-1"),
        view=view,
        beliefs=beliefs,
        board=LoadBoard(time.monotonic),
        losses=make_sharing("entry-1", view, beliefs, caller),
        crashes=make_crash_sharing("entry-1", view, caller),
        permits=make_parts("entry-1", view, beliefs, caller).permits,
        demand=DemandSharing(make_parts("entry-1", view, beliefs, caller)),
    )
    assert isinstance(await client.ask("relay", StoreState(1)), NoChanges)


async def read_peer_answer(body: bytes) -> None:
    marks, loan = AnswerMarks(AnswerKind.NODE, 0, 1), AttemptLoan(Attempts(), max_attempts=1)
    link: Any = None  # its body was read
    answer = PeerAnswer(VmId("entry-2"), link, AnswerHead(503, []), marks, loan)
    assert isinstance(answer._decode_own(body), OwnAnswer)


READERS: list[Callable[[bytes], Awaitable[None]]] = [
    read_report, read_entry, read_configuration, read_records, read_crash_record, read_store, take_crashes, take_losses,
    answer_permit, obtain_permit, take_load_report, read_forwarded, read_demand, read_difference, read_long_value,
    ask_relay, read_peer_answer,
]  # fmt: skip


@pytest.mark.parametrize("body", [pytest.param(body, id=name) for name, body in ODD.items()])
@pytest.mark.parametrize("read", READERS)
async def test_odd_document_is_malformed(read: Callable[[bytes], Awaitable[None]], body: bytes) -> None:
    await read(body)


@pytest.mark.parametrize(
    "address", ["127.0.0.1:99999", "127.0.0.1:" + "9" * 5000, "127.0.0.1:-1", "127.0.0.1:x", "", "a" * 300 + ":1"]
)
async def test_address_that_is_none_cannot_be_connected_to(address: str) -> None:
    with anyio.fail_after(5), pytest.raises(LinkError):
        await HttpLink.open(address, 1.0)
