"""A long configuration that fills a node's link must not make its servers seem lost.

All connections of a node share its link, which is first in, first out. A configuration with some 2,000 routes fills the
links of 59 nodes for about a quarter of a second, and a small change, which writes the whole again, fills them once
more. The events of streams and the responses to probes wait behind it. Although only the link is slow, a node might
then abort streams as if nearly all servers of their chains were lost.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import anyio
import httpx
import pytest

from rig.traffic import Traffic, assert_layers_once_in_order, list_ids, open_traffic, wait_for
from standins.platform.operator import configure, make_configuration, make_more_routes

pytestmark = pytest.mark.anyio

TOKENS = 150
TOKEN_TIME = 0.02  # seconds
MORE_ROUTES = 2000
TRANSFER = 0.5  # seconds that the long configuration occupies the link
LINK_RATE = 1_250_000.0  # bytes per second, 10 Mbit/s; the store sends the long configuration as 626,500 bytes
REQUEST = "behind-a-long-value"
DEADLINE = "8000"  # milliseconds; less than the client's timeout, so that the node ends the request first
CHANGE_TIME = 1.0  # seconds between writing the long configuration and its change


@pytest.fixture
async def narrow(tmp_path: Path) -> AsyncIterator[Traffic]:
    async with open_traffic(tmp_path, link_rate=LINK_RATE) as made:
        yield made


def write_long(traffic: Traffic, version: int, timeout: int, more_routes: int = MORE_ROUTES) -> None:
    """Write a configuration with many routes; two versions differ only in the timeout of one route."""
    routes = make_configuration(1)["routes"]
    changed = {**routes[3], "timeout_ms": timeout}
    more = make_more_routes(more_routes, random.Random(1))
    configure(traffic.fleet.store, make_configuration(version, routes=[*routes[:3], changed, *routes[4:], *more]))


async def ask_through_long_configurations(traffic: Traffic) -> httpx.Response | None:
    """Request a stream, and write the long configuration and its change while events arrive.

    :return: None if the answer was aborted.
    """
    traffic.fleet.answer_tokens, traffic.fleet.token_time = TOKENS, TOKEN_TIME
    answers: list[httpx.Response] = []
    async with anyio.create_task_group() as tasks:

        async def write() -> None:
            await wait_for(lambda: any(len(run.tokens) > 5 for run in traffic.fleet.runs))
            write_long(traffic, 2, 1500)
            await anyio.sleep(CHANGE_TIME)
            write_long(traffic, 3, 1400)

        tasks.start_soon(write)
        with suppress(httpx.RemoteProtocolError):
            answers.append(await traffic.ask("/letter/1", X_Deadline_Ms=DEADLINE, X_Request_Id=REQUEST))
    return answers[0] if answers else None


async def test_full_link_is_not_taken_for_the_loss_of_servers(narrow: Traffic) -> None:
    await narrow.add_chains()
    answer = await ask_through_long_configurations(narrow)
    link = narrow.nodes[0].link
    assert link is not None
    assert max(end - start for start, end in link.waits) > TRANSFER * 0.8
    steps = (await narrow.nodes[0].wait_for_log(REQUEST))["steps"]
    assert not [step for step in steps if "lost" in step], steps
    assert answer is not None, steps
    assert answer.status_code == 200
    assert list_ids(answer.text) == list(range(1, TOKENS + 1))
    assert len(narrow.fleet.runs) == 1
    assert_layers_once_in_order(narrow.fleet)
