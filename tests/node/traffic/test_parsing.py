"""Any bytes from clients, servers, the store or other nodes are either decoded or reported as malformed."""

from __future__ import annotations

import json
import time
from typing import Any

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from node.traffic.samples import make_crash_sharing, make_parts, make_sharing
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.configuration import TrafficConfiguration
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.relays import RelayTimes
from vaneturn_core.traffic.servers import BackendServer, ServerAddress, ServerName
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.configuration import decode_configuration
from vaneturn_node.platform.epochs import StoreState
from vaneturn_node.platform.headers import (
    MAX_PROMPT_PARTS,
    AnswerFacts,
    RequestFacts,
    read_answer_facts,
    read_request_facts,
)
from vaneturn_node.platform.servers import decode_server
from vaneturn_node.platform.store import (
    HistoryGone,
    NotDone,
    PlatformStore,
    Rejection,
    StoreItem,
    StorePage,
    UnusableWatch,
)
from vaneturn_node.traffic.duties.records import decode_holder, decode_node
from vaneturn_node.traffic.sharing.changeclient import ChangeClient, NoChanges, RelayedChanges
from vaneturn_node.traffic.sharing.changelog import Change, ChangeLog
from vaneturn_node.traffic.sharing.demandsharing import DemandSharing
from vaneturn_node.traffic.sharing.longvalues import LongValueReader, PackedValue

NAMES = [
    "service", "addr", "zone", "state", "slots", "route_type", "layers", "from", "target_version", "version", "routes",
    "services", "limits", "tenants", "engine", "models", "kinds", "entries", "events", "at", "key", "value", "revision",
    "gone", "host", "path_prefix", "changes", "held", "confirmed_age", "limits", "server", "rate", "age", "wait",
]  # fmt: skip
SCALARS = st.none() | st.booleans() | st.integers(-5, 10**9) | st.floats(allow_nan=False) | st.text(max_size=8)
DOCUMENTS = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.sampled_from(NAMES), inner, max_size=8),
    max_leaves=25,
).map(lambda value: json.dumps(value).encode())
BYTES = st.binary(max_size=200) | DOCUMENTS
HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                b"x-request-id",
                b"x-deadline-ms",
                b"authorization",
                b"x-token-usage",
                b"x-prompt-prefix",
                b"host",
                b"at-server",
                b"x-instance-load",
                b"x-not-executed",
                b"x-response-seal",
                b"last-event-id",
                b"connection",
                b"server-limit",
                b"server-leaving",
                b"retry-after",
            ]
        ),
        st.binary(max_size=40),
    ),
    max_size=8,
)


class FixedCaller(Caller):
    """Gives the same response to every call."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(LinkPool())
        self._reply = Reply(status, body)

    async def call(self, *_: Any, **__: Any) -> Reply | Failed:
        return self._reply


@given(HEADERS)
def test_headers_of_requests(headers: list[tuple[bytes, bytes]]) -> None:
    assert isinstance(read_request_facts(headers), RequestFacts)


MALFORMED_PARTS = [
    b"", b",", b"5c:1,,e4:2", b"5c,e4:2", b"5c:1,zz:2", b"5c:-1,e4:2", b"0x5c:1,e4:2", b"5c:1;e4:2",
]  # fmt: skip


@pytest.mark.parametrize(
    ("listed", "shared"),
    [
        pytest.param([b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"], (0x5C1E07A2, 0x91BD3F06), id="parts"),
        pytest.param([b"5C1E07a2:800 ,\t0091bd3f06:1", b"e4402b7d:250"], (0x5C1E07A2, 0x91BD3F06), id="spaces, lines"),
        pytest.param([b"e4402b7d:250"], (), id="own part only"),
        pytest.param([b",".join([b"a:1"] * 40)], (10,) * MAX_PROMPT_PARTS, id="many"),
        *(pytest.param([value], (), id=f"malformed {value!r}") for value in MALFORMED_PARTS),
    ],
)
def test_parts_of_a_prompt_but_the_last(listed: list[bytes], shared: tuple[int, ...]) -> None:
    assert read_request_facts([(b"x-prompt-prefix", value) for value in listed]).shared_parts == shared


def test_long_ids_of_parts_differ_and_fit_64_bits() -> None:
    first, second = (read_request_facts([(b"x-prompt-prefix", b"%s:1,e:1" % (digit * 40))]) for digit in (b"a", b"b"))
    assert first.shared_parts != second.shared_parts
    assert all(part < 2**64 for facts in (first, second) for part in facts.shared_parts)


@given(st.integers(200, 599), HEADERS)
def test_headers_of_responses(status: int, headers: list[tuple[bytes, bytes]]) -> None:
    assert isinstance(read_answer_facts(status, headers), AnswerFacts)


@given(BYTES)
def test_entries_of_servers(data: bytes) -> None:
    assert isinstance(decode_server(ServerName("i-1"), data), BackendServer | Fault)


@given(BYTES)
def test_configurations(data: bytes) -> None:
    assert isinstance(decode_configuration(data), TrafficConfiguration | Fault)


@given(BYTES)
def test_records_of_nodes(data: bytes) -> None:
    decode_node(data)
    decode_holder(data)


@given(st.sampled_from([200, 404, 410, 429, 500, 503]), BYTES)
@settings(max_examples=60)
def test_responses_of_the_store(status: int, body: bytes) -> None:
    async def call() -> None:
        store = PlatformStore(FixedCaller(status, body), ServerAddress("store"))
        watched = await store.watch("", StoreState(1), 1.0)
        assert isinstance(watched, StorePage | HistoryGone | NotDone | UnusableWatch)
        assert status < 500 or isinstance(watched, NotDone)
        assert isinstance(await store.read_range(""), StorePage | NotDone)
        await store.read_key("key")
        await store.write("key", b"value", StoreState(0))
        await store.grant_lease(1.0)
        await store.renew_lease(1)

    anyio.run(call)


@given(st.sampled_from([200, 410, 503]), BYTES)
@settings(max_examples=60)
def test_responses_of_relays(status: int, body: bytes) -> None:
    async def ask() -> None:
        view, beliefs, caller = PlatformView(5.0, time.monotonic), ServerStatuses(), FixedCaller(status, body)
        losses = make_sharing("entry-1", view, beliefs, caller)
        client = ChangeClient(
            caller=caller,
            times=RelayTimes.derive(2.0),
            vm=VmId("entry-1"),
            view=view,
            beliefs=beliefs,
            board=LoadBoard(time.monotonic),
            losses=losses,
            crashes=make_crash_sharing("entry-1", view, caller),
            permits=make_parts("entry-1", view, beliefs, caller).permits,
            demand=DemandSharing(make_parts("entry-1", view, beliefs, caller)),
        )
        losses.take(body)
        assert isinstance(await client.ask("relay", StoreState(1)), RelayedChanges | NoChanges)

    anyio.run(ask)


@given(
    st.sampled_from([200, 404, 503]), BYTES | BYTES.map(lambda packed: msgspec.msgpack.encode(PackedValue(9, packed)))
)
@settings(max_examples=60)
def test_long_values_of_relays(status: int, body: bytes) -> None:
    async def read() -> None:
        caller, log = FixedCaller(status, body), ChangeLog()
        log.replace([StoreItem("op/config", b"x" * 20_000, StoreState(3))], StoreState(3))
        store, view = PlatformStore(caller, ServerAddress("store")), PlatformView(5.0, time.monotonic)
        reader = LongValueReader(vm=VmId("entry-1"), store=store, view=view, log=log, caller=caller)
        change = Change("op/config", 9, None, is_left_out=True, base=3, difference=body, digest=b"12345678")
        assert isinstance(await reader.read(change, "relay"), StoreItem | None)

    anyio.run(read)


@pytest.mark.parametrize("value", ["###", "YQ", "a\u00e9"])
def test_store_value_that_is_not_base64_is_rejected(value: str) -> None:
    """Such a value must not raise: the error would end the task that follows the store, and with it the process."""
    body = json.dumps({"at": 3, "events": [{"key": "op/config", "revision": 2, "value": value}]}).encode()

    async def call() -> None:
        page = await PlatformStore(FixedCaller(200, body), ServerAddress("store")).watch("", StoreState(1), 1.0)
        assert isinstance(page, UnusableWatch)
        assert page.rejection is Rejection.MALFORMED

    anyio.run(call)
