"""A few relays ask the store for all nodes, and all bounds hold when a relay is lost, frozen or cut off."""

from __future__ import annotations

import random
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import anyio
import httpx
import pytest

from rig.ports import find_port
from rig.traffic import Node, Traffic, open_traffic
from standins.platform.operator import HOST, KEY, configure, make_configuration
from standins.platform.store import Mode
from standins.platform.wire import Exchange
from vaneturn_core.traffic.relays import RelayTimes

pytestmark = pytest.mark.anyio

NODES = 5
WATCH = ("GET", "/api/kv-watch")
CONTACT_TIME = 3.0  # seconds after a store outage until all nodes must be in touch again
HEARD_AGE = 2.5  # seconds since the last confirmation by the store from which a node counts as out of touch
DRAIN_TIME = 2.0  # seconds after which no node may send requests to a leaving server
LONG_ROUTES = 60  # routes of a configuration that is too long to be included in changes without compression
LONGEST_ROUTES = 1200  # routes of a configuration that is too long even when compressed


@pytest.fixture
async def traffic(tmp_path: Path) -> AsyncIterator[Traffic]:
    async with open_traffic(tmp_path, nodes=NODES) as made:
        await made.add_desk()
        await wait_for_relays(made)
        yield made


async def read_states(traffic: Traffic) -> list[dict[str, Any]]:
    """Read the state of each node that answers."""
    states = []
    for node in traffic.nodes:
        if node.process.popen.poll() is None:
            state = await traffic.client.get(f"http://127.0.0.1:{node.metrics_port}/state", timeout=5.0)
            states.append(state.json())
    return states


async def read_relays(traffic: Traffic) -> list[str | None]:
    """Read the relay of each node that answers."""
    return [state["relay"] for state in await read_states(traffic)]


async def wait_for_relays(traffic: Traffic) -> None:
    with anyio.fail_after(20):
        while True:
            if sum(relay is not None for relay in await read_relays(traffic)) == NODES - 2:
                return
            await anyio.sleep(0.1)


async def wait_until_heard(traffic: Traffic) -> None:
    """Wait until the state of every node is confirmed, as even a relay may still be in a call begun in the outage."""
    with anyio.fail_after(CONTACT_TIME):
        while True:
            if all(state["age"] < HEARD_AGE for state in await read_states(traffic)):
                return
            await anyio.sleep(0.1)


async def find_relay(traffic: Traffic) -> Node:
    """Find the relay that most nodes ask."""
    relays = [relay for relay in await read_relays(traffic) if relay is not None]
    return traffic.nodes[int(max(set(relays), key=relays.count).removeprefix("entry-")) - 1]


def make_long_configuration(version: int) -> dict[str, Any]:
    routes = make_configuration(1)["routes"]
    added = [
        {**routes[3], "name": f"check-{number}", "path_prefix": f"/more-{number}/"} for number in range(LONG_ROUTES)
    ]
    return make_configuration(version, routes=[*routes, *added])


def make_longest_configuration(version: int, timeout: int = 1500) -> dict[str, Any]:
    """Make a configuration that is too long for the changes even when compressed."""
    routes = make_configuration(1)["routes"]
    texts = random.Random(1)
    added = [
        {
            **routes[3],
            "name": texts.randbytes(12).hex(),
            "path_prefix": f"/more-{number}/",
            "timeout_ms": timeout + number,
        }
        for number in range(LONGEST_ROUTES)
    ]
    return make_configuration(version, routes=[*routes, *added])


async def ask_all(traffic: Traffic, left_out: Node | None = None) -> list[httpx.Response]:
    numbers = [number for number, node in enumerate(traffic.nodes) if node is not left_out]
    return [await traffic.ask("/check/1", method="GET", node=number) for number in numbers]


async def leave(traffic: Traffic) -> None:
    """Remove the only plain server without notice, and add another."""
    old = next(server for server in traffic.fleet.servers.values() if server.service == "desk")
    await traffic.fleet.add(f"127.0.0.1:{find_port()}", "desk", "east", None)
    traffic.fleet.store.remove(f"servers/{old.id}")


async def assert_all_use_the_new_server(traffic: Traffic, left_out: Node | None = None) -> None:
    for answer in await ask_all(traffic, left_out):
        assert answer.status_code == httpx.codes.OK
    newest = list(traffic.fleet.servers.values())[-1]
    asked = NODES - (left_out is not None)
    assert [run.server for run in traffic.fleet.runs[-asked:]] == [newest.id] * asked


async def test_two_nodes_ask_the_store_for_all(traffic: Traffic) -> None:
    calls = traffic.fleet.store.calls
    calls.clear()
    await anyio.sleep(4.0)
    assert 0 < calls.count(WATCH) <= 2 * 4.0 / 0.8 + 2


async def test_leaving_server_is_known_everywhere_at_once(traffic: Traffic) -> None:
    await leave(traffic)
    await anyio.sleep(0.5)
    await assert_all_use_the_new_server(traffic)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP], ids=["killed", "frozen"])
async def test_leaving_server_is_known_in_time_though_the_relay_is_lost(
    traffic: Traffic, number: signal.Signals
) -> None:
    relay = await find_relay(traffic)
    relay.process.send(number)
    await leave(traffic)
    await anyio.sleep(DRAIN_TIME - 0.3)
    await assert_all_use_the_new_server(traffic, left_out=relay)
    relay.process.send(signal.SIGCONT)


@pytest.mark.parametrize("mode", [Mode.SILENT, Mode.BUSY], ids=["silent", "refused"])
async def test_relay_that_the_store_turns_away_is_left(traffic: Traffic, mode: Mode) -> None:
    """A server leaves right after the relay was cut off from the store, which the other nodes can reach."""
    relay = await find_relay(traffic)

    def treat(exchange: Exchange) -> Mode | None:
        return mode if exchange.call.headers["host"] == relay.store_address else None

    traffic.fleet.store.choose_mode = treat
    await anyio.sleep(1.0)  # the current watch was accepted before the cut
    await leave(traffic)
    await anyio.sleep(DRAIN_TIME - 0.3)
    await assert_all_use_the_new_server(traffic, left_out=relay)


async def test_long_configuration_reaches_all_nodes(traffic: Traffic) -> None:
    routes = make_configuration(1)["routes"]
    added = [
        {**routes[3], "name": f"check-{number}", "path_prefix": f"/more-{number}/"} for number in range(LONG_ROUTES)
    ]
    configure(traffic.fleet.store, make_configuration(2, routes=[*routes, *added]))
    await anyio.sleep(1.0)
    for number in range(NODES):
        answer = await traffic.ask("/more-7/1", method="GET", node=number)
        assert answer.status_code == httpx.codes.OK


async def test_relay_is_kept_while_a_long_value_arrives_there(traffic: Traffic) -> None:
    """Otherwise 57 nodes leave both relays and read 545 KB from the store at once, which delays tokens by over 0.16 s.

    The value is written just before the end of a watch, and takes longer than the remaining hold time of the relays.
    """
    times = RelayTimes.derive(DRAIN_TIME)
    relays = {
        node.store_address for node, relay in zip(traffic.nodes, await read_relays(traffic), strict=True) if not relay
    }
    watches: list[str] = []

    def treat(exchange: Exchange) -> None:
        if (exchange.call.method, exchange.call.path) == WATCH:
            watches.append(exchange.call.headers["host"])

    store = traffic.fleet.store
    store.body_time = 0.25
    store.put("other", b"from here on all watch and ask at the same time")
    await anyio.sleep(times.gather + times.watch - 0.1)
    store.choose_mode = treat
    configure(store, make_long_configuration(2))
    await anyio.sleep(1.0)
    assert set(watches) == relays
    for answer in [await traffic.ask("/more-7/1", method="GET", node=number) for number in range(NODES)]:
        assert answer.status_code == httpx.codes.OK


async def test_long_configurations_are_read_from_the_store_by_relays_alone(traffic: Traffic) -> None:
    """Otherwise 59 nodes read 545 KB from the store at once, which fills their links for 0.25 s and longer."""
    store = traffic.fleet.store
    store.calls.clear()
    for version, timeout in enumerate((1500, 1400), start=2):
        configure(store, make_longest_configuration(version, timeout))
        await anyio.sleep(1.5)
    answers = [await traffic.ask("/more-7/1", method="GET", node=number) for number in range(NODES)]
    assert [answer.status_code for answer in answers] == [httpx.codes.OK] * NODES
    assert ("GET", "/api/kv-key") not in store.calls
    lines = [line for node in traffic.nodes for line in node.read_log()]
    assert (
        sorted(line["version"] for line in lines if line["message"] == "configuration in force")[-NODES:] == [3] * NODES
    )


async def test_node_that_the_store_turns_away_gets_a_long_configuration_from_its_relay(traffic: Traffic) -> None:
    """Otherwise it leaves one relay after the other, as it cannot read the value that their changes do not include."""
    relays = await read_relays(traffic)
    number = next(number for number, relay in enumerate(relays) if relay is not None)
    node = traffic.nodes[number]

    def treat(exchange: Exchange) -> Mode | None:
        return Mode.BUSY if exchange.call.headers["host"] == node.store_address else None

    traffic.fleet.store.choose_mode = treat
    configure(traffic.fleet.store, make_longest_configuration(2))
    await anyio.sleep(6.0)  # longer than keys are valid without confirmation by the store
    answer = await traffic.ask("/more-7/1", method="GET", node=number)
    assert answer.status_code == httpx.codes.OK


async def test_taken_key_is_refused_by_all_nodes(traffic: Traffic) -> None:
    configure(traffic.fleet.store, make_configuration(2, tenants=[{"name": "broker", "api_keys": ["other"]}]))
    await anyio.sleep(1.0)
    assert [answer.status_code for answer in await ask_all(traffic)] == [httpx.codes.UNAUTHORIZED] * NODES


async def test_outage_of_the_store_closes_keys_in_time_on_all_nodes(traffic: Traffic) -> None:
    traffic.fleet.store.set_mode(Mode.SILENT)
    await anyio.sleep(5.0)
    answers = await ask_all(traffic)
    assert [answer.status_code for answer in answers] == [httpx.codes.SERVICE_UNAVAILABLE] * NODES
    traffic.fleet.store.set_mode(Mode.HEALTHY)
    await wait_for_relays(traffic)
    await wait_until_heard(traffic)
    assert [answer.status_code for answer in await ask_all(traffic)] == [httpx.codes.OK] * NODES


async def test_unknown_host_is_no_peer(traffic: Traffic) -> None:
    answer = await traffic.client.get(f"http://127.0.0.1:{traffic.nodes[0].peer_port}/other", headers={"Host": HOST})
    assert answer.status_code == httpx.codes.NOT_FOUND
    assert KEY not in answer.text
