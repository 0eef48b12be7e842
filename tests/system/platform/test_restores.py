"""The store is restored from an older copy: revisions are given out again, and no change may be hidden by that."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import anyio
import httpx
import pytest

from rig.traffic import Traffic, open_traffic
from standins.platform.operator import configure, make_configuration
from standins.platform.store import Mode

pytestmark = pytest.mark.anyio

NODES = 5
OUTAGE_TIME = 1.0  # seconds
LOST_WRITES = 4  # of nodes, since the copy
DRAIN_TIME = 2.0  # seconds after which no node may send requests to a leaving server
KEY_REMOVAL_TIME = 5.0  # seconds after which no node may accept a removed key
CONTACT_TIME = 3.0  # seconds after an outage until all nodes must be in touch again


@pytest.fixture
async def traffic(tmp_path: Path) -> AsyncIterator[Traffic]:
    async with open_traffic(tmp_path, nodes=NODES) as made:
        made.fleet.store.epoch = 1
        await made.add_desk()
        await made.add_desk()
        await wait_for_relays(made)
        yield made


async def wait_for_relays(traffic: Traffic) -> None:
    with anyio.fail_after(20):
        while True:
            if await count_followers(traffic) == NODES - 2:
                return
            await anyio.sleep(0.1)


async def count_followers(traffic: Traffic) -> int:
    states = [await traffic.client.get(f"http://127.0.0.1:{node.metrics_port}/state") for node in traffic.nodes]
    return sum(state.json()["relay"] is not None for state in states)


async def restore_store(traffic: Traffic) -> None:
    """Restore the store from a copy that lacks the latest writes of nodes, which all nodes have read."""
    store = traffic.fleet.store
    saved = store.copy()
    for number in range(LOST_WRITES):
        store.put("vaneturn/other", str(number).encode())
    await anyio.sleep(0.5)
    store.set_mode(Mode.RESET)
    await anyio.sleep(OUTAGE_TIME)
    store.restore(saved)
    store.set_mode(Mode.HEALTHY)
    await anyio.sleep(CONTACT_TIME)


async def ask_all(traffic: Traffic, **headers: str) -> list[httpx.Response]:
    return [await traffic.ask("/check/1", method="GET", node=number, **headers) for number in range(NODES)]


async def test_leaving_server_gets_no_requests_after_the_store_was_restored(traffic: Traffic) -> None:
    """Nodes that stood at a later revision missed the leave, because its revision had been given out before."""
    await restore_store(traffic)
    leaving = next(iter(traffic.fleet.servers.values()))
    leaving.state = "draining"
    leaving.announce()
    await anyio.sleep(DRAIN_TIME)
    left_at = len(traffic.fleet.runs)
    for _ in range(4):
        assert {answer.status_code for answer in await ask_all(traffic)} == {httpx.codes.OK}
    assert leaving.id not in {run.server for run in traffic.fleet.runs[left_at:]}


async def test_removed_key_is_rejected_after_the_store_was_restored(traffic: Traffic) -> None:
    """The change that removed the key had a revision that nodes already stood at, so that they kept the key."""
    await restore_store(traffic)
    configure(traffic.fleet.store, make_configuration(2, tenants=[{"name": "broker", "api_keys": ["other"]}]))
    await anyio.sleep(KEY_REMOVAL_TIME)
    assert {answer.status_code for answer in await ask_all(traffic)} == {httpx.codes.UNAUTHORIZED}
    assert {answer.status_code for answer in await ask_all(traffic, Authorization="Token other")} == {httpx.codes.OK}
