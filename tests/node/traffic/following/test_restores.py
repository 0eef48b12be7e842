"""The view of a node over a restore of the store: the copy may lack what lives, and hold what has left."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from core.traffic.samples import make_server
from node.traffic.samples import make_parts
from standins.platform.operator import make_configuration
from vaneturn_core.identifiers import NodeId, VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.lapses import LAPSE_HOLD_S
from vaneturn_core.traffic.servers import BackendServer, LayerRange, ServerState
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.epochs import make_state
from vaneturn_node.platform.store import PlatformStore, StoreItem
from vaneturn_node.traffic.duties.crashrecords import CrashRecorder
from vaneturn_node.traffic.duties.registration import Registration
from vaneturn_node.traffic.duties.tenure import Tenure
from vaneturn_node.traffic.following import departures, viewkeeping
from vaneturn_node.traffic.following.viewkeeping import NODE_HOLD_S, REWRITE_TIME_S, ViewKeeper

ENTRY = {
    "service": "llm", "addr": "10.1.64.9:8080", "zone": "east", "version": "v1", "slots": 8, "state": "ready",
    "cold_left_ms": 0, "seq": 4, "route_type": "big", "layers": [{"from": 0, "target_version": 4, "version": 1}],
}  # fmt: skip
SERVER = "servers/i-1"
NODE = "vaneturn/nodes/entry-2"


class Clock:
    """The clock of the view and of what is kept beside it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = time.monotonic()
        for module in (viewkeeping, departures):
            if hasattr(module, "read_clock"):
                monkeypatch.setattr(module, "read_clock", lambda: self.now)

    def __call__(self) -> float:
        return self.now


class Node:
    """A node whose view is updated by items of two epochs."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = Clock(monkeypatch)
        caller = Caller(LinkPool())
        self.view = PlatformView(5.0, self.clock)
        parts = make_parts("entry-1", self.view, ServerStatuses(), caller)
        store = PlatformStore(caller, make_server(1, None).address)
        tenure = Tenure(store, NodeId("n"), VmId("entry-1"), lambda: None)
        registration = Registration(store, VmId("entry-1"), "127.0.0.1:1")
        self.keeper = ViewKeeper(tenure, registration, CrashRecorder(store, tenure, parts.crashes), parts)
        self.view.confirm(self.clock.now)

    def put(self, epoch: int, number: int, key: str, value: Any) -> None:
        self.keeper.apply(make_item(epoch, number, key, value))

    def restore(self, *items: StoreItem, number: int = 50) -> None:
        """Read the whole state of the store after a restore."""
        self.keeper.note_restore()
        self.keeper.replace_all({item.key: item for item in items}, make_state(2, number))
        self.keeper.enter_epoch(2)

    def wait(self, seconds: float) -> None:
        self.clock.now += seconds
        self.keeper.forget_lapsed()

    def list_ready(self) -> list[BackendServer]:
        servers = self.view.list_servers(make_server(1, None).service)
        return [server for server in servers if server.state is ServerState.READY]


def make_item(epoch: int, number: int, key: str, value: Any) -> StoreItem:
    return StoreItem(key, json.dumps(value).encode() if value is not None else None, make_state(epoch, number))


def make_entry(**changes: Any) -> dict[str, Any]:
    return {**ENTRY, **changes}


@pytest.fixture
def node(monkeypatch: pytest.MonkeyPatch) -> Node:
    return Node(monkeypatch)


LEAVING = make_entry(state="draining")


@pytest.mark.parametrize("is_relayed", [False, True], ids=["read", "from a relay"])
@pytest.mark.parametrize("change", [LEAVING, None], ids=["leaving", "removed"])
def test_server_that_left_is_not_ready_again_by_an_entry_of_the_copy(
    node: Node, change: dict[str, Any] | None, *, is_relayed: bool
) -> None:
    """A node that has read the leave stays bound by it, whatever an older copy says."""
    node.put(1, 40, SERVER, ENTRY)
    node.put(1, 60, SERVER, change)
    copied = make_item(2, 40, SERVER, ENTRY)
    if is_relayed:
        node.keeper.note_restore()
        node.keeper.apply(copied)
    else:
        node.restore(copied)
    assert node.list_ready() == []
    node.put(2, 51, SERVER, LEAVING)
    assert node.list_ready() == []


def test_server_that_left_is_not_ready_again_by_the_copy_of_a_second_restore(node: Node) -> None:
    """The first copy's older entry lowered the number that later ones were compared with."""
    node.put(1, 40, SERVER, ENTRY)
    node.put(1, 60, SERVER, LEAVING)
    node.restore(make_item(2, 40, SERVER, ENTRY))
    node.restore(make_item(3, 55, SERVER, ENTRY))
    assert node.list_ready() == []


def test_server_that_returned_after_the_copy_is_ready(node: Node) -> None:
    """Its entry had lapsed behind a cut, long before the copy was made."""
    node.put(1, 40, SERVER, ENTRY)
    node.put(1, 41, SERVER, None)
    node.restore(make_item(2, 51, SERVER, ENTRY))
    assert len(node.list_ready()) == 1


def test_new_start_of_a_server_that_left_is_ready(node: Node) -> None:
    node.put(1, 40, SERVER, make_entry(born=1000))
    node.put(1, 60, SERVER, make_entry(born=1000, state="draining"))
    node.restore(make_item(2, 51, SERVER, make_entry(born=2000)))
    assert len(node.list_ready()) == 1


def test_older_entry_of_a_ready_server_is_taken(node: Node) -> None:
    """What the copy says of its layers may be older; the server writes its entry again."""
    node.put(1, 40, SERVER, ENTRY)
    node.put(1, 60, SERVER, make_entry(layers=[{"from": 4, "target_version": 8, "version": 1}]))
    node.restore(make_item(2, 40, SERVER, ENTRY))
    assert [server.layers for server in node.list_ready()] == [(LayerRange(0, 4),)]


def test_server_that_the_copy_lacks_is_kept_until_it_writes_its_entry_again(node: Node) -> None:
    """The store had been away for so short a time that no call of this node failed."""
    node.put(1, 60, SERVER, ENTRY)
    node.restore()
    assert len(node.list_ready()) == 1
    node.put(2, 51, SERVER, ENTRY)
    node.wait(LAPSE_HOLD_S + 0.1)
    assert len(node.list_ready()) == 1


def test_server_that_the_copy_lacks_and_that_does_not_return_is_dropped(node: Node) -> None:
    node.put(1, 60, SERVER, ENTRY)
    node.restore()
    node.wait(LAPSE_HOLD_S + 0.1)
    assert node.list_ready() == []


def test_node_that_the_copy_lacks_keeps_its_part_of_the_limits_until_it_registers_again(node: Node) -> None:
    node.put(1, 60, NODE, {"peer_address": "127.0.0.1:2"})
    node.restore()
    assert list(node.view.nodes) == ["entry-2"]
    node.put(2, 51, NODE, {"peer_address": "127.0.0.1:2"})
    node.wait(NODE_HOLD_S + 0.1)
    assert list(node.view.nodes) == ["entry-2"]


def test_node_that_the_copy_lacks_and_that_does_not_return_is_dropped(node: Node) -> None:
    node.put(1, 60, NODE, {"peer_address": "127.0.0.1:2"})
    node.restore()
    node.wait(NODE_HOLD_S + 0.1)
    assert list(node.view.nodes) == []


def test_node_that_ends_later_is_dropped_at_once(node: Node) -> None:
    node.put(1, 60, NODE, {"peer_address": "127.0.0.1:2"})
    node.restore(make_item(2, 60, NODE, {"peer_address": "127.0.0.1:2"}))
    node.wait(1.0)
    node.put(2, 61, NODE, None)
    assert list(node.view.nodes) == []


def test_older_configuration_of_the_copy_is_not_in_force_and_confirms_no_keys(node: Node) -> None:
    """A key that a lost change took away could be used for as long as the operator has not written it again."""
    node.put(1, 1, "op/config", make_configuration(1))
    node.put(1, 60, "op/config", make_configuration(2))
    node.restore(make_item(2, 1, "op/config", make_configuration(1)))
    assert node.view.configuration is not None
    assert node.view.configuration.version == 2
    assert not node.keeper.has_newest_configuration()
    node.put(2, 51, "op/config", make_configuration(3))
    assert node.view.configuration.version == 3
    assert node.keeper.has_newest_configuration()


def test_configuration_that_the_copy_lacks_confirms_no_keys(node: Node) -> None:
    node.put(1, 60, "op/config", make_configuration(2))
    node.restore()
    assert not node.keeper.has_newest_configuration()
    node.put(2, 51, "op/config", make_configuration(2))
    assert node.keeper.has_newest_configuration()


def test_older_configuration_that_nobody_replaces_counts_after_a_while(node: Node) -> None:
    """Otherwise all keys would be closed for good, if the operator did not write its configuration again."""
    node.put(1, 60, "op/config", make_configuration(2))
    node.restore()
    node.wait(REWRITE_TIME_S + 0.1)
    assert node.keeper.has_newest_configuration()
