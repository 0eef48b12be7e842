"""Faults of nodes, servers, links and the store, and an operator, in a randomised run."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import httpx
from anyio.abc import TaskGroup

from rig.ports import find_port
from rig.soakclients import DRAIN_TIME, NEVER, NODES, SLACK, STREAMS, SoakClients
from rig.traffic import Node, wait_for
from rig.trafficjudge import Span
from standins.platform.operator import KEY, configure, make_configuration, make_more_routes
from standins.platform.servers import Server
from standins.platform.store import Mode

STOP_TIME = 8.0  # seconds of grace
SHORT = (0.2, 0.8)  # seconds; silences and full links that may not cut a stream
LEAVES_WITH_WORD = 0.5  # share of leaving servers that the list shows as such before they are gone
LONG_AGAIN = 0.7  # share of long configurations after which it is short again


class SoakFaults(SoakClients):
    """What goes wrong beside the clients."""

    def list_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        """List what goes wrong; each has random numbers of its own, by its place here."""
        return [
            self._fail_node, self._fail_store, self._fail_server, self._change, self._stop_node,
            self._change_often, self._silence_many, self._fill_links, self._stop_in_trouble,
            self._limit_server, self._rest_server, self._tell_leaving,
        ]  # fmt: skip

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
            server.is_unresponsive = True
        try:
            yield
        finally:
            for server in servers:
                self._silent[server.address] -= 1
                server.is_unresponsive = self._silent[server.address] > 0
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
            store.set_mode(Mode.HEALTHY)

    async def _fail_server(self, rng: random.Random) -> None:
        await anyio.sleep(rng.uniform(0.5, 3.0))
        server = self._pick_server(rng)
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

    def _list_staying(self) -> list[Server]:
        """List the servers that have not ended and do not leave: each of them ends once."""
        servers = self.traffic.fleet.servers.values()
        return [one for one in servers if one.state == "ready" and not (one.is_crashed or one.announces_leaving)]

    def _pick_server(self, rng: random.Random) -> Server:
        return rng.choice(self._list_staying())

    async def _limit_server(self, rng: random.Random) -> None:
        """Let a server name a rate limit, change it, and end it."""
        await anyio.sleep(rng.uniform(0.5, 2.0))
        server = self._pick_server(rng)
        self.findings.counts["fault: server limited"] += 1
        for _ in range(rng.randint(1, 2)):
            server.rate_limit = rng.choice([0.5, 1.0, 3.0])
            await anyio.sleep(rng.uniform(4.0, 8.0))
        server.rate_limit = None

    async def _rest_server(self, rng: random.Random) -> None:
        """Let a server turn requests away and ask for rest."""
        await anyio.sleep(rng.uniform(1.0, 4.0))
        server = self._pick_server(rng)
        self.findings.counts["fault: server asks for rest"] += 1
        server.rest = round(rng.uniform(0.6, 3.0), 2)
        await anyio.sleep(rng.uniform(0.3, 2.0))
        server.rest = None

    async def _tell_leaving(self, rng: random.Random) -> None:
        """Let a server say in its answers that it leaves, before the list says so."""
        await anyio.sleep(rng.uniform(3.0, 8.0))
        server = self._pick_server(rng)
        self.findings.counts["fault: server says that it leaves"] += 1
        await self.traffic.fleet.add(f"127.0.0.1:{find_port()}", server.service, server.hall, server.kind)
        server.announces_leaving = True
        await anyio.sleep(rng.uniform(1.0, 4.0))
        await self._leave(server, has_word=rng.random() < LEAVES_WITH_WORD)

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
        if self.traffic.fleet.store.mode is not Mode.HEALTHY:
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
            if self.traffic.fleet.store.mode is Mode.HEALTHY:
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
        self.findings.restarts[self.traffic.nodes.index(node)].append(Span(time.monotonic(), time.monotonic()))

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
        server = rng.choice([one for one in self._list_staying() if one.kind])
        await fleet.add(f"127.0.0.1:{find_port()}", server.service, server.hall, server.kind)
        tasks.start_soon(self._crash_until_noticed, server)

    async def _ask_through_a_stop(self, number: int) -> None:
        await self._ask("/letter/1", number, through_a_stop=True)


__all__ = ["SoakFaults"]
