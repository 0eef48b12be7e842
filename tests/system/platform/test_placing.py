"""Orders to servers: sent by one holder of the tenure, fenced, and conditional on the number of orders begun."""

from __future__ import annotations

import signal
from pathlib import Path

import anyio
import pytest

from rig.ports import find_port
from rig.traffic import Traffic, open_traffic, wait_for
from standins.platform.servers import Server
from standins.platform.store import Mode

pytestmark = pytest.mark.anyio


async def test_two_nodes_order_each_server_once(tmp_path: Path) -> None:
    async with open_traffic(tmp_path, nodes=2) as traffic:
        servers = await traffic.add_chains()
        await anyio.sleep(1.0)
        assert [server.orders for server in servers] == [1, 1, 1, 1]


async def test_late_order_changes_nothing_after_a_newer_one(traffic: Traffic) -> None:
    servers = []
    for hall in ("east", "west"):
        server = await traffic.fleet.add(f"127.0.0.1:{find_port()}", "llm", hall, "big")
        server.order_delay = 3.0  # longer than until the order is repeated
        servers.append(server)
    await anyio.sleep(2.2)
    for server in servers:
        server.order_delay = 0.0
    await wait_for(lambda: all(server.held for server in servers))
    await anyio.sleep(3.0)
    assert [server.orders for server in servers] == [1, 1]


async def test_holder_that_stops_leaves_the_tenure_to_the_other(tmp_path: Path) -> None:
    async with open_traffic(tmp_path, nodes=2) as traffic:
        servers = await traffic.add_chains(halls=("east",))
        fence = servers[0].fence
        log = traffic.nodes[0].read_log()
        holder = 0 if any(line["message"] == "tenure taken" for line in log) else 1
        traffic.nodes[holder].process.send(signal.SIGTERM)
        added = await traffic.add_chains(halls=("west",))
        assert all(server.fence > fence for server in added)


async def test_no_order_without_the_store(traffic: Traffic) -> None:
    await traffic.add_chains(halls=("east",))
    server = await traffic.fleet.add(f"127.0.0.1:{find_port()}", "llm", "west", "big")
    server.is_unresponsive = True  # listed, and without an order yet
    await anyio.sleep(0.5)
    traffic.fleet.store.set_mode(Mode.SILENT)
    await anyio.sleep(4.5)  # longer than the lease
    server.is_unresponsive = False
    await anyio.sleep(2.0)
    assert server.orders == 0


async def test_gap_is_filled_while_servers_keep_appearing(traffic: Traffic) -> None:
    """Orders that fill a gap must not wait until no new server appears: in a release, one appears each second."""
    servers = await traffic.add_chains()
    leaving = next(server for server in servers if server.hall == "east" and server.held == (0, 4))
    added: list[Server] = []
    async with anyio.create_task_group() as tasks:

        async def keep_adding() -> None:
            while True:
                added.append(await traffic.fleet.add(f"127.0.0.1:{find_port()}", "llm", "east", "big"))
                await anyio.sleep(0.6)

        tasks.start_soon(keep_adding)
        await anyio.sleep(0.3)
        leaving.state = "draining"
        leaving.announce()
        await wait_for(lambda: any(server.held and server.held[0] == 0 for server in added), 2.5)
        tasks.cancel_scope.cancel()
