"""A node that was out of touch while a long configuration was written many times."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from pathlib import Path

import anyio
import pytest

from rig.traffic import Traffic, open_traffic
from system.platform.test_narrowlink import LINK_RATE, write_long

pytestmark = pytest.mark.anyio

VERSIONS = 12  # one of them is 626,500 bytes; all that were missed take 6 s of the link
RECOVERY_TIME = 12.0  # seconds; the users' bound `recover_s`


@pytest.fixture
async def narrow(tmp_path: Path) -> AsyncIterator[Traffic]:
    async with open_traffic(tmp_path, link_rate=LINK_RATE) as made:
        yield made


async def miss_changes(traffic: Traffic) -> None:
    """Freeze the node while the long configuration is written again and again."""
    node = traffic.nodes[0]
    node.process.send(signal.SIGSTOP)
    for version in range(2, 2 + VERSIONS):
        write_long(traffic, version, 1400 + version)
    await anyio.sleep(6.0)  # until the keys are too old
    node.process.send(signal.SIGCONT)


async def test_node_that_missed_many_long_versions_serves_again(narrow: Traffic) -> None:
    await narrow.add_desk()
    assert (await narrow.ask("/check/1")).status_code == 200
    await miss_changes(narrow)
    with anyio.move_on_after(RECOVERY_TIME):
        while (await narrow.ask("/check/1")).status_code != 200:
            await anyio.sleep(0.2)
    answer = await narrow.ask("/check/1")
    assert answer.status_code == 200, answer.text
