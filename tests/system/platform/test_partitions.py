"""A node that reaches no backend server, or none of one service, serves its clients over the other nodes."""

from __future__ import annotations

import json
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import anyio
import httpx
import pytest

from rig.faults import break_off, set_faults
from rig.ports import find_port
from rig.traffic import Node, Traffic, assert_layers_once_in_order, get_address, list_ids, open_traffic, wait_for
from standins.link import Link
from standins.platform.servers import Server
from standins.vm import CutKind

pytestmark = pytest.mark.anyio

NODES = 3
CUT = 0  # number of the node that is cut off
LINK_RATE_BYTES_PER_S = 125_000_000.0
TOKENS = 60
TOKEN_TIME_S = 0.02
DETECTION_TIME_S = 1.0  # from the cut until no request pays for its detection
CONFIRMATION_TIME_S = 1.0  # from the detection until the node no longer tries to connect
ROUNDS = 10

ALL_KINDS = pytest.mark.parametrize("kind", list(CutKind), ids=[kind.value for kind in CutKind])


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Traffic]:
    """Nodes with chains in two halls and plain servers."""
    async with open_traffic(tmp_path, nodes=NODES, link_rate=LINK_RATE_BYTES_PER_S) as traffic:
        await traffic.add_chains()
        for _ in range(3):
            await traffic.add_desk()
        yield traffic


def list_servers(traffic: Traffic, service: str | None = None) -> list[Server]:
    return [each for each in traffic.fleet.servers.values() if service in {None, each.service}]


def list_addresses(traffic: Traffic, service: str | None = None) -> list[str]:
    return [server.address for server in list_servers(traffic, service)]


async def ask_many(traffic: Traffic, path: str) -> list[int]:
    """Send several requests to the node that is cut off, one after the other; return the statuses."""
    return [(await traffic.ask(path, node=CUT)).status_code for _ in range(ROUNDS)]


async def ask_in_progress(traffic: Traffic, path: str, kind: CutKind) -> httpx.Response:
    """Request a stream from the node, and cut the node off from all servers in the middle of it."""
    traffic.fleet.answer_tokens, traffic.fleet.token_time = TOKENS, TOKEN_TIME_S

    async def cut() -> None:
        await wait_for(lambda: any(len(run.tokens) > 5 for run in traffic.fleet.runs))
        traffic.nodes[CUT].cut(list_addresses(traffic), kind)

    answers: list[httpx.Response] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cut)
        answers.append(await traffic.ask(path, node=CUT, X_Deadline_Ms="15000", X_Request_Id="in-progress"))
    return answers[0]


@ALL_KINDS
@pytest.mark.parametrize("path", ["/letter/1", "/notice/1", "/once/1", "/check/1"])
async def test_first_tries_at_a_cut_off_node_are_served(fleet: Traffic, path: str, kind: CutKind) -> None:
    await ask_many(fleet, path)  # leaves open connections
    fleet.nodes[CUT].cut(list_addresses(fleet), kind)
    with anyio.move_on_after(DETECTION_TIME_S):
        while True:
            await fleet.ask("/letter/1", node=CUT)
            await fleet.ask("/check/1", node=CUT)
    assert await ask_many(fleet, path) == [200] * ROUNDS
    assert_layers_once_in_order(fleet.fleet)


@pytest.mark.parametrize("kind", [CutKind.SILENT, CutKind.RESET, CutKind.REFUSED], ids=lambda kind: kind.value)
async def test_stream_in_progress_resumes_over_another_node(fleet: Traffic, kind: CutKind) -> None:
    answer = await ask_in_progress(fleet, "/letter/1", kind)
    assert answer.status_code == 200
    assert list_ids(answer.text) == list(range(1, TOKENS + 1))
    assert_layers_once_in_order(fleet.fleet)


async def test_run_on_a_server_that_the_second_node_no_longer_reaches_is_no_attempt(fleet: Traffic) -> None:
    """It counted as one of two attempts, so that the stream was broken off when its next server failed."""
    fleet.fleet.answer_tokens, fleet.fleet.token_time = TOKENS, TOKEN_TIME_S
    fleet.nodes[CUT].cut(list_addresses(fleet), CutKind.SILENT)
    await anyio.sleep(DETECTION_TIME_S)

    async def cut_second_node() -> None:
        await wait_for(lambda: any(len(run.tokens) > 5 for run in fleet.fleet.runs))
        caller = fleet.fleet.record.arrivals[-1].node
        second = next(node for number, node in enumerate(fleet.nodes) if get_address(number) == caller)
        set_faults(fleet, break_off(events=3))
        second.cut(list_addresses(fleet), CutKind.SILENT)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cut_second_node)
        answer = await fleet.ask("/letter/1", node=CUT, X_Deadline_Ms="15000")
    assert list_ids(answer.text) == list(range(1, TOKENS + 1))
    assert len(fleet.fleet.runs) == 3


async def test_stream_on_a_connection_that_lives_on_is_not_moved(fleet: Traffic) -> None:
    answer = await ask_in_progress(fleet, "/letter/1", CutKind.NEW_ONLY)
    assert list_ids(answer.text) == list(range(1, TOKENS + 1))
    assert len(fleet.fleet.runs) == 1


async def test_requests_go_past_nodes_that_are_cut_off_too(fleet: Traffic) -> None:
    for node in fleet.nodes[: NODES - 1]:
        node.cut(list_addresses(fleet), CutKind.SILENT)
    with anyio.move_on_after(DETECTION_TIME_S):
        while True:
            await fleet.ask("/letter/1", node=CUT)
            await fleet.ask("/check/1", node=CUT)
    assert await ask_many(fleet, "/letter/1") == [200] * ROUNDS
    assert await ask_many(fleet, "/once/1") == [200] * ROUNDS


@pytest.mark.parametrize("path", ["/letter/1", "/notice/1", "/once/1", "/check/1"])
async def test_requests_are_rejected_while_no_node_reaches_a_server(fleet: Traffic, path: str) -> None:
    for node in fleet.nodes:
        node.cut(list_addresses(fleet), CutKind.SILENT)
    service = "desk" if path in {"/once/1", "/check/1"} else "llm"
    await wait_for_lost_path(fleet, service, path)
    runs = len(fleet.fleet.runs)
    answer = await fleet.ask(path, node=CUT, X_Request_Id="rejected")
    assert answer.status_code == 503
    assert answer.json()["error"] == "no_path"
    assert float(answer.headers["retry-after"]) > 0
    assert answer.headers["connection"] == "close"
    assert len(fleet.fleet.runs) == runs
    assert not [step for step in (await fleet.nodes[CUT].wait_for_log("rejected"))["steps"] if "connecting" in step]


async def wait_for_lost_path(fleet: Traffic, service: str, path: str) -> None:
    """Send requests until all nodes have found that they reach no server, and have probed for some rounds."""
    for number in range(NODES):
        await fleet.ask(path, node=number)
    for node in fleet.nodes:
        await wait_for(lambda node=node: has_lost_path(node, service))
    await anyio.sleep(CONFIRMATION_TIME_S)


def has_lost_path(node: Node, service: str) -> bool:
    lines = [line for line in node.read_log() if line["message"].startswith("path to service")]
    return any(line["message"] == "path to service lost" and line["service"] == service for line in lines)


@pytest.mark.parametrize("service", ["llm", "desk"])
async def test_only_requests_to_the_lost_service_are_forwarded(fleet: Traffic, service: str) -> None:
    fleet.nodes[CUT].cut(list_addresses(fleet, service), CutKind.RESET)
    for path in ("/letter/1", "/check/1", "/once/1"):
        assert await ask_many(fleet, path) == [200] * ROUNDS
    forwarded = {
        line["route"]
        for line in fleet.nodes[CUT].read_log()
        if any("forwarded to" in step for step in line.get("steps", []))
    }
    assert forwarded == ({"letter"} if service == "llm" else {"check", "once"})


async def test_node_serves_by_itself_again_when_its_path_is_back(fleet: Traffic) -> None:
    node = fleet.nodes[CUT]
    node.cut(list_addresses(fleet), CutKind.REFUSED)
    await fleet.ask("/letter/1", node=CUT)
    node.heal()
    await wait_for(lambda: any(line["message"] == "path to service regained" for line in node.read_log()))
    answer = await fleet.ask("/letter/1", node=CUT, X_Request_Id="after-the-cut")
    assert answer.status_code == 200
    assert not [step for step in (await node.wait_for_log("after-the-cut"))["steps"] if "forwarded" in step]


async def test_request_that_must_not_repeat_runs_once_in_a_cut(fleet: Traffic) -> None:
    """Its answer is lost with the path, so it has neither a success nor a promise that it has not run."""
    for server in list_servers(fleet, "desk"):
        server.work_time = 0.3

    async def cut() -> None:
        await wait_for(lambda: bool(fleet.fleet.runs))
        fleet.nodes[CUT].cut(list_addresses(fleet), CutKind.RESET)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cut)
        answer = await fleet.ask("/once/1", node=CUT, X_Request_Id="once")
    assert answer.status_code == 502
    assert len(fleet.fleet.find_runs("once")) == 1


async def test_client_that_leaves_ends_the_run_behind_the_other_node(fleet: Traffic) -> None:
    fleet.fleet.answer_tokens, fleet.fleet.token_time = 500, 0.02
    fleet.nodes[CUT].cut(list_addresses(fleet), CutKind.RESET)
    with anyio.move_on_after(1.5):
        await fleet.ask("/letter/1", node=CUT, X_Request_Id="left")
    await wait_for(lambda: all(run.was_cut for run in fleet.fleet.find_runs("left")), limit=3.0)
    assert fleet.fleet.find_runs("left")


async def test_key_is_checked_by_both_nodes(fleet: Traffic) -> None:
    fleet.nodes[CUT].cut(list_addresses(fleet), CutKind.RESET)
    assert (await fleet.ask("/letter/1", node=CUT)).status_code == 200
    assert (await fleet.ask("/letter/1", node=CUT, Authorization="Token unknown")).status_code == 401


async def test_node_without_a_path_gives_up_the_orders_to_servers(fleet: Traffic) -> None:
    """It kept its tenure over the store, while none of its orders arrived."""
    holder = None
    for node in fleet.nodes:
        state = await fleet.client.get(f"http://127.0.0.1:{node.metrics_port}/state")
        holder = node if state.json()["has_tenure"] else holder
    assert holder is not None
    added = [f"127.0.0.1:{find_port()}" for _ in range(2)]
    holder.cut([*list_addresses(fleet), *added], CutKind.SILENT)
    servers = [await fleet.fleet.add(address, "llm", "north", "big") for address in added]
    await wait_for(lambda: all(server.held for server in servers), limit=30.0)
    assert any(line["message"] == "tenure given up, as no server can be reached" for line in holder.read_log())


async def test_losses_that_only_cut_off_nodes_see_are_not_adopted(fleet: Traffic) -> None:
    """Two nodes that find the same servers lost confirm it for all; connections that are reset looked like that."""
    for node in fleet.nodes[: NODES - 1]:
        node.cut(list_addresses(fleet), CutKind.RESET)
    for _ in range(ROUNDS):
        for number in range(NODES):
            assert (await fleet.ask("/letter/1", node=number)).status_code == 200
    connected = fleet.nodes[NODES - 1]
    assert [line for line in connected.read_log() if line["message"] == "losses told"] == []


async def test_node_that_has_just_started_without_a_path_is_served_by_nodes_that_do_not_know_it_yet(
    tmp_path: Path,
) -> None:
    """Its requests were refused as from an unknown node, and each node that said so was not asked for a second."""
    async with open_traffic(tmp_path, nodes=2, link_rate=LINK_RATE_BYTES_PER_S) as traffic:
        await traffic.add_chains()
        await traffic.add_desk()
        ports = [int(address.rpartition(":")[2]) for address in list_addresses(traffic)]
        (tmp_path / "entry-3.cut").write_text(json.dumps({"kind": CutKind.REFUSED.value, "ports": ports}))
        for node in traffic.nodes:
            node.store_path.cut()
        await traffic.start_node(Link(LINK_RATE_BYTES_PER_S))
        statuses = [(await traffic.ask("/check/1", node=2)).status_code for _ in range(20)]
        assert statuses == [200] * 20


async def test_node_without_a_path_serves_its_clients_until_its_planned_stop_ends(fleet: Traffic) -> None:
    """It had left the list of nodes at the begin of its stop, and the others declined its requests from then on."""
    fleet.nodes[CUT].cut(list_addresses(fleet), CutKind.REFUSED)
    assert set(await ask_many(fleet, "/check/1")) == {200}
    fleet.nodes[CUT].process.send(signal.SIGTERM)
    await wait_for(lambda: "vaneturn/nodes/entry-1" not in fleet.fleet.store.items)
    await anyio.sleep(0.3)  # until the other nodes have read that
    assert await ask_many(fleet, "/check/1") == [200] * ROUNDS
