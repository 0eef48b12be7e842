"""The retry budget of a service, as its servers, its clients and the operators see it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import pytest

from rig.traffic import START_TIME, Traffic, list_ids, open_traffic, wait_for
from standins.platform.servers import Run, Server
from standins.platform.wire import Exchange
from standins.vm import CutKind
from vaneturn_cli.commands import main as run_command
from vaneturn_cli.exits import Exit
from vaneturn_core.traffic.ratelimits import SETTLE_TIME_S
from vaneturn_core.traffic.retries import MAX_ARRIVAL_DELAY_S

pytestmark = pytest.mark.anyio

REQUESTS = 8


async def refuse(exchange: Exchange, run: Run) -> None:
    await exchange.reply(503, {"X-Not-Executed": "1", "X-Request-Id": run.request})


async def ask_refusing_servers(traffic: Traffic) -> None:
    for _ in range(3):
        (await traffic.add_desk()).fault_handler = refuse
    for number in range(REQUESTS):
        assert (await traffic.ask("/once/1", X_Request_Id=f"call-{number}")).status_code == 503


async def test_operators_see_what_the_budget_was_spent_on(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async with open_traffic(tmp_path, retry_slack=0.0, retry_ratio=0.5) as traffic:
        await ask_refusing_servers(traffic)
        retries = len(traffic.fleet.runs) - REQUESTS
        metrics_port = traffic.nodes[0].metrics_port
        metrics = (await traffic.client.get(f"http://127.0.0.1:{metrics_port}/metrics")).text
        assert f'vaneturn_retries_total{{outcome="sent",reason="refused",service="desk"}} {retries:.1f}' in metrics
        assert 'vaneturn_retries_total{outcome="declined",reason="refused",service="desk"}' in metrics
        lines: list[dict[str, Any]] = traffic.nodes[0].read_log()
        declined = next(line for line in lines if line["message"] == "retry budget used up")
        assert (declined["service"], declined["reason"]) == ("desk", "refused")
        arguments = ["--nodes", f"127.0.0.1:{metrics_port}", "traffic"]
        assert await anyio.to_thread.run_sync(run_command, arguments) == Exit.DONE
        shown = capsys.readouterr().out
        assert "retry budgets" in shown
        assert f"refused: {retries}" in shown


async def test_answer_at_a_node_that_has_just_started_is_resumed_by_another_node(tmp_path: Path) -> None:
    """It waited for a retry of its own node until its deadline, and was broken off with all the work done for it."""
    bounds = {"retry_ratio": 0.0, "retry_slack": 3.0, "retry_window_s": 0.5}
    async with open_traffic(tmp_path, nodes=1, **bounds) as traffic:
        await anyio.sleep(SETTLE_TIME_S + MAX_ARRIVAL_DELAY_S + 1.0)  # until the first node has its whole part
        await traffic.start_node()
        servers = await traffic.add_chains()
        traffic.fleet.answer_tokens = 50
        answers: list[list[int]] = []

        async def ask() -> None:
            answers.append(list_ids((await traffic.ask("/letter/1", node=1, X_Request_Id="moved")).text))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await wait_for(lambda: any(len(run.tokens) > 10 for run in traffic.fleet.runs))
            first = traffic.fleet.runs[0].server
            await next(server for server in servers if server.id == first).crash()
        assert answers == [list(range(1, 51))]
        steps = (await traffic.nodes[1].wait_for_log("moved"))["steps"]
        assert any("retry budget used up" in step for step in steps)
        assert any("forwarded to entry-1" in step for step in steps)


async def use_up_retries(traffic: Traffic, servers: list[Server]) -> None:
    """Let servers refuse requests to the first node until it has no retry left."""
    for server in servers:
        server.refused_share = 1.0
    with anyio.fail_after(START_TIME):
        while not any(line["message"] == "retry budget used up" for line in traffic.nodes[0].read_log()):
            await traffic.ask("/letter/1")
            await anyio.sleep(0.05)
    for server in servers:
        server.refused_share = 0.0


async def test_answer_at_a_node_without_a_path_is_resumed_by_one_without_retries(tmp_path: Path) -> None:
    """The other node declined it again and again, while the retries of its own node lay idle."""
    bounds = {"retry_ratio": 0.0, "retry_slack": 20.0}
    async with open_traffic(tmp_path, nodes=2, link_rate=125_000_000.0, **bounds) as traffic:
        servers = await traffic.add_chains()
        await use_up_retries(traffic, servers)
        traffic.fleet.answer_tokens, traffic.fleet.token_time = 60, 0.02
        answers: list[list[int]] = []

        async def ask() -> None:
            answers.append(list_ids((await traffic.ask("/letter/1", node=1, X_Request_Id="moved")).text))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await wait_for(lambda: any(len(run.tokens) > 10 for run in traffic.fleet.find_runs("moved")))
            traffic.cut_off(traffic.nodes[1], CutKind.SILENT)
        assert answers == [list(range(1, 61))]
        assert len(traffic.fleet.find_runs("moved")) == 2
