"""The demonstration on the users' platform: a streamed answer over two halls, one server lost on the way."""

from __future__ import annotations

import re
import tempfile
from pathlib import Path

import anyio
import anyio.to_thread

from rig.traffic import Traffic, open_traffic, wait_for
from vaneturn_cli.commands import main as run_command

TOKENS = 40


async def lose_second_part(traffic: Traffic) -> None:
    """Make a server of the chain under way fall silent."""
    await wait_for(lambda: any(run.tokens for run in traffic.fleet.runs))
    part = traffic.fleet.runs[0].tokens[0][-1]
    print(f"server at {part.address} falls silent, it ran layers [{part.first},{part.end})")
    traffic.fleet.servers[part.address].is_unresponsive = True


async def run_demo() -> bool:
    with tempfile.TemporaryDirectory() as folder:
        async with open_traffic(Path(folder)) as traffic:
            await traffic.add_chains()
            traffic.fleet.answer_tokens = TOKENS
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lose_second_part, traffic)
                answer = await traffic.ask("/letter/1", X_Deadline_Ms="15000", X_Request_Id="demo")
            ids = [int(found) for found in re.findall(r"^id: (\d+)$", answer.text, re.MULTILINE)]
            is_whole = ids == list(range(1, TOKENS + 1))
            print(f"platform: status {answer.status_code}, {len(ids)} events, {'whole' if is_whole else 'BROKEN'}")
            chains = [chain for run in traffic.fleet.runs for chain in run.tokens]
            layers = [[layer for part in chain for layer in range(part.first, part.end)] for chain in chains]
            are_right = all(one == list(range(traffic.fleet.layers)) for one in layers)
            print(f"each layer once and in order for {len(chains)} tokens: {'yes' if are_right else 'NO'}")
            node = f"127.0.0.1:{traffic.nodes[0].metrics_port}"
            await wait_for(lambda: any(line.get("request") == "demo" for line in traffic.nodes[0].read_log()))
            await anyio.to_thread.run_sync(run_command, ["--nodes", node, "explain", "demo"])
            return is_whole and are_right


__all__ = ["run_demo"]
