"""Whether a server still runs after its answer has ended."""

from __future__ import annotations

import time

import anyio
import pytest

from core.traffic.samples import make_server
from node.traffic.samples import make_parts
from rig.ports import find_port
from standins.platform.wire import Exchange, Handler, serve
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.traffic.servers.liveness import Liveness

pytestmark = pytest.mark.anyio


async def check(handler: Handler | None, limit: float = 0.3) -> Liveness:
    """Check a server with the given handler; none listens without one."""
    server = make_server(1, "a100", layers=(0, 80), address=f"127.0.0.1:{find_port()}")
    parts = make_parts("entry-1", PlatformView(5.0, time.monotonic), ServerStatuses(), Caller(LinkPool()))
    async with anyio.create_task_group() as tasks:
        if handler is not None:
            await serve(server.address, handler, tasks)
        liveness = await parts.liveness.check(server, limit)
        tasks.cancel_scope.cancel()
    return liveness


async def test_server_that_reports_runs() -> None:
    assert await check(lambda exchange: exchange.reply_json(200, {"seq": 1})) is Liveness.RUNNING


async def test_server_without_reports_runs_if_it_answers() -> None:
    assert await check(lambda exchange: exchange.reply(404)) is Liveness.RUNNING


async def test_server_whose_address_refuses_connections_has_ended() -> None:
    assert await check(None) is Liveness.ENDED


async def test_server_whose_address_another_one_has_has_ended() -> None:
    assert await check(lambda exchange: exchange.reply(421)) is Liveness.ENDED


async def test_silent_server_is_asked_until_the_limit() -> None:
    asked = 0

    async def keep_silent(exchange: Exchange) -> None:
        nonlocal asked
        asked += 1
        await exchange.watch_client()

    began = time.monotonic()
    assert await check(keep_silent) is Liveness.UNKNOWN
    assert asked > 1
    assert time.monotonic() - began >= 0.3


async def test_server_that_resets_the_first_question_is_asked_again() -> None:
    """A server that has just ended resets a pooled connection; a full one resets connections too."""
    asked = 0

    async def reset_first(exchange: Exchange) -> None:
        nonlocal asked
        asked += 1
        if asked == 1:
            await exchange.reset()
        await exchange.reply_json(200, {"seq": 1})

    assert await check(reset_first) is Liveness.RUNNING


async def test_slow_server_gets_the_time_to_answer() -> None:
    async def answer_late(exchange: Exchange) -> None:
        await anyio.sleep(0.3)
        await exchange.reply_json(200, {"seq": 1})

    assert await check(answer_late, 1.0) is Liveness.RUNNING
