"""All nodes together comply with the directives that servers send in their answers, as seen by the servers."""

from __future__ import annotations

import time
from pathlib import Path

import anyio
import httpx
import pytest

from rig.directivejudge import find_breaches
from rig.traffic import Traffic, open_traffic
from standins.platform.servers import Server

pytestmark = pytest.mark.anyio

NODES = 4
LINK_RATE = 1e9  # bytes per second; setting a rate gives each node its own link and thus its own address
PAUSE = 0.2  # seconds between the requests of one client


async def ask_everywhere(traffic: Traffic, path: str, seconds: float) -> list[httpx.Response]:
    """Run one client per node that repeats a request."""
    answers: list[httpx.Response] = []
    until = time.monotonic() + seconds

    async def repeat(node: int) -> None:
        while time.monotonic() < until:
            answers.append(await traffic.ask(path, node=node))
            await anyio.sleep(PAUSE)

    async with anyio.create_task_group() as tasks:
        for node in range(len(traffic.nodes)):
            tasks.start_soon(repeat, node)
    return answers


def find_first(servers: list[Server], hall: str) -> Server:
    """Find the first server of the chains of a hall."""
    return next(one for one in servers if one.hall == hall and one.held is not None and one.held[0] == 0)


async def test_rate_limit_of_a_server_is_kept_by_all_nodes_together(tmp_path: Path) -> None:
    async with open_traffic(tmp_path, nodes=NODES, link_rate=LINK_RATE) as traffic:
        limited = find_first(await traffic.add_chains(), "east")
        limited.rate_limit = 1.0
        answers = await ask_everywhere(traffic, "/letter/1", 9.0)
        assert find_breaches(traffic.fleet.record) == []
        assert {answer.status_code for answer in answers} == {200}


async def test_server_that_asked_for_rest_gets_no_more_requests(tmp_path: Path) -> None:
    async with open_traffic(tmp_path, nodes=NODES, link_rate=LINK_RATE) as traffic:
        resting = find_first(await traffic.add_chains(), "east")
        resting.rest = 3.0
        answers = await ask_everywhere(traffic, "/letter/1", 5.0)
        assert find_breaches(traffic.fleet.record) == []
        assert {answer.status_code for answer in answers} == {200}


async def test_plain_service_that_asked_for_rest_gets_no_more_requests(tmp_path: Path) -> None:
    async with open_traffic(tmp_path, nodes=NODES, link_rate=LINK_RATE) as traffic:
        resting = await traffic.add_desk()
        (await traffic.add_desk()).work_time = 0.1  # so that the other server seems faster
        resting.rest = 3.0
        answers = await ask_everywhere(traffic, "/check/1", 5.0)
        assert find_breaches(traffic.fleet.record) == []
        assert {answer.status_code for answer in answers} == {200}


async def test_requests_are_refused_at_once_while_all_servers_rest(tmp_path: Path) -> None:
    async with open_traffic(tmp_path, nodes=NODES, link_rate=LINK_RATE) as traffic:
        for server in await traffic.add_chains():
            server.rest = 2.0
        answers = await ask_everywhere(traffic, "/letter/1", 3.0)
        assert find_breaches(traffic.fleet.record) == []
        assert {answer.status_code for answer in answers} == {503}
        assert max(float(answer.headers["retry-after"]) for answer in answers) > 1.0
        assert max(answer.elapsed.total_seconds() for answer in answers) < 1.0


async def test_server_that_says_it_leaves_gets_no_more_requests(tmp_path: Path) -> None:
    async with open_traffic(tmp_path, nodes=NODES, link_rate=LINK_RATE) as traffic:
        leaving = find_first(await traffic.add_chains(), "east")
        leaving.announces_leaving = True
        answers = await ask_everywhere(traffic, "/letter/1", 4.0)
        assert find_breaches(traffic.fleet.record) == []
        assert {answer.status_code for answer in answers} == {200}
