"""The store is restored from an older copy: revisions are given out again, and no change may be hidden by that."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import anyio
import httpx
import pytest

from rig.traffic import Node, Traffic, open_traffic
from standins.platform.operator import configure, make_configuration
from standins.platform.store import Mode

pytestmark = pytest.mark.anyio

NODES = 5
OUTAGE_TIME = 1.0  # seconds
LOST_WRITES = 20  # of nodes, since the copy
DRAIN_TIME = 2.0  # seconds after which no node may send requests to a leaving server
KEY_REMOVAL_TIME = 5.0  # seconds after which no node may accept a removed key
RELAYS_ASKED_TIME = 2.0  # seconds after a restore, in which a node asks its relays again
RECENT_AGE = 1.5  # seconds since the last confirmation of the view


@pytest.fixture
async def traffic(tmp_path: Path) -> AsyncIterator[Traffic]:
    async with open_traffic(tmp_path, nodes=NODES) as made:
        await made.add_desk()
        await made.add_desk()
        await wait_for_relays(made)
        yield made


async def read_states(traffic: Traffic) -> list[dict[str, Any]]:
    answers = [await traffic.client.get(f"http://127.0.0.1:{node.metrics_port}/state") for node in traffic.nodes]
    return [answer.json() for answer in answers]


async def wait_for_relays(traffic: Traffic) -> None:
    with anyio.fail_after(20):
        while True:
            states = await read_states(traffic)
            if len(list_followers(traffic, states)) == NODES - 2 and all(state["age"] < RECENT_AGE for state in states):
                return
            await anyio.sleep(0.1)


def list_followers(traffic: Traffic, states: list[dict[str, Any]]) -> list[Node]:
    """List the nodes that get changes from a relay."""
    return [node for node, state in zip(traffic.nodes, states, strict=True) if state["relay"] is not None]


async def restore_store(traffic: Traffic) -> None:
    """Restore the store from a copy that lacks the latest writes of nodes, which all nodes have read.

    From then on the store turns away the nodes that follow relays, so that none of them reads the whole state; if it
    states no epoch, only until they have asked their relays.
    """
    store = traffic.fleet.store
    turned_away = {node.store_address for node in list_followers(traffic, await read_states(traffic))}
    store.choose_mode = lambda exchange: Mode.BUSY if exchange.call.headers["host"] in turned_away else None
    saved = store.copy()
    for number in range(LOST_WRITES):
        store.put("vaneturn/other", str(number).encode())
    await anyio.sleep(0.5)
    store.set_mode(Mode.RESET)
    await anyio.sleep(OUTAGE_TIME)
    store.restore(saved)
    store.set_mode(Mode.HEALTHY)
    if store.epoch is None:
        await anyio.sleep(RELAYS_ASKED_TIME)
        turned_away.clear()
    await wait_for_relays(traffic)


async def ask_all(traffic: Traffic, **headers: str) -> list[httpx.Response]:
    return [await traffic.ask("/check/1", method="GET", node=number, **headers) for number in range(NODES)]


@pytest.mark.parametrize("epoch", [1, None], ids=["epoch stated", "no epoch stated"])
async def test_leaving_server_gets_no_requests_after_the_store_was_restored(
    traffic: Traffic, epoch: int | None
) -> None:
    """Nodes that stood at a later revision missed the leave, because its revision had been given out before."""
    traffic.fleet.store.epoch = epoch
    await restore_store(traffic)
    leaving = next(iter(traffic.fleet.servers.values()))
    leaving.state = "draining"
    leaving.announce()
    await anyio.sleep(DRAIN_TIME)
    left_at = len(traffic.fleet.runs)
    for _ in range(10):
        assert {answer.status_code for answer in await ask_all(traffic)} == {httpx.codes.OK}
    assert leaving.id not in {run.server for run in traffic.fleet.runs[left_at:]}


@pytest.mark.parametrize("epoch", [1, None], ids=["epoch stated", "no epoch stated"])
async def test_removed_key_is_rejected_after_the_store_was_restored(traffic: Traffic, epoch: int | None) -> None:
    """The change that removed the key had a revision that nodes already stood at, so that they kept the key."""
    traffic.fleet.store.epoch = epoch
    await restore_store(traffic)
    configure(traffic.fleet.store, make_configuration(2, tenants=[{"name": "broker", "api_keys": ["other"]}]))
    await anyio.sleep(KEY_REMOVAL_TIME)
    assert {answer.status_code for answer in await ask_all(traffic)} == {httpx.codes.UNAUTHORIZED}
    assert {answer.status_code for answer in await ask_all(traffic, Authorization="Token other")} == {httpx.codes.OK}


async def test_restore_is_logged_and_counted_in_the_epoch_of_each_node(traffic: Traffic) -> None:
    traffic.fleet.store.epoch = 1
    await wait_for_epoch(traffic, 1)
    await restore_store(traffic)
    await wait_for_epoch(traffic, 2)
    for node in traffic.nodes:
        last = [line for line in node.read_log() if line["message"] == "store restored from an older copy"][-1]
        assert (last["known_epoch"], last["epoch"]) == (1, 2)
        assert last["known_revision"] > last["revision"]


async def wait_for_epoch(traffic: Traffic, epoch: int) -> None:
    with anyio.fail_after(20):
        while True:
            texts = [
                await traffic.client.get(f"http://127.0.0.1:{node.metrics_port}/metrics") for node in traffic.nodes
            ]
            if all(f"vaneturn_store_epoch {epoch}.0" in text.text for text in texts):
                return
            await anyio.sleep(0.1)
