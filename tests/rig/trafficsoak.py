"""A randomised run of nodes of the platform's face under faults; what clients and servers saw decides."""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import httpx
from anyio.abc import TaskGroup

from rig.ports import find_port
from rig.traffic import Node, Traffic, assert_layers_once_in_order, list_ids, open_traffic, wait_for
from rig.trafficjudge import Cut, Span, Troubles, find_pauses
from standins.platform.operator import KEY, configure, make_configuration, make_more_routes
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
LINK_RATE = 2_500_000.0  # bytes a second, 20 Mbit/s, as small nodes have
SHORT = (0.2, 0.8)  # seconds; silences and full links that may not cut a stream
LONG_AGAIN = 0.7  # share of long configurations after which it is short again
LOOK_GAP = 0.05  # seconds between looks at the clock
PAUSE = 0.2  # seconds between them when this process was held up
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
    cuts: list[Cut] = field(default_factory=list)  # of streams that had begun
    by_whom: Troubles = field(default_factory=Troubles)


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
        self._more: list[dict[str, Any]] = []  # routes of a long configuration
        self._silent: Counter[str] = Counter()  # faults that keep each server silent, by address
        self._looks: list[float] = []  # at the clock
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
        faults = self.list_faults()
        async with anyio.create_task_group() as watch:
            watch.start_soon(self._look_at_the_clock)
            async with anyio.create_task_group() as tasks:
                for index, step in enumerate([*clients, *faults]):
                    tasks.start_soon(self._repeat, step, random.Random(f"{self._seed} {index}"))
            await self._check_recovery()
            watch.cancel_scope.cancel()
        self._check_runs()
        self._check_cuts()

    def list_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        """List what goes wrong; each has random numbers of its own, by its place here."""
        return [
            self._fail_node, self._fail_store, self._fail_server, self._change, self._stop_node,
            self._change_often, self._silence_many, self._fill_links, self._stop_in_trouble,
        ]  # fmt: skip

    async def _look_at_the_clock(self) -> None:
        while True:
            self._looks.append(time.monotonic())
            await anyio.sleep(LOOK_GAP)

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
        sent, answer = time.monotonic(), None
        built = self.traffic.build(path, node=node, X_Request_Id=request, Authorization=f"Token {key}")
        try:
            answer = await self.traffic.client.send(built, stream=True)
            await answer.aread()
        except httpx.TransportError as error:
            self.findings.counts["cut"] += 1
            if answer is not None and answer.status_code == httpx.codes.OK and path in STREAMS:
                self.findings.cuts.append(Cut(request, path, node, repr(error), sent, time.monotonic()))
            return request, None
        self.findings.counts[f"{path.split('/')[1]} {answer.status_code}"] += 1
        if answer.status_code == httpx.codes.BAD_REQUEST:
            self.findings.faults.append(f"{request} was refused for good: {answer.text}")
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
    async def _trouble(self) -> AsyncIterator[list[list[Span]]]:
        """Record a trouble; also in the lists that are put into the one given."""
        began = time.monotonic()
        records: list[list[Span]] = []
        try:
            yield records
        finally:
            span = Span(began, time.monotonic())
            self.findings.troubles.append(span)
            for record in records:
                record.append(span)

    @asynccontextmanager
    async def _silence(self, servers: list[Server]) -> AsyncIterator[None]:
        """Let servers neither answer nor work; several faults may do so at once."""
        began = time.monotonic()
        for server in servers:
            self._silent[server.address] += 1
            server.is_dark = True
        try:
            yield
        finally:
            for server in servers:
                self._silent[server.address] -= 1
                server.is_dark = self._silent[server.address] > 0
                self.findings.by_whom.silences[server.address].append(Span(began, time.monotonic()))

    async def _crash(self, server: Server, *, is_listed: bool = True) -> None:
        self.findings.by_whom.lost_at[server.address] = time.monotonic()
        await server.crash(is_listed=is_listed)

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
        async with self._planned, self._take_node(rng) as node, self._trouble() as records:
            if node is None:
                return
            number, by_whom = self.traffic.nodes.index(node), self.findings.by_whom
            kind = rng.choice(["kill", "freeze", "cut from the store"])
            self.findings.counts[f"fault: node {kind}"] += 1
            records.append((by_whom.stores if kind == "cut from the store" else by_whom.nodes)[number])
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
        async with self._planned, self._trouble() as records:
            records += [self.findings.by_whom.stores[number] for number in range(NODES)]
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
            async with self._silence([server]):
                await anyio.sleep(rng.uniform(0.2, 2.0))
            return
        await self.traffic.fleet.add(f"127.0.0.1:{find_port()}", server.service, server.hall, server.kind)
        if kind == "crash":
            await self._crash_until_noticed(server)
            return
        await self._leave(server, has_word=kind == "leave")

    async def _crash_until_noticed(self, server: Server) -> None:
        await self._crash(server)
        await anyio.sleep(3.6)
        self.traffic.fleet.store.remove(f"servers/{server.id}")

    async def _leave(self, server: Server, *, has_word: bool) -> None:
        server.state = "draining"
        if has_word:
            server.announce()
        else:
            self.traffic.fleet.store.remove(f"servers/{server.id}")
        self.findings.left_at[server.id] = time.monotonic()
        await anyio.sleep(DRAIN_TIME + 1.0)
        await wait_for(lambda: not server.active, limit=10.0)
        await self._crash(server, is_listed=False)

    async def _silence_many(self, rng: random.Random) -> None:
        """Let some or all servers be silent at once, for less than a stream may be cut for."""
        await anyio.sleep(rng.uniform(1.5, 5.0))
        servers = [one for one in self.traffic.fleet.servers.values() if not one.is_crashed]
        chosen = rng.choice([servers, [one for one in servers if one.kind], rng.sample(servers, len(servers) // 2)])
        self.findings.counts["fault: many servers silent"] += 1
        async with self._silence(chosen):
            await anyio.sleep(rng.uniform(*SHORT))

    async def _fill_links(self, rng: random.Random) -> None:
        """Let the links of some nodes be full for a moment."""
        await anyio.sleep(rng.uniform(1.0, 4.0))
        self.findings.counts["fault: links full"] += 1
        for node in rng.sample(self.traffic.nodes, rng.randint(1, NODES)):
            if node.link is not None:
                node.link.fill(rng.uniform(*SHORT))

    async def _change(self, rng: random.Random) -> None:
        """Add a route, give a key away, and take another one away."""
        await anyio.sleep(rng.uniform(0.3, 3.0))
        if self.traffic.fleet.store.mode is not Mode.SOUND:
            return
        taken = [key for key, at in self._keys.items() if at == NEVER and key != KEY]
        if taken:
            self._keys[rng.choice(taken)] = time.monotonic()
        self._keys[f"key-{self._version + 1}"] = NEVER
        self._write()
        await anyio.sleep(rng.uniform(0.0, 1.0))
        number = rng.randrange(NODES)
        await self._check_version(number, self._version)

    def _write(self) -> None:
        """Write the next version."""
        self._version += 1
        routes = make_configuration(1)["routes"]
        added = {**routes[3], "name": "new", "path_prefix": f"/new-{self._version}/"}
        keys = [key for key, at in self._keys.items() if at == NEVER]
        tenants = [{"name": "broker", "api_keys": keys, "priority": 1}]
        made = make_configuration(self._version, routes=[*routes, added, *self._more], tenants=tenants)
        configure(self.traffic.fleet.store, made)

    async def _change_often(self, rng: random.Random) -> None:
        """Make the configuration long, change it several times in a row, and mostly make it short again."""
        await anyio.sleep(rng.uniform(2.0, 6.0))
        self._more = make_more_routes(rng.choice([0, 500, 2000]), rng)
        self.findings.counts[f"fault: changes in a row of {len(self._more)} routes"] += 1
        for _ in range(rng.randint(1, 6)):
            if self.traffic.fleet.store.mode is Mode.SOUND:
                self._write()
            await anyio.sleep(rng.choice([0.05, 0.3, 1.0]))
        if rng.random() < LONG_AGAIN:
            self._more = []

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
            await self._finish_stop(node)

    async def _finish_stop(self, node: Node) -> None:
        with anyio.fail_after(STOP_TIME + SLACK):
            await asyncio.to_thread(node.process.popen.wait)
        node.restart()
        self.findings.troubles.append((time.monotonic(), time.monotonic()))

    async def _stop_in_trouble(self, rng: random.Random) -> None:
        """Stop a node as planned, with streams under way, beside a change and the loss of a server."""
        await anyio.sleep(rng.uniform(4.0, 9.0))
        async with self._planned, self._take_node(rng) as node, anyio.create_task_group() as tasks:
            if node is None or not await node.is_ready(self.traffic.client):
                return
            self.findings.counts["fault: node stopped in trouble"] += 1
            for _ in range(3):
                tasks.start_soon(self._ask, rng.choice(STREAMS), self.traffic.nodes.index(node))
            await anyio.sleep(0.2)
            self._write()
            await self._replace_lost(rng, tasks)
            await anyio.sleep(rng.uniform(0.0, 0.3))
            node.process.send(signal.SIGTERM)
            await self._finish_stop(node)

    async def _replace_lost(self, rng: random.Random, tasks: TaskGroup) -> None:
        fleet = self.traffic.fleet
        engines = [one for one in fleet.servers.values() if one.kind and one.state == "ready" and not one.is_crashed]
        server = rng.choice(engines)
        await fleet.add(f"127.0.0.1:{find_port()}", server.service, server.hall, server.kind)
        tasks.start_soon(self._crash_until_noticed, server)

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

    def _check_cuts(self) -> None:
        """No stream that had begun is cut while its node and its servers are sound."""
        findings, fleet = self.findings, self.traffic.fleet
        links = [node.link for node in self.traffic.nodes]
        findings.by_whom.waits = {
            number: [Span(*wait) for wait in link.waits] for number, link in enumerate(links) if link is not None
        }
        findings.by_whom.pauses = find_pauses(self._looks, PAUSE)
        for cut in findings.cuts:
            chains = [chain for run in fleet.find_runs(cut.request) for chain in run.chains]
            excuse = findings.by_whom.find_excuse(cut, {part.address for chain in chains for part in chain})
            findings.counts[f"begun and cut: {excuse or 'no excuse'}"] += 1
            if excuse is None:
                findings.faults.append(self._describe_cut(cut))

    def _describe_cut(self, cut: Cut) -> str:
        lines = (line for line in self.traffic.nodes[cut.node].read_log() if line.get("request") == cut.request)
        steps = next((line["steps"] for line in lines if "steps" in line), None)
        took = cut.cut_at - cut.sent_at
        return f"{cut.path} {cut.request} of node {cut.node} was cut after {took:.2f} s, {cut.cause}: {steps}"

    def _was_troubled(self, at: float) -> bool:
        """Tell whether a node or the store was in trouble in the time before."""
        return any(began <= at and ended >= at - DRAIN_TIME - CONTACT_TIME for began, ended in self.findings.troubles)


async def run_traffic_soak(folder: Path, seconds: float, seed: int, kind: type[TrafficSoak] = TrafficSoak) -> Findings:
    """Run one seed; gives what was found."""
    async with open_traffic(folder, nodes=NODES, link_rate=LINK_RATE) as traffic:
        soak = kind(traffic, seconds, seed)
        await soak.run()
        return soak.findings


def main(kind: type[TrafficSoak] = TrafficSoak) -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--keep", type=Path, help="folder for the logs of the nodes of seeds that break a promise")
    options = parser.parse_args()
    failed = 0
    for seed in options.seeds:
        with tempfile.TemporaryDirectory() as folder:
            findings = anyio.run(run_traffic_soak, Path(folder), options.seconds, seed, kind)
            if findings.faults and options.keep is not None:
                shutil.copytree(folder, options.keep / f"seed-{seed}", dirs_exist_ok=True)
        failed += bool(findings.faults)
        print(f"seed {seed}, {options.seconds:.0f} s: {dict(sorted(findings.counts.items()))}")
        for fault in findings.faults[:10]:
            print(f"  BROKEN {fault}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
