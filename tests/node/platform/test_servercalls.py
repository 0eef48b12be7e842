"""The answer to a call is told from one to a request of a client, which may arrive in its place."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from core.traffic.samples import make_server
from rig.ports import find_port
from standins.platform.wire import Exchange, serve
from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.servers import BackendServer, ServerAddress
from vaneturn_node.http1.caller import Caller, Failed
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.servers import OrderOutcome, ServerCalls

pytestmark = pytest.mark.anyio

SURPLUS = {"X-Request-Id": "r-1", "X-Not-Executed": "1"}


@asynccontextmanager
async def open_server(status: int, headers: dict[str, str]) -> AsyncIterator[BackendServer]:
    """Open a server that gives the same answer to every call."""
    address = f"127.0.0.1:{find_port()}"

    async def answer(exchange: Exchange) -> None:
        await exchange.reply(status, headers)

    async with anyio.create_task_group() as tasks:
        await serve(address, answer, tasks)
        yield dataclasses.replace(make_server(1, "a100", layers=(0, 80)), address=ServerAddress(address))
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(("headers", "is_gone"), [({}, True), (SURPLUS, False)], ids=["its answer", "surplus"])
async def test_surplus_answer_does_not_say_that_another_server_has_the_address(
    headers: dict[str, str], *, is_gone: bool
) -> None:
    """A sound server counted as gone."""
    async with open_server(421, headers) as server:
        report = await ServerCalls(Caller(LinkPool())).read_report(server)
    assert isinstance(report, Failed)
    assert report.is_gone is is_gone


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [({}, OrderOutcome.NOT_FOUND), (SURPLUS, OrderOutcome.UNKNOWN)],
    ids=["its answer", "surplus"],
)
async def test_surplus_answer_does_not_say_what_became_of_an_order(
    headers: dict[str, str], outcome: OrderOutcome
) -> None:
    """A server was believed not to run a request that it ran."""
    async with open_server(404, headers) as server:
        assert await ServerCalls(Caller(LinkPool())).reroute_request(server, RequestId("r-2"), []) is outcome


async def test_connection_with_a_surplus_answer_is_not_used_again() -> None:
    pool = LinkPool()
    async with open_server(200, SURPLUS) as server:
        assert isinstance(await ServerCalls(Caller(pool)).read_report(server), Failed)
        assert await pool.take_idle(server.address) is None
