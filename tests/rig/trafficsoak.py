"""A randomised run of nodes of the platform's face under faults; what clients and servers saw decides."""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import httpx

from rig.ports import find_port
from rig.traffic import Node, Traffic, assert_layers_once_in_order, list_ids, open_traffic, wait_for
from standins.platform.operator import KEY, configure, make_configuration
from standins.platform.servers import Server
from standins.platform.store import Mode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

NODES = 5
TOKENS = 30
KEYS_TIME = 5.0  # seconds from the removal of a key to its last request
DRAIN_TIME = 2.0  # seconds from the word that a server leaves to its last new work
CONTACT_TIME = 3.0  # seconds without trouble after which the bounds hold
SLACK = 0.5  # seconds that a busy machine may take
STOP_TIME = 8.0  # seconds of grace
RECOVERY_TIME = 12.0  # seconds
NEVER = float("inf")
STREAMS = ("/letter/1", "/letter/1", "/notice/1")
PLAIN = ("/once/1", "/check/1")


@dataclass
class Findings:
    """What clients and servers saw."""

    counts: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)  # requests that were called not run
    once: set[str] = field(default_factory=set)  # requests that must not run twice
    left_at: dict[str, float] = field(default_factory=dict)  # servers that said they leave
    troubles: list[tuple[float, float]] = field(default_factory=list)  # of nodes and the store, from and to


class TrafficSoak:
    """Clients, faults and an operator over one platform."""

    def __init__(self, traffic: Traffic, seconds: float, seed: int) -> None:
        self.traffic = traffic
        self.findings = Findings()
        self._until = time.monotonic() + seconds
        self._seed = seed
        self._planned = anyio.Lock()  # a planned stop and other faults exclude each other
        self._busy: set[int] = set()  # nodes that have a fault
        self._version = 1
        self._keys: dict[str, float] = {KEY: NEVER}  # and when each was taken away
        self._seen: defaultdict[tuple[int, int], int] = defaultdict(int)  # by node and process: newest version used

    async def run(self) -> None:
        """Run clients and faults until the time is over, then check what was kept."""
        traffic = self.traffic
        traffic.fleet.answer_tokens, traffic.fleet.token_time = TOKENS, 0.02
        await traffic.add_chains(each=3)
        for _ in range(3):
            (await traffic.add_desk()).work_time = 0.1  # so that some are lost at work
        clients = [self._ask_stream] * 6 + [self._ask_plain] * 4
        faults = [self._fail_node, self._fail_store, self._fail_server, self._change, self._stop_node]
        async with anyio.create_task_group() as tasks:
            for index, step in enumerate([*clients, *faults]):
                tasks.start_soon(self._repeat, step, random.Random(f"{self._seed} {index}"))
        await self._check_recovery()
        self._check_runs()

    async def _repeat(self, step: Callable[[random.Random], Awaitable[None]], rng: random.Random) -> None:
        while time.monotonic() < self._until:
            try:
                await step(rng)
            except (AssertionError, LookupError, TimeoutError, httpx.HTTPError) as error:
                self.findings.faults.append(f"{step.__name__}: {error!r}")

    # clients

    async def _ask(self, path: str, node: int, key: str = KEY) -> tuple[str, httpx.Response | None]:
        """Send one request; gives its id, and its whole answer unless it was cut."""
        request = f"soak-{random.getrandbits(60):x}"
        try:
            answer = await self.traffic.ask(path, node=node, X_Request_Id=request, Authorization=f"Token {key}")
        except httpx.TransportError:
            self.findings.counts["cut"] += 1
            return request, None
        self.findings.counts[f"{path.split('/')[1]} {answer.status_code}"] += 1
        if answer.status_code in {429, 503}:
            self.findings.refused.add(request)
            if "retry-after" not in answer.headers:
                self.findings.faults.append("a refusal does not tell when to come back")
        return request, answer

    async def _ask_stream(self, rng: random.Random) -> None:
        path = rng.choice(STREAMS)
        request, answer = await self._ask(path, rng.randrange(NODES))
        if "notice" in path:
            self.findings.once.add(request)
        if answer is None or answer.status_code != httpx.codes.OK:
            await anyio.sleep(0.05)
            return
        if list_ids(answer.text) != list(range(1, TOKENS + 1)):
            self.findings.faults.append(f"events {list_ids(answer.text)} in an answer that ended as whole")
        if answer.text.count(f" of {request}\n") != TOKENS:
            self.findings.faults.append(f"events of another request in the answer to {request}")

    async def _ask_plain(self, rng: random.Random) -> None:
        path, key = rng.choice(PLAIN), rng.choice(list(self._keys))
        sent = time.monotonic()
        request, answer = await self._ask(path, rng.randrange(NODES), key)
        if "once" in path:
            self.findings.once.add(request)
        if answer is None:
            return
        if answer.status_code == httpx.codes.OK and answer.content != b"answer to " + request.encode():
            self.findings.faults.append(f"the answer to {request} is {answer.content!r}")
        if answer.status_code == httpx.codes.OK and sent > self._keys[key] + KEYS_TIME:
            self.findings.faults.append(f"a key ran {sent - self._keys[key]:.2f} s after it was taken away")
        await anyio.sleep(rng.uniform(0.0, 0.1))

    # faults

    @asynccontextmanager
    async def _trouble(self) -> AsyncIterator[None]:
        began = time.monotonic()
        try:
            yield
        finally:
            self.findings.troubles.append((began, time.monotonic()))

    @asynccontextmanager
    async def _take_node(self, rng: random.Random) -> AsyncIterator[Node | None]:
        """Take a node that has no fault; none when all have."""
        free = [number for number in range(NODES) if number not in self._busy]
        if not free:
            yield None
            return
        number = rng.choice(free)
        self._busy.add(number)
        try:
            yield self.traffic.nodes[number]
        finally:
            self._busy.discard(number)

    async def _fail_node(self, rng: random.Random) -> None:
        await anyio.sleep(rng.uniform(0.3, 2.5))
        async with self._planned, self._take_node(rng) as node, self._trouble():
            if node is None:
                return
            kind = rng.choice(["kill", "freeze", "cut from the store"])
            self.findings.counts[f"fault: node {kind}"] += 1
            if kind == "kill":
                node.restart()
                return
            if kind == "freeze":
                node.process.send(signal.SIGSTOP)
            else:
                node.store_path.cut()
            await anyio.sleep(rng.uniform(0.3, 6.0))
            node.process.send(signal.SIGCONT)
            node.store_path.heal()

    async def _fail_store(self, rng: random.Random) -> None:
        await anyio.sleep(rng.uniform(2.0, 6.0))
        store = self.traffic.fleet.store
        async with self._planned, self._trouble():
            mode = rng.choice([Mode.BUSY, Mode.RESET, Mode.SILENT, Mode.LOSES_ANSWERS, None])
            self.findings.counts[f"fault: store {mode.value if mode else 'forgets'}"] += 1
            if mode is None:
                store.compact()
                return
            store.set_mode(mode)
            await anyio.sleep(rng.uniform(0.3, 5.0))
            store.set_mode(Mode.SOUND)

    async def _fail_server(self, rng: random.Random) -> None:
        await anyio.sleep(rng.uniform(0.5, 3.0))
        fleet = self.traffic.fleet
        listed = [one for one in fleet.servers.values() if one.state == "ready" and not one.is_crashed]
        server = rng.choice(listed)
        kind = rng.choice(["crash", "dark", "leave", "leave without a word"])
        self.findings.counts[f"fault: server {kind}"] += 1
        if kind == "dark":
            server.is_dark = True
            await anyio.sleep(rng.uniform(0.2, 2.0))
            server.is_dark = False
            return
        await self.traffic.fleet.add(f"127.0.0.1:{find_port()}", server.service, server.hall, server.kind)
        if kind == "crash":
            await server.crash()
            await anyio.sleep(3.6)
            fleet.store.remove(f"servers/{server.id}")
            return
        await self._leave(server, has_word=kind == "leave")

    async def _leave(self, server: Server, *, has_word: bool) -> None:
        server.state = "draining"
        if has_word:
            server.announce()
        else:
            self.traffic.fleet.store.remove(f"servers/{server.id}")
        self.findings.left_at[server.id] = time.monotonic()
        await anyio.sleep(DRAIN_TIME + 1.0)
        await wait_for(lambda: not server.active, limit=10.0)
        await server.crash(is_listed=False)

    async def _change(self, rng: random.Random) -> None:
        """Add a route, give a key away, and take another one away."""
        await anyio.sleep(rng.uniform(0.3, 3.0))
        if self.traffic.fleet.store.mode is not Mode.SOUND:
            return
        self._version += 1
        taken = [key for key, at in self._keys.items() if at == NEVER and key != KEY]
        if taken:
            self._keys[rng.choice(taken)] = time.monotonic()
        self._keys[f"key-{self._version}"] = NEVER
        routes = make_configuration(1)["routes"]
        added = {**routes[3], "name": "new", "path_prefix": f"/new-{self._version}/"}
        keys = [key for key, at in self._keys.items() if at == NEVER]
        tenants = [{"name": "broker", "api_keys": keys, "priority": 1}]
        configure(self.traffic.fleet.store, make_configuration(self._version, routes=[*routes, added], tenants=tenants))
        await anyio.sleep(rng.uniform(0.0, 1.0))
        number = rng.randrange(NODES)
        await self._check_version(number, self._version)

    async def _check_version(self, number: int, version: int) -> None:
        """A process that has used a version never goes back to an older one."""
        process = self.traffic.nodes[number].process.popen.pid
        _, answer = await self._ask(f"/new-{version}/1", number)
        if answer is None or self.traffic.nodes[number].process.popen.pid != process or version != self._version:
            return
        if answer.status_code == httpx.codes.OK:
            self._seen[number, process] = version
        elif answer.status_code == httpx.codes.NOT_FOUND and self._seen[number, process] >= version:
            self.findings.faults.append(f"node {number} went back from version {version}")

    async def _stop_node(self, rng: random.Random) -> None:
        """Stop a node as planned, with a request under way and nothing else going wrong."""
        await anyio.sleep(rng.uniform(4.0, 9.0))
        async with self._planned, self._take_node(rng) as node:
            if node is None or not await node.is_ready(self.traffic.client):
                return
            self.findings.counts["fault: node stopped"] += 1
            number = self.traffic.nodes.index(node)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._ask_through_a_stop, number)
                await anyio.sleep(0.2)
                node.process.send(signal.SIGTERM)
            with anyio.fail_after(STOP_TIME + SLACK):
                await asyncio.to_thread(node.process.popen.wait)
            node.restart()
            self.findings.troubles.append((time.monotonic(), time.monotonic()))

    async def _ask_through_a_stop(self, number: int) -> None:
        _, answer = await self._ask("/letter/1", number)
        if answer is None:
            self.findings.faults.append("a planned stop cut a stream")

    # checks

    async def _check_recovery(self) -> None:
        for node in self.traffic.nodes:
            node.process.send(signal.SIGCONT)
        await anyio.sleep(RECOVERY_TIME)
        for number, node in enumerate(self.traffic.nodes):
            if node.process.popen.poll() is not None:
                self.findings.faults.append(f"node {number} ended with {node.process.popen.returncode}")
                continue
            for path in ("/letter/1", "/check/1"):
                _, answer = await self._ask(path, number)
                if answer is None or answer.status_code != httpx.codes.OK:
                    told = answer.text if answer is not None else "cut"
                    self.findings.faults.append(f"node {number} has not recovered: {path} {told}")

    def _check_runs(self) -> None:
        fleet, findings = self.traffic.fleet, self.findings
        runs = Counter(run.request for run in fleet.runs)
        findings.faults += [f"{one} ran {runs[one]} times" for one in findings.once if runs[one] > 1]
        findings.faults += [f"{one} was called not run, and ran" for one in findings.refused if runs[one]]
        try:
            assert_layers_once_in_order(fleet)
        except AssertionError as error:
            findings.faults.append(str(error))
        for run in fleet.runs:
            late = run.started - findings.left_at.get(run.server, NEVER)
            if late > DRAIN_TIME + SLACK and not self._was_troubled(run.started):
                findings.faults.append(f"{run.request} reached {run.server} {late:.2f} s after it left")

    def _was_troubled(self, at: float) -> bool:
        """Tell whether a node or the store was in trouble in the time before."""
        return any(began <= at and ended >= at - DRAIN_TIME - CONTACT_TIME for began, ended in self.findings.troubles)


async def run_traffic_soak(folder: Path, seconds: float, seed: int) -> Findings:
    """Run one seed; gives what was found."""
    async with open_traffic(folder, nodes=NODES) as traffic:
        soak = TrafficSoak(traffic, seconds, seed)
        await soak.run()
        return soak.findings


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    options = parser.parse_args()
    failed = 0
    for seed in options.seeds:
        with tempfile.TemporaryDirectory() as folder:
            findings = anyio.run(run_traffic_soak, Path(folder), options.seconds, seed)
        failed += bool(findings.faults)
        print(f"seed {seed}, {options.seconds:.0f} s: {dict(sorted(findings.counts.items()))}")
        for fault in findings.faults[:10]:
            print(f"  BROKEN {fault}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
