"""Case: a node that missed a few versions of a long configuration reads nothing from the store any more."""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path
from typing import Any

import anyio
from world import COULD_NOT_RUN, TROUBLE, CutStore, Node, ask, find_port, run_case, wait_until

from standins.platform.operator import KEY, configure, make_configuration
from standins.platform.servers import Fleet
from standins.platform.wire import Exchange, serve

ROUTES = 2800  # the configuration then has 0.58 MB; `value_bytes` is 1,048,576
VERSIONS = 12  # config_storm of swanreach-hq: gap_s = 0.33 for 4.0 s
GAP_S = 0.33
CUT_S = 5.5  # core_cut of swanreach-hq: for_s = 5.5
HISTORY_S = 20.0  # history_s
CONTACT_S = 3.0  # contact_ms
CONFIG_S = 2.0  # config_ms
JUDGED_S = 20.0  # after the cut
SPACING_S = 0.1
LONG_BYTES = 4_000_000  # of an answer with some versions


class ForgettingStore(CutStore):
    """A store that forgets its history after HISTORY_S; one caller can be cut off."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[tuple[float, int]] = []
        self.long_answers: list[tuple[float, int]] = []  # monotonic times and bytes of answers with many versions

    async def _reply(self, exchange: Exchange, status: int, body: bytes) -> None:
        if exchange.call.path == "/api/kv-watch" and len(body) > LONG_BYTES and not self.is_cut:
            self.long_answers.append((time.monotonic(), len(body)))
        await super()._reply(exchange, status, body)

    async def forget(self) -> None:
        while True:
            await anyio.sleep(0.1)
            old = [revision for at, revision in self.written if at < time.monotonic() - HISTORY_S]
            if old and max(old) > self.oldest:
                self.oldest = max(old)
                self.events = [event for event in self.events if event["revision"] > self.oldest]
                self.written = [(at, revision) for at, revision in self.written if revision > self.oldest]
                self._wake()

    def _record_event(self, event: dict[str, Any]) -> None:
        self.written.append((time.monotonic(), event["revision"]))
        super()._record_event(event)


def make_long(version: int, *, has_dropped: bool) -> dict[str, Any]:
    rng = random.Random(7)
    configuration = make_configuration(version)
    template = {**configuration["routes"][3], "service": "desk"}
    routes = configuration["routes"]
    for number in range(ROUTES):
        routes.append({**template, "name": f"r-{number}", "path_prefix": f"/{rng.getrandbits(56):x}/"})
    routes[5]["timeout_ms"] = 1000 + version
    if has_dropped:  # a public route, which the next versions drop
        routes.append({**configuration["routes"][4], "name": "old", "path_prefix": "/old/"})
    return configuration


async def play(folder: Path, record: list[str], nodes: list[Node]) -> int:
    async with anyio.create_task_group() as tasks:
        store = ForgettingStore()
        address, cut_address = (f"127.0.0.1:{find_port()}" for _ in range(2))
        await store.start(address, tasks)
        await serve(cut_address, store.answer_cut, tasks)
        tasks.start_soon(store.forget)
        fleet = Fleet(store, tasks)
        code = await play_with(folder, store, fleet, (address, cut_address), nodes, record)
        tasks.cancel_scope.cancel()
    return code


async def play_with(
    folder: Path, store: ForgettingStore, fleet: Fleet, addresses: tuple[str, str], nodes: list[Node], record: list[str]
) -> int:
    started = time.monotonic()

    def note(text: str) -> None:
        record.append(f"{time.monotonic() - started:.2f} {text}")

    configure(store, make_long(1, has_dropped=True))
    note(f"the configuration has {len(store.items['op/config'].value)} bytes")
    for _ in range(2):
        await fleet.add(f"127.0.0.1:{find_port()}", "desk", "east", None)
    nodes += [Node(folder, f"edge-{number + 1}", address) for number, address in enumerate(addresses)]
    for node in nodes:
        if not await wait_until(node.is_ready, 20):
            note("a node did not become ready")
            return COULD_NOT_RUN
    await anyio.sleep(3.0)
    for node in nodes:
        if await ask(node.client, f"first-{node.name}", KEY, "/old/a") != 200:
            note("the route does not work before it is dropped")
            return COULD_NOT_RUN
    results: list[tuple[float, str, int, str, int]] = []
    is_over = False

    async def send(number: int, node: Node, path: str) -> None:
        at = time.monotonic()
        request = f"{node.name}-{path.strip('/')[:3]}-{number}"
        status = await ask(node.client, request, KEY, path)
        results.append((at, node.name, status, path, sum(run.request == request for run in fleet.runs)))

    async def send_all(tasks: Any) -> None:
        number = 0
        while not is_over:
            number += 1
            for node in nodes:
                tasks.start_soon(send, number, node, "/old/a")
                tasks.start_soon(send, number, node, "/check/a")
            await anyio.sleep(SPACING_S)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_all, tasks)
        await anyio.sleep(1.0)
        begun_at = time.monotonic()
        store.is_cut = TROUBLE
        note("the second node is cut from the store" if TROUBLE else "no node is cut from the store")
        acknowledged = 0.0
        for version in range(2, 2 + VERSIONS):
            configure(store, make_long(version, has_dropped=False))
            acknowledged = acknowledged or time.monotonic()
            note(f"the store acknowledges version {version}")
            await anyio.sleep(GAP_S)
        await anyio.sleep(max(0.0, begun_at + CUT_S - time.monotonic()))
        store.is_cut = False
        healed_at = time.monotonic()
        note("the cut has healed")
        await anyio.sleep(JUDGED_S)
        is_over = True
    if store.long_answers:
        first, last = store.long_answers[0], store.long_answers[-1]
        note(
            f"{len(store.long_answers)} watches were answered with {first[1]} to {last[1]} bytes, "
            f"the first {first[0] - healed_at:.1f} s and the last {last[0] - healed_at:.1f} s after the cut"
        )
    in_touch = healed_at + CONTACT_S if TROUBLE else acknowledged + CONFIG_S
    results.sort()
    late = [one for one in results if one[3] == "/old/a" and one[0] > in_touch and one[4]]
    for name in (node.name for node in nodes):
        for path in ("/old/a", "/check/a"):
            told = [one for one in results if one[0] > in_touch and one[1] == name and one[3] == path]
            counts = {status: sum(one[2] == status for one in told) for status in sorted({one[2] for one in told})}
            note(f"{name}, {path}, in touch: statuses {counts}, {sum(one[4] for one in told)} runs")
    for at, name, status, path, runs in results:
        record.append(f"{at - started:.2f} {name} {path}: {status}, {runs} runs")
    note(
        f"{len(late)} requests on the dropped route ran at machines in touch"
        + (f", the last {late[-1][0] - acknowledged:.1f} s after the acknowledgement" if late else "")
    )
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
