"""Entries of the list come from servers, which may restart under the same name, and from other writers.

An entry with -3 slots, the address "not an addr", layers from -5 or up to 10^9, or of a service that is not configured
must not be used as a server. An entry that becomes unreadable must not leave its server listed, and a restarted server
must not inherit the known state of its previous start.
"""

from __future__ import annotations

import json
import logging
import time
from typing import Any

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from core.traffic.samples import make_server
from node.traffic.samples import make_parts
from standins.platform.operator import make_configuration
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import NodeId, VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.blame.contents import Content, Fingerprint
from vaneturn_core.traffic.blame.crashes import LostRequest, Suspicion
from vaneturn_core.traffic.servers import BackendServer, ServerName, identify_start
from vaneturn_core.traffic.view import PlatformView, StoreContact
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.epochs import StoreState
from vaneturn_node.platform.servers import MAX_ENTRY_BYTES, ServerCalls, ServerReport, decode_server
from vaneturn_node.platform.store import PlatformStore, StoreItem
from vaneturn_node.traffic.duties.crashrecords import CrashRecorder
from vaneturn_node.traffic.duties.registration import Registration
from vaneturn_node.traffic.duties.tenure import Tenure
from vaneturn_node.traffic.following.viewkeeping import ViewKeeper

SOUND = {
    "service": "llm", "addr": "10.1.64.9:8080", "zone": "east", "version": "v1", "slots": 8, "state": "ready",
    "cold_left_ms": 0, "seq": 4, "route_type": "big", "layers": [{"from": 0, "target_version": 4, "version": 1}],
    "born": 1_790_000_000_000,
}  # fmt: skip
WRONG = [
    ("service", 5), ("service", ""), ("service", None), ("service", "x" * 201), ("addr", ""), ("addr", "not an addr"),
    ("addr", "10.1.64.9:999999"), ("addr", "10.1.64.9:0"), ("addr", "10.1.64.9"), ("addr", "host.example:80"),
    ("addr", "10.1.64.9:\uff18"), ("slots", -3), ("slots", 0), ("slots", 10**30), ("slots", "8"), ("slots", 1.5),
    ("state", "unknown"), ("state", None), ("zone", ""), ("zone", "z" * 201), ("zone", 3), ("version", []),
    ("born", "1790000000000"), ("born", 1.5), ("born", True), ("born", 0), ("born", -1), ("born", None),
    ("born", 10**30), ("layers", "all"), ("layers", [{"from": -5, "target_version": 4}]),
    ("layers", [{"from": 0, "target_version": 10**9}]), ("layers", [{"from": 6, "target_version": 2}]),
    ("layers", [{"from": "0", "target_version": 2}]), ("route_type", 4),
]  # fmt: skip
MISFITS = [("service", "unnamed"), ("route_type", "unknown"), ("layers", [{"from": 0, "target_version": 9}])]


class Node:
    """A node whose view is updated by items."""

    def __init__(self) -> None:
        caller = Caller(LinkPool())
        self.view = PlatformView(5.0, time.monotonic)
        self.beliefs = ServerStatuses()
        self.parts = make_parts("entry-1", self.view, self.beliefs, caller)
        store = PlatformStore(caller, make_server(1, None).address)
        tenure = Tenure(store, NodeId("n"), VmId("entry-1"), lambda: None)
        registration = Registration(store, VmId("entry-1"), "127.0.0.1:1")
        self.keeper = ViewKeeper(tenure, registration, CrashRecorder(store, tenure, self.parts.crashes), self.parts)
        self.revision = 0
        self.configure()

    def configure(self, version: int = 1, **changes: Any) -> None:
        self.put("op/config", make_configuration(version, **changes))

    def put(self, key: str, value: object | None, **changes: object) -> None:
        self.revision += 1
        document = {**value, **changes} if isinstance(value, dict) else value
        data = document if isinstance(document, bytes | None) else json.dumps(document).encode()
        self.keeper.apply(StoreItem(key, data, StoreState(self.revision)))

    def list_names(self) -> list[str]:
        return sorted(server.name for server in self.view.list_servers(make_server(1, None).service))


def encode(**changes: object) -> bytes:
    return json.dumps({**SOUND, **changes}).encode()


def test_sound_entry_is_a_server() -> None:
    server = decode_server(ServerName("i-1"), encode())
    assert isinstance(server, BackendServer)
    assert (server.id, server.name, server.version) == ("i-1@1790000000000", "i-1", "v1")


@pytest.mark.parametrize(("field", "value"), WRONG)
def test_wrong_entry_is_no_server_and_names_the_field(field: str, value: object) -> None:
    fault = decode_server(ServerName("i-1"), encode(**{field: value}))
    assert isinstance(fault, Fault)
    assert fault.path.startswith(f"$.{field}")


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"[]", b"null", b"{", b"[" * 100_000, b" " * (MAX_ENTRY_BYTES + 1)]
)
def test_bytes_that_are_no_entry_are_no_server(value: bytes) -> None:
    assert isinstance(decode_server(ServerName("i-1"), value), Fault)


@pytest.mark.parametrize(("field", "value"), [*WRONG, *MISFITS])
def test_entry_that_turns_wrong_is_removed_at_once_and_the_others_hold(
    field: str, value: object, caplog: pytest.LogCaptureFixture
) -> None:
    node = Node()
    node.put("servers/i-1", SOUND)
    node.put("servers/i-2", SOUND, addr="10.1.64.10:8080")
    node.view.contact = StoreContact(time.monotonic(), time.monotonic(), float("-inf"))  # no lapse in an outage
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            node.put("servers/i-1", SOUND, **{field: value})
    assert node.list_names() == ["i-2"]
    assert [record.message for record in caplog.records] == ["server entry not used"]
    assert {"route_type": "kind"}.get(field, field) in caplog.records[0].__dict__["fault"].replace("route_type", "kind")
    node.put("servers/i-1", SOUND)
    assert node.list_names() == ["i-1", "i-2"]


@pytest.mark.parametrize(("field", "value"), MISFITS)
def test_entry_waits_for_a_configuration_that_names_it(field: str, value: object) -> None:
    node = Node()
    node.put("servers/i-1", SOUND, **{field: value})
    assert not node.view.servers
    larger = json.loads(json.dumps(make_configuration(2, layers=12)))
    larger["services"][0]["engine"]["kinds"].append({"name": "unknown", "mb": 10000.0})
    larger["services"].append({"name": "unnamed"})
    node.put("op/config", larger)
    assert [server.name for server in node.view.servers.values()] == ["i-1"]
    node.configure(3)
    assert not node.view.servers
    node.put("op/config", {**larger, "version": 4})
    assert [server.name for server in node.view.servers.values()] == ["i-1"]


def test_entry_without_its_birth_is_no_server_where_the_others_tell_it() -> None:
    node = Node()
    foreign = {field: value for field, value in SOUND.items() if field != "born"}
    node.put("servers/i-1", foreign)
    assert node.list_names() == ["i-1"]  # on a platform whose entries do not state the birth
    node = Node()
    for number in (1, 2, 3):
        node.put(f"servers/i-{number}", SOUND)
    node.put("servers/i-4", foreign)
    node.put("servers/i-2", foreign)
    assert node.list_names() == ["i-1", "i-3"]


def test_new_start_has_nothing_of_the_one_before() -> None:
    node = Node()
    node.put("servers/i-1", SOUND)
    first = node.view.servers[identify_start(ServerName("i-1"), 1_790_000_000_000)]
    belief = node.beliefs[first.id]
    belief.record_failure(time.monotonic())
    belief.is_replaced, belief.leading, belief.reserved = True, 4, 900.0
    node.parts.crashes.record_lost_connection(
        first.id, first.software, LostRequest(Fingerprint(Content(1)), Suspicion.UNHEARD)
    )
    node.put("servers/i-1", SOUND, born=1_790_000_009_000, layers=None)
    node.keeper.forget_lapsed()
    (second,) = node.view.servers.values()
    assert (second.name, second.layers) == ("i-1", ())
    fresh = node.beliefs[second.id]
    assert (fresh.backoff_until, fresh.is_replaced, fresh.leading, fresh.reserved) == (float("-inf"), False, 0, 0.0)
    assert list(node.parts.crashes.list_crashes()) == [first.id]  # the previous start has crashed
    assert node.parts.crashes.list_suspects(first.id) == [Fingerprint(Content(1))]
    assert list(node.parts.list_eligible(second.service, [])) == [second]


def test_word_of_an_older_start_changes_nothing() -> None:
    node = Node()
    node.put("servers/i-1", SOUND, born=2000, layers=None)
    node.put("servers/i-1", SOUND, born=1000)
    (server,) = node.view.servers.values()
    assert (server.born, server.layers) == (2000, ())
    items = [StoreItem("servers/i-1", encode(born=1000), StoreState(9))]
    node.keeper.replace_all({item.key: item for item in items}, StoreState(9))
    assert [one.born for one in node.view.servers.values()] == [2000]


class Reports(Caller):
    """Answers every request with the same body."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(LinkPool())
        self._reply = Reply(status, body)

    async def call(self, *_: Any, **__: Any) -> Reply | Failed:
        return self._reply


@pytest.mark.parametrize(
    ("status", "body", "is_gone"),
    [
        (200, {"seq": 1, "born": 2000}, None),
        (200, {"seq": 1, "born": 3000}, True),
        (200, {"seq": 1, "born": 1000}, False),
        (200, {"seq": 1}, False),
        (200, {"seq": 1, "born": "2000"}, False),
        (421, {}, True),
    ],
)
def test_report_of_another_start_is_none(status: int, body: dict[str, object], is_gone: bool | None) -> None:  # noqa: FBT001
    server = make_server(1, "a100", born=2000)

    async def ask() -> ServerReport | Failed:
        return await ServerCalls(Reports(status, json.dumps(body).encode())).read_report(server)

    report = anyio.run(ask)
    assert isinstance(report, ServerReport) if is_gone is None else isinstance(report, Failed)
    assert not isinstance(report, Failed) or report.is_gone == is_gone


VALUES = (
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5) | st.lists(st.integers(), max_size=2)
)


@given(st.dictionaries(st.sampled_from(list(SOUND)), VALUES, max_size=3), st.binary(max_size=30))
def test_refused_value_changes_no_other_belief(changes: dict[str, object], data: bytes) -> None:
    node = Node()
    node.put("servers/i-1", SOUND)
    before = dict(node.view.servers)
    node.put("servers/i-2", SOUND, **changes)
    node.put("servers/i-3", data)
    assert {one: server for one, server in node.view.servers.items() if server.name == "i-1"} == before
    for server in node.view.servers.values():
        assert server.slots >= 1
        assert all(0 <= layers.first < layers.end <= 8 for layers in server.layers)


@pytest.mark.parametrize("value", [b"", b"{}", b'{"peer_address": 1}', b'{"peer_address": "nowhere"}', b"\xff"])
def test_record_that_is_none_is_no_node(value: bytes) -> None:
    node = Node()
    node.put("vaneturn/nodes/entry-2", {"peer_address": "10.1.0.2:7340"})
    node.put("vaneturn/nodes/entry-3", {"peer_address": "10.1.0.3:7340"})
    node.put("vaneturn/nodes/entry-3", value)
    assert sorted(node.view.nodes) == ["entry-2"]
