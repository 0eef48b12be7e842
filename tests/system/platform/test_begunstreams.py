"""Begun streams stay whole beside silences, versions with many routes and a planned stop, without retries."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import httpx
import pytest

from rig.traffic import Traffic, assert_layers_once_in_order, list_ids, open_traffic, wait_for
from standins.platform.servers import Server
from system.platform.test_narrowlink import write_long

pytestmark = pytest.mark.anyio

NODES = 2
STOPPED = 0
STREAMS = 10
STREAM_INTERVAL_S = 0.05
TOKENS = 60
TOKEN_TIME_S = 0.03
SILENCE_S = 1.2
MORE_ROUTES = 1880
VERSION_INTERVAL_S = 0.6
DEADLINE_MS = "9000"


@pytest.fixture(params=[pytest.param(None, id="wide"), pytest.param(2.5e6, id="narrow")])
async def frugal(request: pytest.FixtureRequest, tmp_path: Path) -> AsyncIterator[Traffic]:
    """Nodes that may send no request a second time, without links or on links of some bytes per second."""
    bounds = {"retry_ratio": 0.0, "retry_slack": 0.0}
    async with open_traffic(tmp_path, nodes=NODES, link_rate=request.param, **bounds) as traffic:
        await traffic.add_chains(per_hall=6)
        traffic.fleet.answer_tokens, traffic.fleet.token_time = TOKENS, TOKEN_TIME_S
        yield traffic


async def fall_silent(servers: list[Server]) -> None:
    for server in servers:
        server.freeze()
    await anyio.sleep(SILENCE_S)
    for server in servers:
        server.thaw()


async def write_versions(traffic: Traffic) -> None:
    for version in (2, 3):
        write_long(traffic, version, 1500 - version, MORE_ROUTES)
        await anyio.sleep(VERSION_INTERVAL_S)


def find_steps(traffic: Traffic, request: str) -> list[Any]:
    return [line for node in traffic.nodes for line in node.read_log() if line.get("request") == request]


async def test_begun_streams_stay_whole_without_retries_beside_silences_and_large_versions(frugal: Traffic) -> None:
    """They were broken off at the first silence: their try was ended, and then there was no retry for another one."""
    requests = [f"begun-{number}" for number in range(STREAMS)]
    answers: dict[str, httpx.Response] = {}

    async def ask(request: str, node: int) -> None:
        with suppress(httpx.RemoteProtocolError):
            answers[request] = await frugal.ask("/letter/1", node=node, X_Request_Id=request, X_Deadline_Ms=DEADLINE_MS)

    async with anyio.create_task_group() as tasks:
        for number, request in enumerate(requests):
            tasks.start_soon(ask, request, number % NODES)
            await anyio.sleep(STREAM_INTERVAL_S)
        await wait_for(lambda: sum(bool(run.tokens) for run in frugal.fleet.runs) == STREAMS)
        silent = list(frugal.fleet.servers.values())[::2]
        assert any(server.active for server in silent)
        tasks.start_soon(write_versions, frugal)
        tasks.start_soon(fall_silent, silent)
        await anyio.sleep(SILENCE_S / 2)
        frugal.nodes[STOPPED].process.send(signal.SIGTERM)
    lost = [request for request in requests if request not in answers]
    assert not lost, [find_steps(frugal, request) for request in lost]
    for request, answer in answers.items():
        assert answer.status_code == 200
        assert list_ids(answer.text) == list(range(1, TOKENS + 1)), find_steps(frugal, request)
        assert len(frugal.fleet.find_runs(request)) == 1
    assert_layers_once_in_order(frugal.fleet)
