"""A request ended each server that began to run it, and came again, at any node, under a new id.

Nothing remembered it. A node took the end of a server for the loss of one: it sent the request on to the next server,
which ended as well, and when that had failed too the client came back and another node began anew. In one recorded
day 26 first servers of chains ended so, the three halls lost theirs within 0.64 s, and each server that was back ended
under its first requests:

    "steps": ["1ms over i-38aea83532[0,8) ...", "120ms not an answer: peer closed connection without sending complete
    message body", "120ms over i-53e14f9e4f[0,24) ...", "363ms not an answer: ...", "363ms answer broken off"],
    "events": 0

The same customer and route stood so, without an event, at each of the eight ends of which the nodes' lines are kept;
the others that were there had had events before, or were whole elsewhere.
"""

from __future__ import annotations

import time
from pathlib import Path

import anyio
import httpx
import pytest

from rig.traffic import Traffic, list_ids, open_traffic

pytestmark = pytest.mark.anyio

DEADLY = b"a letter that ends servers"
MOST_SENDS = 3  # that the users allow once a request has ended three servers and nodes have had time to hear of it
HEARING_TIME = 1.0  # seconds that nodes are given for it; the users give 3


async def send_deadly(traffic: Traffic, node: int) -> int | None:
    """Send the request as a client does; gives the status, none when the answer was broken off."""
    try:
        return (await traffic.ask_for(DEADLY, "/letter/1", node)).status_code
    except httpx.HTTPError:
        return None


async def test_request_that_ends_its_servers_reaches_few_of_them(tmp_path: Path) -> None:
    async with open_traffic(tmp_path, nodes=3, retry_ratio=1.0, retry_slack=100.0) as traffic:
        await traffic.add_chains(halls=("east", "west", "north"))
        traffic.fleet.deadly = DEADLY
        third = float("inf")
        for number in range(24):
            await send_deadly(traffic, number % 3)
            await anyio.sleep(0.25)
            if third == float("inf") and len(traffic.fleet.ended) >= 3:
                third = traffic.fleet.ended[2][0]
            if time.monotonic() > third + 5:
                break
        runs = [run for run in traffic.fleet.runs if run.body == DEADLY and run.started > third + HEARING_TIME]
        assert len(runs) <= MOST_SENDS, f"{len(traffic.fleet.ended)} servers ended"
        answer = await traffic.ask("/letter/1")
        assert list_ids(answer.text) == list(range(1, 11))
