"""Permits between nodes: an issuer that does not answer, limits that are lifted, invalid messages."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from core.traffic.samples import make_server
from node.traffic.samples import make_parts
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.directives import ServerDirectives
from vaneturn_core.traffic.ratelimits import NodeHistory, rank_issuers
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.permits import NO_ISSUER_WAIT_S, PermitRequest

pytestmark = pytest.mark.anyio

SERVER = make_server(1, "a100")
NODES = [VmId(f"entry-{number}") for number in range(4)]
FIRST, SECOND = rank_issuers(SERVER.id, frozenset(NODES))
ASKER = next(node for node in NODES if node not in {FIRST, SECOND})


class Network(Caller):
    """Delivers permit requests between the nodes of a test."""

    def __init__(self) -> None:
        super().__init__(LinkPool())
        self.silent: set[VmId] = set()
        self.spoilt: bytes | None = None  # in place of all permits
        self.asked: list[VmId] = []
        self.nodes = {node: self._make_node(node) for node in NODES}

    def _make_node(self, vm: VmId) -> TrafficParts:
        view = PlatformView(5.0, read_clock)
        view.put_server(SERVER)
        view.nodes = {node: str(node) for node in NODES}
        parts = make_parts(vm, view, ServerStatuses(), self)
        parts.node_history._known.clear()  # as if the node had started long ago
        parts.node_history._known.append((0.0, frozenset(NODES)))
        return parts

    async def call(self, address: str, method: str, target: str, limit: float, **sent: Any) -> Reply | Failed:
        assert (method, target) == ("POST", "/permits")
        assert limit > 0
        self.asked.append(VmId(address))
        if address in self.silent:
            return Failed("no answer in time", was_sent=True)
        if self.spoilt is not None:
            return Reply(200, self.spoilt)
        body = self.nodes[VmId(address)].permits.answer_request(sent["body"])
        return Reply(200, body) if body is not None else Reply(400, b"")

    def tell(self, node: VmId, rate: float | None) -> None:
        """Let the server send a limit, or its end, to a node."""
        self.nodes[node].directives.apply(SERVER, ServerDirectives(rate), read_clock())


@pytest.fixture
def network() -> Network:
    return Network()


async def count_permits(network: Network, node: VmId, tries: int) -> int:
    permits = 0
    for _ in range(tries):
        permits += await network.nodes[node].permits.obtain(SERVER.id)
    return permits


def test_history_of_nodes_starts_with_none() -> None:
    assert NodeHistory(read_clock).list_recent() == [frozenset()]


async def test_server_without_a_limit_needs_no_permit(network: Network) -> None:
    assert await count_permits(network, ASKER, 20) == 20
    assert network.asked == []


async def test_all_nodes_share_the_permits_of_one_issuer(network: Network) -> None:
    for node in NODES:
        network.tell(node, 0.01)
    assert sum([await count_permits(network, node, 3) for node in NODES]) == 1


async def test_node_without_a_permit_leaves_the_server_alone(network: Network) -> None:
    network.tell(ASKER, 0.01)
    await count_permits(network, ASKER, 3)
    parts = network.nodes[ASKER]
    assert not parts.beliefs[SERVER.id].may_take_request(read_clock())
    assert parts.list_accepting(SERVER.service, ()) == []
    assert parts.list_eligible(SERVER.service, ()) == [SERVER]  # later parts of chains need no permit


async def test_second_issuer_stands_in_for_one_that_is_silent(network: Network) -> None:
    network.silent = {FIRST}
    network.tell(ASKER, 0.01)
    assert await count_permits(network, ASKER, 4) == 1
    assert network.asked == [FIRST, SECOND, SECOND, SECOND, SECOND]


async def test_no_request_goes_without_any_issuer(network: Network) -> None:
    network.silent = {FIRST, SECOND}
    network.tell(ASKER, 50.0)
    assert await count_permits(network, ASKER, 2) == 0
    wait = network.nodes[ASKER].compute_wait(SERVER.service)
    assert wait == 0  # the server holds no layers, so no request waits for it
    assert network.nodes[ASKER].beliefs[SERVER.id].permit_at > read_clock() + NO_ISSUER_WAIT_S / 2


async def test_end_of_a_limit_reaches_nodes_that_got_no_permit(network: Network) -> None:
    for node in NODES:
        network.tell(node, 0.01)
    await count_permits(network, ASKER, 3)
    network.tell(SECOND, None)
    assert await count_permits(network, SECOND, 3) == 3
    network.nodes[FIRST].permits.apply_limits(network.nodes[SECOND].permits.list_changed_limits())
    assert await count_permits(network, ASKER, 3) == 3


async def test_limit_that_is_named_again_binds_again(network: Network) -> None:
    network.tell(ASKER, 0.01)
    network.tell(ASKER, None)
    await count_permits(network, ASKER, 1)
    network.tell(ASKER, 0.01)
    assert await count_permits(network, ASKER, 5) == 1


@pytest.mark.parametrize(
    "body",
    [
        b"", b"{}", msgspec.json.encode(PermitRequest("i-9", 1.0, 0.0)), b'{"server":"i-1","rate":-1,"age":0}',
        b'{"server":"i-1","rate":0,"age":0}', b'{"server":"i-1","rate":1,"age":-5}',
        b'{"server":"i-1","rate":"1","age":0}', b'{"server":"i-1","rate":1e999,"age":0}',
    ],
)  # fmt: skip
def test_question_that_is_not_understood_changes_nothing(network: Network, body: bytes) -> None:
    issuer = network.nodes[FIRST]
    assert issuer.permits.answer_request(body) is None
    assert issuer.limits.list_limited() == {}


@pytest.mark.parametrize(
    "body", [b"", b'{"wait":0,"rate":0,"age":0}', b'{"wait":0,"rate":-2,"age":0}', b'{"wait":0,"rate":1,"age":-9}']
)
async def test_permit_that_is_not_understood_is_none(network: Network, body: bytes) -> None:
    network.tell(ASKER, 50.0)
    network.spoilt = body
    assert await count_permits(network, ASKER, 1) == 0
    assert network.nodes[ASKER].limits.list_limited() == {SERVER.id: 50.0}
