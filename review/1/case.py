"""Sound runners whose answers take 0.26 to 0.36 s; those of one of them lack a length and end with their connection."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from deployment import Deployment, KeptClient, Record, has_trouble, list_lost, open_deployment, restart_ended, run_case
from standins.platform.operator import configure, make_configuration
from standins.platform.servers import Run, Server
from standins.platform.wire import Exchange

KEPT_CLIENTS = 12  # of each node
PLAY_S = 80.0  # at most; the case ends when the rule is broken
WORK_S = (0.26, 0.36)  # of a request; the sheet has up to 0.45 s
ROUTE = {"slo_ms": 300, "timeout_ms": 800, "max_attempts": 2}  # of the safe requests of the site
SEED = 1


class PlainRunner:
    """Answers each request whole, after a time drawn for it."""

    def __init__(self, server: Server, rng: random.Random, *, has_length: bool) -> None:
        self._rng = rng
        self._has_length = has_length
        self.answers = 0
        server.work_time = 0.0
        server.fault_handler = self.answer  # in place of the stand-in's own answer

    async def answer(self, exchange: Exchange, run: Run) -> None:
        await asyncio.sleep(self._rng.uniform(*WORK_S))
        self.answers += 1
        body = b"answer to " + run.request.encode()
        headers = {"X-Request-Id": run.request, "X-Response-Seal": f"seal-{run.server}", "X-Instance-Load": "1,0,6"}
        if self._has_length:
            await exchange.reply(200, headers, body)
            return
        lines = [f"{name}: {value}" for name, value in {**headers, "Connection": "close"}.items()]
        await exchange.send_raw(("\r\n".join(["HTTP/1.1 200 OK", *lines]) + "\r\n\r\n").encode() + body)
        await exchange.close()


async def play(deployment: Deployment, record: Record) -> bool:
    fleet, nodes = deployment.fleet, deployment.nodes
    configuration = make_configuration(2)
    next(route for route in configuration["routes"] if route["name"] == "check").update(ROUTE)
    configure(fleet.store, configuration)
    desks = await deployment.add_runners("desk", ["east", "east", "west"], None)
    rng = random.Random(SEED)
    runners = [PlainRunner(desk, rng, has_length=desk is not desks[0] or not has_trouble()) for desk in desks]
    record.write(f"answers of runner {desks[0].id} {'lack a' if has_trouble() else 'have a'} length")
    clients = [KeptClient(f"{node.name}-{one}", node, record) for node in nodes for one in range(KEPT_CLIENTS)]
    until = record.now + PLAY_S
    restarting = asyncio.create_task(restart_ended(nodes, record))
    serving = [asyncio.create_task(client.run(until)) for client in clients]
    while record.now < until and not any(node.exits for node in nodes):
        await asyncio.sleep(0.2)
    await asyncio.sleep(1.5)
    for task in (*serving, restarting):
        task.cancel()
    await asyncio.gather(*serving, restarting, return_exceptions=True)
    record.write(f"answers of the runners: {[runner.answers for runner in runners]}")
    lost = list_lost(clients, fleet, record)
    record.write(f"processes that ended by themselves: {sum(len(node.exits) for node in nodes)}")
    return len(lost) > 3


async def main(record: Record) -> bool:
    async with open_deployment(3) as deployment:
        return await play(deployment, record)


run_case(main, Path(__file__).parent)
