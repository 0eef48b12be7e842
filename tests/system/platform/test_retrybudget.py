"""The retry budget of a service, as its servers, its clients and the operators see it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import pytest

from rig.traffic import Traffic, list_ids, open_traffic, wait_for
from standins.platform.servers import Run
from standins.platform.wire import Exchange
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
