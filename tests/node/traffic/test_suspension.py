"""A VM was suspended for 5 s: the steady clock stood still, the store, the clients and the other nodes went on.

By the steady clock everything that the node knew was as fresh as before: it ran a request with a key that had been
taken away meanwhile, on word of the store that was 5 s old, gave orders on a tenure that had lapsed, and kept a request
on its way whose time was over.
"""

from __future__ import annotations

import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import httpx
import pytest

from rig.ports import find_port
from rig.traffic import START_TIME, Traffic, wait_for
from standins.platform.operator import configure, make_configuration
from standins.platform.servers import Run, open_fleet
from standins.platform.store import Mode
from standins.platform.wire import Exchange
from vaneturn_core.faults import Fault
from vaneturn_core.traffic.settings import load_traffic_settings
from vaneturn_node.clock import watch_suspensions
from vaneturn_node.traffic.process.daemon import TrafficNode

pytestmark = pytest.mark.anyio

SUSPENDED = 6.0  # seconds, over all bounds that the tests ask for


class Suspension:
    """The clocks of a VM that can be suspended."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.seconds = 0.0
        read = time.clock_gettime
        monkeypatch.setattr(time, "clock_gettime", lambda clock: read(clock) + self.seconds)


class Here:
    """A node in this process, so that its clocks can be changed, with its platform and a client."""

    def __init__(self, traffic: Traffic, node: TrafficNode) -> None:
        self.traffic = traffic
        self.node = node

    async def ask(self, path: str, request: str) -> httpx.Response:
        return await self.traffic.ask(path, X_Request_Id=request)


class _Door:
    """What a request is built from, in place of a process."""

    def __init__(self, client_port: int) -> None:
        self.client_port = client_port


@asynccontextmanager
async def open_here(folder: Path) -> AsyncIterator[Here]:
    store = f"127.0.0.1:{find_port()}"
    async with open_fleet(store) as fleet, httpx.AsyncClient(timeout=20.0) as client:
        configure(fleet.store, make_configuration(1))
        ports = [find_port() for _ in range(4)]
        names = ("client_address", "readiness_address", "metrics_address", "peer_address")
        settings = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)}
        path = folder / "here.json"
        path.write_text(json.dumps({"vm": "entry-1", "data_hall": "east", "store_address": store, **settings}))
        loaded = load_traffic_settings(path)
        assert not isinstance(loaded, Fault)
        node = TrafficNode(loaded, path)
        traffic = Traffic(fleet, folder, client, {})
        traffic.nodes.append(_Door(ports[0]))  # type: ignore[arg-type]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.run)
            await wait_for(node._view.is_ready, START_TIME)
            yield Here(traffic, node)
            tasks.cancel_scope.cancel()


async def test_no_keyed_request_runs_on_keys_out_of_date(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    suspension = Suspension(monkeypatch)
    async with open_here(tmp_path) as here:
        await here.traffic.add_chains()
        assert (await here.ask("/letter/1", "before")).status_code == 200
        here.traffic.fleet.store.set_mode(Mode.SILENT)  # nothing is confirmed after the waking
        suspension.seconds = SUSPENDED
        answer = await here.ask("/letter/1", "after")
        assert answer.json()["error"] == "keys_too_old"
        assert not here.traffic.fleet.find_runs("after")


async def test_no_order_on_a_lapsed_tenure(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    suspension = Suspension(monkeypatch)
    async with open_here(tmp_path) as here:
        await wait_for(here.node._tenure.is_sure)
        here.traffic.fleet.store.set_mode(Mode.SILENT)
        suspension.seconds = SUSPENDED
        assert not here.node._tenure.is_sure()


@pytest.mark.parametrize("path", ["/notice/1", "/once/1"], ids=["stream", "plain"])
async def test_request_whose_time_is_over_ends_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    suspension = Suspension(monkeypatch)
    async with open_here(tmp_path) as here:
        configuration = make_configuration(2)
        for route in configuration["routes"]:
            route["timeout_ms"] = 4000
        configure(here.traffic.fleet.store, configuration)
        servers = [*await here.traffic.add_chains(), await here.traffic.add_desk()]

        async def wait(exchange: Exchange, _run: Run) -> None:
            await exchange.watch_client()

        for server in servers:
            server.spoil = wait
        answers = []
        async with anyio.create_task_group() as tasks:

            async def ask() -> None:
                answers.append(await here.ask(path, "waits"))

            tasks.start_soon(ask)
            await wait_for(lambda: bool(here.traffic.fleet.find_runs("waits")))
            suspension.seconds = SUSPENDED
            await wait_for(lambda: bool(answers), 1.5)  # by the loop's own clock it would have 4 s
        assert answers[0].status_code == 504


async def test_connection_that_idled_through_a_suspension_is_not_used(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    suspension = Suspension(monkeypatch)
    async with open_here(tmp_path) as here:
        servers = await here.traffic.add_chains()
        report = await here.node._pool.acquire(servers[0].address)
        await report.send("GET", "/api/report", [(b"host", b"x")], b"", 1.0)
        await report.read_head(1.0)
        while await report.read_data(1.0) is not None:
            pass
        await here.node._pool.release(report, servers[0].address)
        suspension.seconds = 100.0
        assert await here.node._pool.acquire(servers[0].address) is not report


async def test_suspension_is_told_once(monkeypatch: pytest.MonkeyPatch) -> None:
    suspension = Suspension(monkeypatch)
    told: list[float] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_suspensions, told.append)
        await anyio.sleep(0.25)
        suspension.seconds = 2.5
        await anyio.sleep(0.35)
        tasks.cancel_scope.cancel()
    assert [round(seconds, 2) for seconds in told] == [2.5]


async def test_process_that_computed_for_long_is_told_from_one_that_stood_still(
    caplog: pytest.LogCaptureFixture,
) -> None:
    suspensions: list[float] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_suspensions, suspensions.append)
        await anyio.sleep(0.05)
        time.sleep(1.2)  # noqa: ASYNC251 # as a process that is not scheduled
        await anyio.sleep(0.15)
        until = time.process_time() + 1.2
        while time.process_time() < until:
            pass
        await anyio.sleep(0.15)
        tasks.cancel_scope.cancel()
    told = [record for record in caplog.records if record.message == "held up"]
    stood_still, computed = (getattr(record, "processor_seconds") for record in told)  # noqa: B009
    assert stood_still < 0.6
    assert computed > 1.0
