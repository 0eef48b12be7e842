"""A node that reaches no backend server, or none of one service, serves its clients over the other nodes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import anyio
import httpx
import pytest

from rig.traffic import Traffic, assert_layers_once_in_order, list_ids, open_traffic, wait_for
from standins.platform.servers import Server
from standins.vm import CutKind

pytestmark = pytest.mark.anyio

NODES = 3
CUT = 0  # number of the node that is cut off
LINK_RATE_BYTES_PER_S = 125_000_000.0
TOKENS = 60
TOKEN_TIME_S = 0.02
DETECTION_TIME_S = 1.0  # from the cut until no request pays for its detection
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


async def ask_many(traffic: Traffic, path: str) -> list[int]:
    """Send several requests to the node that is cut off, one after the other; return the statuses."""
    return [(await traffic.ask(path, node=CUT)).status_code for _ in range(ROUNDS)]


async def ask_in_progress(traffic: Traffic, path: str, kind: CutKind) -> httpx.Response:
    """Request a stream from the node, and cut the node off from all servers in the middle of it."""
    traffic.fleet.answer_tokens, traffic.fleet.token_time = TOKENS, TOKEN_TIME_S

    async def cut() -> None:
        await wait_for(lambda: any(len(run.tokens) > 5 for run in traffic.fleet.runs))
        traffic.nodes[CUT].cut(list_servers(traffic), kind)

    answers: list[httpx.Response] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cut)
        answers.append(await traffic.ask(path, node=CUT, X_Deadline_Ms="15000", X_Request_Id="in-progress"))
    return answers[0]


@ALL_KINDS
@pytest.mark.parametrize("path", ["/letter/1", "/notice/1", "/once/1", "/check/1"])
async def test_first_tries_at_a_cut_off_node_are_served(fleet: Traffic, path: str, kind: CutKind) -> None:
    await ask_many(fleet, path)  # leaves open connections
    fleet.nodes[CUT].cut(list_servers(fleet), kind)
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


async def test_stream_on_a_connection_that_lives_on_is_not_moved(fleet: Traffic) -> None:
    answer = await ask_in_progress(fleet, "/letter/1", CutKind.NEW_ONLY)
    assert list_ids(answer.text) == list(range(1, TOKENS + 1))
    assert len(fleet.fleet.runs) == 1
