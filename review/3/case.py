"""The store cuts the waiting watches once; a second later, a runner leaves that never says `draining`."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from deployment import BOUNDS, Answer, Client, Deployment, Node, Record, has_trouble, open_deployment, run_case
from standins.platform.servers import Server
from standins.platform.store import Store
from standins.platform.wire import ConnectionEndedError, Exchange

DRAIN_S = BOUNDS["drain_ms"] / 1000
LONGER_S = 0.3  # the runner serves on for drain_ms and a little longer
CUT_BEFORE_S = 1.0  # seconds from the cut of the watches to the leaving of the runner
WORK_S = 0.25
ASK_INTERVAL_S = 0.04  # of the clients of each node


class Watches:
    """Cuts the waiting watches of a store; later ones wait as usual."""

    def __init__(self, store: Store) -> None:
        self._handle = store._handle
        self._cut = asyncio.Event()
        self.waiting = 0
        store._handle = self.handle  # type: ignore[method-assign]

    async def handle(self, exchange: Exchange) -> tuple[int, Any]:
        if exchange.call.path != "/api/kv-watch":
            return await self._handle(exchange)
        self.waiting += 1
        answer = asyncio.ensure_future(self._handle(exchange))
        cut = asyncio.ensure_future(self._cut.wait())
        try:
            await asyncio.wait({answer, cut}, return_when=asyncio.FIRST_COMPLETED)
            if not answer.done():
                await exchange.reset()
            return answer.result()
        finally:
            self.waiting -= 1
            answer.cancel()
            cut.cancel()

    def cut(self) -> None:
        self._cut.set()
        self._cut = asyncio.Event()


class LeavingRunner:
    """Notes the arrivals at a runner, and ends it with what it still runs."""

    def __init__(self, server: Server, record: Record) -> None:
        self._serve = server._serve
        self._server = server
        self._record = record
        self._open: set[Exchange] = set()
        self.arrivals: dict[str, float] = {}
        self.broken_off: list[str] = []
        server._serve = self.serve  # type: ignore[method-assign]

    async def serve(self, exchange: Exchange) -> None:
        request = exchange.call.headers["x-request-id"]
        self.arrivals[request] = self._record.now
        self._open.add(exchange)
        try:
            await self._serve(exchange)
        except LookupError:  # the connection was reset meanwhile
            raise ConnectionEndedError from None
        finally:
            self._open.discard(exchange)

    async def end(self) -> None:
        await self._server.crash()
        for exchange in list(self._open):
            self.broken_off.append(exchange.call.headers["x-request-id"])
            try:
                await exchange.reset()
            except ConnectionEndedError:
                pass


async def ask(node: Node, request: str, record: Record) -> Answer:
    connection = await Client.connect(node.client_port)
    answer = await connection.ask(request, "POST", "/once/1", body=b"x", now=lambda: record.now, X_Deadline_Ms="1500")
    connection.close()
    return answer


async def ask_often(nodes: list[Node], record: Record, until: float) -> list[Answer]:
    tasks = []
    while record.now < until:
        tasks += [asyncio.create_task(ask(node, f"{node.name}-{len(tasks)}", record)) for node in nodes]
        await asyncio.sleep(ASK_INTERVAL_S)
    return list(await asyncio.gather(*tasks))


async def play(deployment: Deployment, record: Record) -> bool:
    fleet, nodes = deployment.fleet, deployment.nodes
    desks = await deployment.add_runners("desk", ["east", "east", "west"], None)
    for desk in desks:
        desk.work_time = WORK_S
    watches, runner = Watches(fleet.store), LeavingRunner(desks[0], record)
    asking = asyncio.create_task(ask_often(nodes, record, record.now + 8.0))
    await asyncio.sleep(2.5)
    if has_trouble():
        record.write(f"the store cuts {watches.waiting} waiting watches")
        watches.cut()
    await asyncio.sleep(CUT_BEFORE_S)
    fleet.store.remove(f"servers/{desks[0].id}")
    gone_at = record.now
    record.write(f"the entry of runner {desks[0].id} goes (acknowledged); it serves on")
    await asyncio.sleep(DRAIN_S + LONGER_S)
    await runner.end()
    record.write(f"runner {desks[0].id} ends; it still ran {runner.broken_off}")
    answers = await asking
    record.write_table(answers, fleet)
    late = {request: at - gone_at for request, at in runner.arrivals.items() if at - gone_at > DRAIN_S}
    record.write(f"arrivals at it after its entry went: {sum(at > gone_at for at in runner.arrivals.values())}")
    record.write(f"arrivals later than drain_ms: {({request: round(after, 3) for request, after in late.items()})}")
    lost = [answer for answer in answers if answer.request in late and answer.status != 200]
    for answer in lost:
        record.write(f"unsafe request that ran there and is lost: {answer.describe()}")
    return bool(late)


async def main(record: Record) -> bool:
    async with open_deployment(3) as deployment:
        return await play(deployment, record)


run_case(main, Path(__file__).parent)
