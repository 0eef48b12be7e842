"""A streamed answer over a chain is complete, runs each layer once, and resumes when servers are lost."""

from __future__ import annotations

import re

import anyio
import pytest

from rig.faults import break_off, set_faults
from rig.ports import find_port
from rig.traffic import Traffic, assert_layers_once_in_order, list_ids, wait_for
from standins.platform.servers import Run
from standins.platform.wire import Exchange

pytestmark = pytest.mark.anyio


async def test_stream_is_whole_and_runs_each_layer_once(traffic: Traffic) -> None:
    await traffic.add_chains()
    answer = await traffic.ask("/letter/1")
    assert answer.status_code == 200
    assert list_ids(answer.text) == list(range(1, 11))
    run = traffic.fleet.runs[0]
    assert answer.headers["x-response-seal"] == f"seal-{run.server}"
    assert run.headers["x-tenant"] == "broker"
    assert "authorization" not in run.headers
    assert run.headers["x-model"] == "m"
    assert run.headers["x-token-usage"] == "100,30"
    assert int(run.headers["x-deadline-ms"]) <= 5000
    assert run.body == b"letter"
    assert_layers_once_in_order(traffic.fleet)


async def test_log_names_the_expected_time_to_the_first_event(traffic: Traffic) -> None:
    """Guards against late first events of which nobody can tell whether the choice of the chain expected them."""
    await traffic.add_chains()
    await traffic.ask("/letter/1", X_Request_Id="log-1")
    line = await traffic.nodes[0].wait_for_log("log-1")
    assert re.search(r" over \S+ .*, fullest \d\.\d\d, first event in \d\.\d{3}s$", line["steps"][0])


@pytest.mark.parametrize("is_unresponsive", [pytest.param(True, id="dark"), pytest.param(False, id="crashed")])
@pytest.mark.parametrize("index", [pytest.param(0, id="first"), pytest.param(1, id="later part")])
async def test_stream_goes_on_when_a_server_is_lost(traffic: Traffic, index: int, *, is_unresponsive: bool) -> None:
    servers = await traffic.add_chains()
    traffic.fleet.answer_tokens = 60
    async with anyio.create_task_group() as tasks:

        async def lose_server() -> None:
            await wait_for(lambda: any(run.tokens for run in traffic.fleet.runs))
            address = traffic.fleet.runs[0].tokens[0][index].address
            server = next(candidate for candidate in servers if candidate.address == address)
            if is_unresponsive:
                server.is_unresponsive = True
            else:
                await server.crash()

        tasks.start_soon(lose_server)
        answer = await traffic.ask("/letter/1", X_Deadline_Ms="15000")
    assert answer.status_code == 200
    assert list_ids(answer.text) == list(range(1, 61))
    assert answer.headers["x-response-seal"] == f"seal-{traffic.fleet.runs[0].server}"
    assert_layers_once_in_order(traffic.fleet)


async def test_event_that_is_cut_in_the_middle_is_not_passed_on(traffic: Traffic) -> None:
    servers = await traffic.add_chains()

    async def break_off(exchange: Exchange, run: Run) -> None:
        for server in servers:
            server.fault_handler = None
        headers = {"X-Request-Id": run.request, "X-Response-Seal": f"seal-{run.server}"}
        await exchange.begin(200, headers)
        await exchange.send(b"id: 1\ndata: token 1\n\nid: 2\ndata: tok")
        await anyio.sleep(0.05)
        await exchange.reset()

    for server in servers:
        server.fault_handler = break_off
    answer = await traffic.ask("/letter/1")
    assert list_ids(answer.text) == list(range(1, 11))
    assert "tokid" not in answer.text
    assert len(traffic.fleet.runs) == 2
    assert traffic.fleet.runs[1].headers["last-event-id"] == "1"


@pytest.mark.parametrize("token_time", [0.01, 3.0], ids=["in the answer", "before the first event"])
async def test_work_ends_when_the_client_leaves(traffic: Traffic, token_time: float) -> None:
    await traffic.add_chains()
    traffic.fleet.answer_tokens = 1000
    traffic.fleet.token_time = token_time
    with anyio.move_on_after(0.5):
        await traffic.ask("/letter/1")
    await wait_for(lambda: traffic.fleet.runs[0].was_cut, 2.0)


async def test_refused_chain_is_met_by_another(traffic: Traffic) -> None:
    servers = await traffic.add_chains()
    gone = next(server for server in servers if server.hall == "east" and server.held and server.held[0] > 0)
    gone.held = (0, 1)  # the list still says what it held before
    answer = await traffic.ask("/letter/1")
    assert list_ids(answer.text) == list(range(1, 11))
    assert len(traffic.fleet.runs) == 1


async def test_part_that_was_refused_is_left_alone_by_the_next_requests(traffic: Traffic) -> None:
    """Without shared knowledge of the refusal, each request was refused as well and spent retry budget."""
    servers = await traffic.add_chains()
    gone = next(server for server in servers if server.hall == "east" and server.held and server.held[0] > 0)
    gone.held = (0, 1)  # the list still says what it held before
    for _ in range(3):
        assert list_ids((await traffic.ask("/letter/1")).text) == list(range(1, 11))
    refused = [line for line in traffic.nodes[0].read_log() if any("refused" in step for step in line.get("steps", []))]
    assert len(refused) == 1


async def test_stream_that_must_not_run_twice_waits_for_a_server_in_place_of_a_lost_one(traffic: Traffic) -> None:
    """Breaking it off at once is wrong: its first server still waits, and another one takes the layers soon."""
    servers = await traffic.add_chains(halls=("east",))
    traffic.fleet.answer_tokens = 40
    traffic.fleet.token_time = 0.03
    async with anyio.create_task_group() as tasks:

        async def lose_server() -> None:
            await wait_for(lambda: any(len(run.tokens) > 3 for run in traffic.fleet.runs))
            lost = next(server for server in servers if server.held and server.held[0] > 0)
            await lost.crash(is_listed=False)
            await traffic.fleet.add(f"127.0.0.1:{find_port()}", "llm", "east", "big")

        tasks.start_soon(lose_server)
        answer = await traffic.ask("/notice/1")
    assert list_ids(answer.text) == list(range(1, 41))
    assert len(traffic.fleet.runs) == 1
    assert_layers_once_in_order(traffic.fleet)


async def test_without_any_chain_the_refusal_is_true_and_tells_when_to_come_back(traffic: Traffic) -> None:
    answer = await traffic.ask("/letter/1")
    assert answer.status_code == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not traffic.fleet.runs


async def test_stream_that_must_not_run_twice_is_not_called_not_run_when_its_server_falls_silent(
    traffic: Traffic,
) -> None:
    """A run on a lost server does not count as an attempt, but the answer must not say that it never happened."""
    servers = await traffic.add_chains()
    traffic.fleet.token_time = 1.0  # the first event is not there yet
    async with anyio.create_task_group() as tasks:

        async def lose_server() -> None:
            await wait_for(lambda: bool(traffic.fleet.runs))
            next(server for server in servers if server.id == traffic.fleet.runs[0].server).is_unresponsive = True

        tasks.start_soon(lose_server)
        answer = await traffic.ask("/notice/1")
    assert answer.status_code in {502, 504}
    assert len(traffic.fleet.runs) == 1


@pytest.mark.parametrize("path", ["/notice/1", "/letter/1"])
async def test_refusal_without_an_id_does_not_say_that_a_stream_has_not_run(traffic: Traffic, path: str) -> None:
    """A surplus refusal in the place of the answer let a stream that must run once run on two servers."""

    async def refuse_without_id(exchange: Exchange, _: Run) -> None:
        await exchange.reply(400, {"X-Not-Executed": "1"})

    for server in await traffic.add_chains():
        server.fault_handler = refuse_without_id
    answer = await traffic.ask(path)
    assert len(traffic.fleet.runs) == (1 if path == "/notice/1" else 2)
    assert answer.status_code == 502  # 503 would promise that it has not run


async def test_stream_gets_no_answer_that_names_no_request(traffic: Traffic) -> None:
    """A surplus answer without an id, in the place of the one due, was passed on."""

    async def answer_without_id(exchange: Exchange, _: Run) -> None:
        await exchange.begin(200, {"X-Response-Seal": "seal", "Content-Type": "text/event-stream"})
        await exchange.send(b"id: 1\ndata: token 1 of nobody\n\n")
        await exchange.end()

    await traffic.add_chains()
    set_faults(traffic, answer_without_id)
    answer = await traffic.ask("/letter/1")
    assert list_ids(answer.text) == list(range(1, 11))
    assert "nobody" not in answer.text


async def test_begun_answer_outlasts_servers_that_refuse_for_a_moment(traffic: Traffic) -> None:
    """It was broken off after three refusals within milliseconds, seconds before its deadline."""
    servers = await traffic.add_chains(per_hall=6)

    async def break_off_beside_refusals(exchange: Exchange, run: Run) -> None:
        for server in servers:
            server.refused_share = 1.0
        await break_off(4)(exchange, run)

    set_faults(traffic, break_off_beside_refusals)
    answers: list[list[int]] = []

    async def ask() -> None:
        answers.append(list_ids((await traffic.ask("/letter/1")).text))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await wait_for(lambda: bool(traffic.fleet.runs))
        await anyio.sleep(0.7)
        for server in servers:
            server.refused_share = 0.0
    assert answers == [list(range(1, 11))]
