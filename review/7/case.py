"""Case: three crashes of the first runner of a new version make nodes reject every request with a common prompt part."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

import anyio
from world import COULD_NOT_RUN, TROUBLE, Node, call, find_port, run_case, wait_until

from standins.platform.operator import HOST, KEY, configure, make_configuration
from standins.platform.servers import Fleet, Server
from standins.platform.store import Store

PART = "5c1e07a2"  # the first part of each prompt, as of a common instruction
OLD_RUNNERS = 3
CRASHES = 3
CRASH_DELAY_S = 0.4  # from the first request at the new runner to its crash
DOWN_S = 3.0  # srv_crash (joined) of swanreach-hq: for_s = 3.0 to 4.8
SPACING_S = 0.1
NODES = 2


async def ask_stream(port: int, request: str) -> tuple[int, bytes]:
    head = [
        "POST /letter/a HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request}", "X-Deadline-Ms: 20000",
        f"Authorization: Token {KEY}", "X-Token-Usage: 60,40", f"X-Prompt-Prefix: {PART}:40,{abs(hash(request)):x}:20",
        f"Content-Length: {len(request)}",
    ]  # fmt: skip
    return await call(port, head, 20.0, request.encode())


class Play:
    def __init__(self, store: Store, fleet: Fleet, nodes: list[Node], record: list[str]) -> None:
        self.store, self.fleet, self.nodes, self.record = store, fleet, nodes, record
        self.started = time.monotonic()
        self.results: list[tuple[float, str, int, bytes]] = []
        self.is_over = False

    def note(self, text: str) -> None:
        self.record.append(f"{time.monotonic() - self.started:.2f} {text}")

    async def send(self, number: int) -> None:
        at = time.monotonic() - self.started
        request = f"r{number}"
        status, body = await ask_stream(self.nodes[number % NODES].client, request)
        self.results.append((at, request, status, body if status >= 400 else b""))

    async def send_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            number = 0
            while not self.is_over:
                number += 1
                tasks.start_soon(self.send, number)
                await anyio.sleep(SPACING_S)

    async def crash_soon_after_first_run(self, server: Server) -> bool:
        async def has_run() -> bool:
            return any(run.server == server.id for run in self.fleet.runs)

        if not await wait_until(has_run, 20):
            self.note(f"{server.id} gets no request")
            return False
        await anyio.sleep(CRASH_DELAY_S)
        runs = sum(run.server == server.id for run in self.fleet.runs)
        await server.crash()
        self.note(f"{server.id} ({server.software}) crashes with {runs} requests begun there")
        await anyio.sleep(DOWN_S)
        self.store.remove(f"servers/{server.id}")
        return True


async def play(folder: Path, record: list[str], nodes: list[Node]) -> int:
    async with anyio.create_task_group() as tasks:
        store = Store()
        store_address = f"127.0.0.1:{find_port()}"
        await store.start(store_address, tasks)
        fleet = Fleet(store, tasks, token_time=0.05, answer_tokens=40)
        configuration = make_configuration(1)
        engine = configuration["services"][0]["engine"]
        engine["kinds"][0]["mb"] = 2 * engine["layers"] * engine["layer_mb"]  # each runner may hold all layers
        configure(store, configuration)
        code = await play_with(folder, Play(store, fleet, nodes, record), store_address)
        tasks.cancel_scope.cancel()
    return code


async def play_with(folder: Path, play: Play, store_address: str) -> int:
    fleet = play.fleet
    for _ in range(OLD_RUNNERS):
        await fleet.add(f"127.0.0.1:{find_port()}", "llm", "east", "big", software="v1")
    for number in range(NODES):
        play.nodes.append(Node(folder, f"edge-{number + 1}", store_address))
    for node in play.nodes:
        if not await wait_until(node.is_ready, 20):
            return COULD_NOT_RUN

    async def is_served() -> bool:
        status, _ = await ask_stream(play.nodes[0].client, f"first-{time.monotonic()}")
        return status == 200

    if not await wait_until(is_served, 20):
        play.note("nothing is served")
        return COULD_NOT_RUN
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(play.send_all)
        await anyio.sleep(3.0)
        address = f"127.0.0.1:{find_port()}"
        play.note("the release begins: a runner of version v2 starts beside three of v1, which all run on")
        server = await fleet.add(address, "llm", "east", "big", software="v2")
        for _ in range(CRASHES if TROUBLE else 0):
            if not await play.crash_soon_after_first_run(server):
                break
            server = await fleet.add(address, "llm", "east", "big", software="v2")
            play.note(f"it is back as {server.id}")
        await anyio.sleep(10.0)
        play.is_over = True
    refused = [one for one in play.results if one[2] == 400]
    counts = {status: sum(one[2] == status for one in play.results) for status in {one[2] for one in play.results}}
    for at, request, status, body in sorted(play.results):
        play.record.append(f"{at:.2f} {request}: {status} {body.decode('latin-1')[:200]}")
    served_by_old = sum(fleet_run.server in {f"i-{n + 1:04x}" for n in range(OLD_RUNNERS)} for fleet_run in fleet.runs)
    allowed = 5 + len(play.results) / 500
    play.note(f"{len(play.results)} requests, statuses {counts}; {served_by_old} runs at the runners of v1")
    play.note(f"{len(refused)} proper requests got a 400 of the node; {allowed:.1f} are allowed")
    return 1 if len(refused) > allowed else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
