"""Operators' commands against running nodes: the state with its age, and the steps of a request."""

from __future__ import annotations

import anyio.to_thread
import pytest

from rig.traffic import Traffic, wait_for
from vaneturn_cli.commands import main as run_command
from vaneturn_cli.exits import Exit

pytestmark = pytest.mark.anyio


async def run(traffic: Traffic, *arguments: str) -> int:
    nodes = ",".join(f"127.0.0.1:{node.metrics_port}" for node in traffic.nodes)
    return await anyio.to_thread.run_sync(run_command, ["--nodes", nodes, *arguments])


async def test_state_shows_servers_and_layers(traffic: Traffic, capsys: pytest.CaptureFixture[str]) -> None:
    servers = await traffic.add_chains(halls=("east",))
    assert await run(traffic, "traffic") == Exit.DONE
    shown = capsys.readouterr().out
    assert all(server.id in shown for server in servers)
    assert "[0,4)" in shown
    assert "entry-1" in shown


async def test_request_is_explained_step_by_step(traffic: Traffic, capsys: pytest.CaptureFixture[str]) -> None:
    desk = await traffic.add_desk()
    await traffic.ask("/once/1", X_Request_Id="mine")
    await wait_for(lambda: any(line.get("request") == "mine" for line in traffic.nodes[0].read_log()))
    assert await run(traffic, "explain", "mine") == Exit.DONE
    shown = capsys.readouterr().out
    assert "request mine: status 200" in shown
    assert f"{desk.id} answered 200" in shown


async def test_unknown_request_and_absent_node_have_exit_codes_of_their_own(
    traffic: Traffic, capsys: pytest.CaptureFixture[str]
) -> None:
    assert await run(traffic, "explain", "nobodys") == Exit.DIFFERENT_OR_UNKNOWN
    traffic.nodes[0].process.kill()
    assert await run(traffic, "traffic") == Exit.NO_ANSWER
    assert "no answer from 127.0.0.1" in capsys.readouterr().err
