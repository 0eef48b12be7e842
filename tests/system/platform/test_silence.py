"""Servers were silent for half a second, and nodes broke off answers that these servers went on to make.

A configuration of 523 KB was read by 59 nodes at once, each over a link of 20 Mbit/s. The events of their streams
waited behind it, and so did the answers of the servers when they were asked for a sign of life. The nodes took the
silence for the loss of the servers: "lost" named 11 of the 12 servers of a chain, in one look. Each then ended a try
whose server still worked on it, and only after that found that it had no second send left. 58 of 63 streams that were
broken off in twelve seconds ended so: "418ms first server lost", "420ms retry budget used up", "420ms answer broken
off"; the route allowed twenty seconds.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import anyio
import httpx
import pytest

from rig.traffic import Traffic, assert_layers_once_in_order, list_ids, open_traffic, wait_for
from standins.platform.servers import Server

pytestmark = pytest.mark.anyio

TOKENS = 60
TOKEN_TIME = 0.02  # seconds
SILENCE = 0.6  # seconds; longer than two questions without an answer, shorter than a client's patience


@pytest.fixture
async def frugal(tmp_path: Path) -> AsyncIterator[Traffic]:
    """A node that may send no request to a second server."""
    async with open_traffic(tmp_path, retry_ratio=0.0, retry_slack=0.0) as made:
        yield made


async def ask_through_a_silence(
    traffic: Traffic, path: str, choose: Callable[[list[Server]], list[Server]]
) -> httpx.Response:
    """Ask for a stream; some of the servers of its chain say nothing for a while in the middle of it.

    :param choose: picks them from the servers of the chain, in its order.
    """
    traffic.fleet.answer_tokens, traffic.fleet.token_time = TOKENS, TOKEN_TIME
    answers: list[httpx.Response] = []
    async with anyio.create_task_group() as tasks:

        async def fall_silent() -> None:
            await wait_for(lambda: any(len(run.tokens) > 5 for run in traffic.fleet.runs))
            chain = [traffic.fleet.servers[part.address] for part in traffic.fleet.runs[0].tokens[0]]
            silent = choose(chain)
            for server in silent:
                server.is_unresponsive = True
            await anyio.sleep(SILENCE)
            for server in silent:
                server.is_unresponsive = False

        tasks.start_soon(fall_silent)
        answers.append(await traffic.ask(path, X_Deadline_Ms="15000", X_Request_Id="through-silence"))
    return answers[0]


def list_ended(traffic: Traffic) -> list[dict[str, Any]]:
    return [line for line in traffic.nodes[0].read_log() if line["message"] == "request ended"]


def assert_whole(traffic: Traffic, answer: httpx.Response) -> None:
    assert answer.status_code == 200
    assert list_ids(answer.text) == list(range(1, TOKENS + 1))
    assert_layers_once_in_order(traffic.fleet)


@pytest.mark.parametrize("index", [pytest.param(0, id="first"), pytest.param(1, id="later part")])
@pytest.mark.parametrize("halls", [("east",), ("east", "west")], ids=["no other chain", "another hall"])
async def test_stream_without_a_second_send_goes_on_where_it_is(
    frugal: Traffic, halls: tuple[str, ...], index: int
) -> None:
    await frugal.add_chains(halls=halls)
    answer = await ask_through_a_silence(frugal, "/letter/1", lambda chain: chain[index : index + 1])
    assert_whole(frugal, answer)
    assert len(frugal.fleet.runs) == 1


async def test_stream_without_any_other_chain_goes_on_where_it_is(traffic: Traffic) -> None:
    await traffic.add_chains(halls=("east",))
    answer = await ask_through_a_silence(traffic, "/letter/1", lambda chain: chain[:1])
    assert_whole(traffic, answer)
    assert len(traffic.fleet.runs) == 1


async def test_stream_that_must_not_run_twice_goes_on_where_it_is(traffic: Traffic) -> None:
    await traffic.add_chains()
    answer = await ask_through_a_silence(traffic, "/notice/1", lambda chain: chain[:1])
    assert_whole(traffic, answer)
    assert len(traffic.fleet.runs) == 1


async def test_silence_of_all_servers_is_not_taken_for_their_loss(traffic: Traffic) -> None:
    await traffic.add_chains()
    answer = await ask_through_a_silence(traffic, "/letter/1", lambda _: list(traffic.fleet.servers.values()))
    assert_whole(traffic, answer)
    assert len(traffic.fleet.runs) == 1
    await wait_for(lambda: any(line.get("request") == "through-silence" for line in list_ended(traffic)))
    steps = next(line for line in list_ended(traffic) if line["request"] == "through-silence")["steps"]
    assert not [step for step in steps if "lost" in step]
