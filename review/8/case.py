"""Case: a revoked key runs after `revoke_ms` when a compaction of the store is followed by an outage."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

import anyio
from world import COULD_NOT_RUN, TROUBLE, Node, ask, find_port, run_case, wait_until

from standins.platform.operator import KEY, configure, make_configuration
from standins.platform.servers import Fleet
from standins.platform.store import Mode, Store

REVOKE_S = 5.0  # bounds.revoke_ms of swanreach-hq
DEAF_S = 1.0  # "watches hear nothing for a second while changes are made"
DOWN_S = 4.5  # platform_down (silent) of swanreach-hq: for_s = 4.5
SPACING_S = 0.02  # between two requests of the client
BEFORE_END_S = 0.97  # the key is taken away so long before the end of a watch that is waiting
OTHER_KEY = "key-of-another"
NODES = 2


class CompactingStore(Store):
    """The project's stand-in of the store, with a compaction as the pages describe it."""

    def __init__(self) -> None:
        super().__init__()
        self.deaf_from = float("inf")  # monotonic; watches hear nothing from then on
        self.deaf_revision = 0
        self.waiting: dict[int, float] = {}  # monotonic end of each watch that waits

    def begin_deafness(self) -> None:
        self.deaf_from, self.deaf_revision = time.monotonic(), self.revision

    def end_deafness(self) -> None:
        """Drop the history, and cut the watches."""
        self.deaf_from = float("inf")
        self.compact()

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        number = id(query)
        wait_s = int(query["wait_ms"]) / 1000
        self.waiting[number] = time.monotonic() + wait_s
        try:
            return await self._watch_deafly(query, wait_s)
        finally:
            self.waiting.pop(number, None)

    async def _watch_deafly(self, query: dict[str, str], wait_s: float) -> tuple[int, Any]:
        since = at = int(query["since_rev"])
        with anyio.move_on_after(wait_s):
            while True:
                if since < self.oldest or since > self.revision:
                    return 410, {}
                if self.is_down:
                    return 503, {}
                is_deaf = time.monotonic() >= self.deaf_from
                newest = self.deaf_revision if is_deaf else self.revision
                events = [event for event in self.events if since < event["revision"] <= newest]
                if events:
                    return 200, {"events": events, "at": newest}
                at = max(at, newest)
                await self._changed.wait()
        return 200, {"events": [], "at": at}


async def play(folder: Path, record: list[str], nodes: list[Node]) -> int:
    async with anyio.create_task_group() as tasks:
        store = CompactingStore()
        store_address = f"127.0.0.1:{find_port()}"
        await store.start(store_address, tasks)
        fleet = Fleet(store, tasks)
        tenants = [
            {"name": "broker", "api_keys": [KEY], "priority": 1},
            {"name": "other", "api_keys": [OTHER_KEY], "priority": 1},
        ]
        configure(store, make_configuration(1, tenants=tenants))
        for _ in range(2):
            await fleet.add(f"127.0.0.1:{find_port()}", "desk", "east", None)
        nodes += [Node(folder, f"edge-{number + 1}", store_address) for number in range(NODES)]
        code = COULD_NOT_RUN
        if not all([await wait_until(node.is_ready, 20) for node in nodes]):
            record.append("a node did not become ready")
        else:
            await anyio.sleep(2.0)
            if await ask(nodes[0].client, "first", KEY, "/check/a") != 200:
                record.append("the key does not work before it is taken away")
            else:
                code = await revoke(store, fleet, nodes, record)
        tasks.cancel_scope.cancel()
    return code


async def revoke(store: CompactingStore, fleet: Fleet, nodes: list[Node], record: list[str]) -> int:
    while not any(end - time.monotonic() > BEFORE_END_S for end in store.waiting.values()):
        await anyio.sleep(0.01)
    end = max(store.waiting.values())
    await anyio.sleep(max(0.0, end - BEFORE_END_S - time.monotonic()))
    if TROUBLE:
        store.begin_deafness()
    tenants = [{"name": "broker", "api_keys": [], "priority": 1}, {"name": "other", "api_keys": [OTHER_KEY]}]
    configure(store, make_configuration(2, tenants=tenants))
    acknowledged = time.monotonic()
    record.append("0.000 the store acknowledges the configuration without the key")
    sent: dict[str, tuple[float, int, int]] = {}

    async def send_all(number: int, node: Node, tasks: Any) -> None:
        async def send(request: str) -> None:
            at = time.monotonic() - acknowledged
            sent[request] = (at, number, await ask(node.client, request, KEY, "/check/a"))

        count = 0
        while time.monotonic() < acknowledged + REVOKE_S + 1.0:
            count += 1
            tasks.start_soon(send, f"r{number}-{count}")
            await anyio.sleep(SPACING_S)

    async with anyio.create_task_group() as tasks:
        for number, node in enumerate(nodes, 1):
            tasks.start_soon(send_all, number, node, tasks)
        if TROUBLE:
            await anyio.sleep(acknowledged + DEAF_S - time.monotonic())
            store.end_deafness()
            store.set_mode(Mode.SILENT)
            record.append(f"{time.monotonic() - acknowledged:.3f} the history is dropped, the store falls silent")
            await anyio.sleep(DOWN_S)
            store.set_mode(Mode.HEALTHY)
            record.append(f"{time.monotonic() - acknowledged:.3f} the store is back")
    ran = {run.request: run.server for run in fleet.runs}
    late = []
    for request, (at, number, status) in sorted(sent.items(), key=lambda one: one[1][0]):
        record.append(
            f"{at:.3f} {request} sent to node {number}: {status} {'ran at ' + ran[request] if request in ran else ''}"
        )
        if at > REVOKE_S and request in ran:
            late.append(request)
    record.append(f"{len(late)} requests sent later than {REVOKE_S} s after the acknowledgement ran: {late}")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
