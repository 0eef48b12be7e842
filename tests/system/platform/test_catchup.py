"""A node that missed many versions of a long configuration must serve again.

The store answers its watch with every version since the revision that the node knows. Twelve versions of 626,500 bytes
take 6 s over a 10 Mbit/s link. If the watch times out 1.1 s after its wait although bytes are arriving, the node
repeats the same, ever larger request ("answer not whole in time, 3063808 bytes of it came"), and its API keys stay too
old. The log then showed "store lost" with that cause and age 8.978, and no "store regained" after it. So when the watch
times out while its answer is arriving, the node reads the latest values instead, as it does at its start. Reads last as
long as bytes arrive: the longest value that the store takes needs 1.1 s over such a link, more than a fixed timeout of
1.0 s.
"""

from __future__ import annotations

import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path

import anyio
import pytest

from rig.traffic import Traffic, open_traffic
from system.platform.test_narrowlink import LINK_RATE, write_long

pytestmark = pytest.mark.anyio

LONGEST_ROUTES = 4400  # a configuration of 1.03 MB; the store takes 1.05 MB
VERSIONS = 12  # of 626,500 bytes each; all of them take 6 s over the link
MANY_VERSIONS = 16  # together longer than any answer that a node takes, however fast its link is
CUT_TIME = 5.0  # seconds; the API keys are too old by then
RECOVERY_TIME = 12.0  # seconds; the required bound `recover_s`


@pytest.fixture
async def narrow(tmp_path: Path) -> AsyncIterator[Traffic]:
    async with open_traffic(tmp_path, link_rate=LINK_RATE) as made:
        yield made


async def miss_changes(traffic: Traffic) -> None:
    """Freeze the node while the long configuration is written several times."""
    node = traffic.nodes[0]
    node.process.send(signal.SIGSTOP)
    for version in range(2, 2 + VERSIONS):
        write_long(traffic, version, 1400 + version)
    await anyio.sleep(6.0)  # until the API keys are too old
    node.process.send(signal.SIGCONT)


async def test_node_that_missed_many_long_versions_serves_again(narrow: Traffic) -> None:
    await narrow.add_desk()
    assert (await narrow.ask("/check/1")).status_code == 200
    await miss_changes(narrow)
    await require_recovery(narrow)


async def require_recovery(traffic: Traffic) -> None:
    until = time.monotonic() + RECOVERY_TIME
    answer = await traffic.ask("/check/1")
    while answer.status_code != 200 and time.monotonic() < until:
        await anyio.sleep(0.2)
        answer = await traffic.ask("/check/1")
    assert answer.status_code == 200, answer.text


async def test_node_that_missed_more_than_an_answer_may_hold_serves_again(traffic: Traffic) -> None:
    """It rejected the answer to its watch as too long and asked for it again, for as long as the store kept it."""
    await traffic.add_desk()
    path = traffic.nodes[0].store_path
    path.cut()
    for version in range(2, 2 + MANY_VERSIONS):
        write_long(traffic, version, 1400 + version)
    await anyio.sleep(CUT_TIME)
    path.heal()
    await require_recovery(traffic)
    rejected = [line for line in traffic.nodes[0].read_log() if line["message"] == "store watch rejected"]
    assert [line["reason"] for line in rejected] == ["too long"]


async def test_node_reads_the_longest_value_over_the_slowest_link(narrow: Traffic) -> None:
    await narrow.add_desk()
    write_long(narrow, 2, 1400, more_routes=LONGEST_ROUTES)
    assert len(narrow.fleet.store.items["op/config"].value) > 1_000_000
    narrow.nodes[0].restart()
    await narrow.nodes[0].wait_until_ready(narrow.client)
    assert (await narrow.ask("/check/1")).status_code == 200
