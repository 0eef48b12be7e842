"""Requests on connections that clients opened just after SIGTERM, and that rested before their first request."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from deployment import Answer, Client, Deployment, Node, Record, has_trouble, is_ready, open_deployment, run_case

EVENT_TIME_S = 0.06
EVENTS = 90
RESTING_CLIENTS = 5
STREAM_HEADERS = {"X-Model": "m", "X-Token-Usage": "100,180"}


class Platform:
    """Asks a node every second whether it is ready; after two misses it hands it no new connection."""

    def __init__(self, node: Node, record: Record) -> None:
        self._node = node
        self._record = record
        self.misses = 0

    async def run(self) -> None:
        while True:
            self.misses = 0 if await is_ready(self._node) else self.misses + 1
            if self.misses:
                self._record.write(f"platform: {self._node.name} is not ready, miss {self.misses}")
            await asyncio.sleep(1.0)

    async def connect(self) -> Client:
        assert self.misses < 2, "the platform hands the node no new connection"
        return await Client.connect(self._node.client_port)


async def ask(name: str, connection: Client, record: Record) -> Answer:
    record.write(f"client sends {name}")
    answer = await connection.ask(name, "POST", "/letter/1", body=b"x", now=lambda: record.now, **STREAM_HEADERS)
    connection.close()
    record.write(answer.describe())
    return answer


async def ask_after_rest(name: str, platform: Platform, record: Record) -> Answer:
    await asyncio.sleep(0.4)
    connection = await platform.connect()
    record.write(f"client opens a connection for {name}")
    await asyncio.sleep(3.6)
    return await ask(name, connection, record)


async def play(deployment: Deployment, record: Record) -> bool:
    fleet, node = deployment.fleet, deployment.nodes[0]
    await deployment.add_runners("llm", ["east", "east", "west", "west"], "big")
    fleet.token_time, fleet.answer_tokens = EVENT_TIME_S, EVENTS
    platform = Platform(node, record)
    asking = asyncio.create_task(platform.run())
    before = asyncio.create_task(ask("before", await platform.connect(), record))
    await asyncio.sleep(0.5)
    stopped_at = record.now
    if has_trouble():
        node.send(signal.SIGTERM)
        record.write(f"SIGTERM to {node.name}")
    rested = await asyncio.gather(
        *(ask_after_rest(f"rested-{number}", platform, record) for number in range(1, RESTING_CLIENTS + 1))
    )
    record.write_table([await before, *rested], fleet)
    asking.cancel()
    lost = []
    for answer in rested:
        runs = fleet.find_runs(answer.request)
        record.write(
            f"{answer.request}: sent {answer.sent_at - stopped_at:.2f} s, ended {answer.ended_at - stopped_at:.2f} s after"
            f" the SIGTERM; passed on to {[run.server for run in runs]}, {sum(len(run.tokens) for run in runs)} of"
            f" {EVENTS} events made, the runner broke off: {any(not run.was_cut for run in runs) and not answer.is_complete}"
        )
        if runs and not answer.is_complete and answer.sent_at - stopped_at > 3.0:
            lost.append(answer)
    return bool(lost)


async def main(record: Record) -> bool:
    async with open_deployment(3) as deployment:
        return await play(deployment, record)


run_case(main, Path(__file__).parent)
