"""Faults of nodes, servers, links and the store, and changes by an operator, in a randomised run."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Any, ClassVar

import anyio
import httpx
from anyio.abc import TaskGroup

from rig.ports import find_port
from rig.soakclients import DRAIN_TIME_S, NEVER, NODES, SLACK_S, STREAMS, SoakClients
from rig.traffic import Node, wait_for
from rig.trafficjudge import Span
from standins.platform.operator import KEY, configure, make_configuration, make_more_routes
from standins.platform.servers import Server
from standins.platform.store import Mode
from standins.vm import CutKind

STOP_TIME_S = 8.0  # seconds that a node may take for a planned stop
SHORT_FAULT_RANGE_S = (0.2, 0.8)  # seconds; unresponsive servers and full links may not cut a stream within this time
ANNOUNCED_LEAVE_SHARE = 0.5  # share of leaving servers that the server list shows as leaving before they are removed
SHORTENING_SHARE = 0.7  # share of long configurations that are followed by a short one


class SoakFaults(SoakClients):
    """Injects faults while the clients run."""

    cut_counts: ClassVar[Sequence[int]] = (1, 1, 2, 3, NODES)  # of nodes that are cut off from servers at once

    def list_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        """List the faults; each has its own random generator, seeded by its position in this list."""
        return [
            self._fail_node, self._fail_store, self._fail_server, self._change, self._stop_node,
            self._change_often, self._silence_many, self._fill_links, self._stop_in_trouble,
            self._limit_server, self._rest_server, self._announce_leaving, self._restore_store,
        ]  # fmt: skip

    def list_path_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        """List the faults of paths; they come after the others, which keeps the random numbers of these."""
        return [self._cut_paths]

    @asynccontextmanager
    async def _record_trouble(self) -> AsyncIterator[list[list[Span]]]:
        """Record the time span of a fault, also in each list that the caller adds to the yielded one."""
        began = time.monotonic()
        records: list[list[Span]] = []
        try:
            yield records
        finally:
            span = Span(began, time.monotonic())
            self.findings.trouble_spans.append(span)
            for record in records:
                record.append(span)

    @asynccontextmanager
    async def _silence_servers(self, servers: list[Server]) -> AsyncIterator[None]:
        """Make servers unresponsive; several faults may do so to the same server at once."""
        began = time.monotonic()
        for server in servers:
            self._silence_counts[server.address] += 1
            server.is_unresponsive = True
        try:
            yield
        finally:
            for server in servers:
                self._silence_counts[server.address] -= 1
                server.is_unresponsive = self._silence_counts[server.address] > 0
                self.findings.troubles_by_source.silences[server.address].append(Span(began, time.monotonic()))

    async def _crash(self, server: Server, *, is_listed: bool = True) -> None:
        self.findings.troubles_by_source.lost_at[server.address] = time.monotonic()
        await server.crash(is_listed=is_listed)

    @asynccontextmanager
    async def _reserve_node(self, rng: random.Random) -> AsyncIterator[Node | None]:
        """Reserve a random node that has no fault; yields None if all nodes have one."""
        free = [number for number in range(NODES) if number not in self._faulty_nodes]
        if not free:
            yield None
            return
        number = rng.choice(free)
        self._faulty_nodes.add(number)
        try:
            yield self.traffic.nodes[number]
        finally:
            self._faulty_nodes.discard(number)

    async def _fail_node(self, rng: random.Random) -> None:
        await anyio.sleep(rng.uniform(0.3, 2.5))
        async with self._fault_lock, self._reserve_node(rng) as node, self._record_trouble() as records:
            if node is None:
                return
            number, troubles = self.traffic.nodes.index(node), self.findings.troubles_by_source
            kind = rng.choice(["kill", "freeze", "cut from the store"])
            self.findings.counts[f"fault: node {kind}"] += 1
            records.append((troubles.stores if kind == "cut from the store" else troubles.nodes)[number])
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

    async def _cut_paths(self, rng: random.Random) -> None:
        """Cut some or all nodes off from all servers, while the store, clients and other nodes still reach them."""
        await anyio.sleep(rng.uniform(2.0, 6.0))
        await self._cut_off(rng, rng.uniform(0.3, 8.0))

    async def _cut_off(self, rng: random.Random, seconds: float) -> None:
        numbers = rng.sample(range(NODES), rng.choice(self.cut_counts))
        kind = rng.choice(list(CutKind))
        self.findings.counts[f"fault: {len(numbers)} nodes without servers, {kind.value}"] += 1
        began = time.monotonic()
        for number in numbers:
            self._cut_counts[number] += 1
            self.traffic.cut_off(self.traffic.nodes[number], kind)
        try:
            await anyio.sleep(seconds)
        finally:
            for number in numbers:
                self._cut_counts[number] -= 1
                if not self._cut_counts[number]:
                    self.traffic.nodes[number].heal()
                self.findings.troubles_by_source.paths[number].append(Span(began, time.monotonic()))

    async def _fail_store(self, rng: random.Random) -> None:
        await anyio.sleep(rng.uniform(2.0, 6.0))
        store = self.traffic.fleet.store
        async with self._fault_lock, self._record_trouble() as records:
            records += [self.findings.troubles_by_source.stores[number] for number in range(NODES)]
            mode = rng.choice([Mode.BUSY, Mode.RESET, Mode.SILENT, Mode.LOSES_ANSWERS, None])
            self.findings.counts[f"fault: store {mode.value if mode else 'forgets'}"] += 1
            if mode is None:
                store.compact()
                return
            store.set_mode(mode)
            await anyio.sleep(rng.uniform(0.3, 5.0))
            store.set_mode(Mode.HEALTHY)

    async def _restore_store(self, rng: random.Random) -> None:
        """Restore the store from a copy that is some seconds old, at times twice in a row."""
        store = self.traffic.fleet.store
        for _ in range(rng.choice([1, 1, 2])):
            saved = store.copy()
            await anyio.sleep(rng.uniform(0.5, 4.0))
            async with self._fault_lock, self._record_trouble() as records:
                records += [self.findings.troubles_by_source.stores[number] for number in range(NODES)]
                self.findings.counts["fault: store restored"] += 1
                store.set_mode(rng.choice([Mode.BUSY, Mode.RESET, Mode.SILENT]))
                await anyio.sleep(rng.uniform(0.05, 1.5))
                store.restore(saved)
                store.set_mode(Mode.HEALTHY)
        await anyio.sleep(rng.uniform(2.0, 8.0))

    async def _fail_server(self, rng: random.Random) -> None:
        await anyio.sleep(rng.uniform(0.5, 3.0))
        server = self._pick_server(rng)
        kind = rng.choice(["crash", "dark", "leave", "leave without a word"])
        self.findings.counts[f"fault: server {kind}"] += 1
        if kind == "dark":
            async with self._silence_servers([server]):
                await anyio.sleep(rng.uniform(0.2, 2.0))
            return
        await self.traffic.fleet.add(f"127.0.0.1:{find_port()}", server.service, server.hall, server.kind)
        if kind == "crash":
            await self._crash_until_noticed(server)
            return
        await self._leave(server, is_announced=kind == "leave")

    async def _crash_until_noticed(self, server: Server) -> None:
        await self._crash(server)
        await anyio.sleep(3.6)
        self.traffic.fleet.store.remove(f"servers/{server.id}")

    async def _leave(self, server: Server, *, is_announced: bool) -> None:
        server.state = "draining"
        if is_announced:
            server.announce()
        else:
            self.traffic.fleet.store.remove(f"servers/{server.id}")
        self.findings.left_at[server.id] = time.monotonic()
        await anyio.sleep(DRAIN_TIME_S + 1.0)
        await wait_for(lambda: not server.active, limit=10.0)
        await self._crash(server, is_listed=False)

    def _list_ready_servers(self) -> list[Server]:
        """List the ready servers that have not crashed and are not leaving, since each server ends only once."""
        servers = self.traffic.fleet.servers.values()
        return [each for each in servers if each.state == "ready" and not (each.is_crashed or each.announces_leaving)]

    def _pick_server(self, rng: random.Random) -> Server:
        return rng.choice(self._list_ready_servers())

    async def _limit_server(self, rng: random.Random) -> None:
        """Make a server announce a rate limit, change it, and lift it."""
        await anyio.sleep(rng.uniform(0.5, 2.0))
        server = self._pick_server(rng)
        self.findings.counts["fault: server limited"] += 1
        for _ in range(rng.randint(1, 2)):
            server.rate_limit = rng.choice([0.5, 1.0, 3.0])
            await anyio.sleep(rng.uniform(4.0, 8.0))
        server.rate_limit = None

    async def _rest_server(self, rng: random.Random) -> None:
        """Make a server reject requests and ask for rest."""
        await anyio.sleep(rng.uniform(1.0, 4.0))
        server = self._pick_server(rng)
        self.findings.counts["fault: server asks for rest"] += 1
        server.rest = round(rng.uniform(0.6, 3.0), 2)
        await anyio.sleep(rng.uniform(0.3, 2.0))
        server.rest = None

    async def _announce_leaving(self, rng: random.Random) -> None:
        """Make a server announce in its responses that it leaves, before the server list shows it."""
        await anyio.sleep(rng.uniform(3.0, 8.0))
        server = self._pick_server(rng)
        self.findings.counts["fault: server says that it leaves"] += 1
        await self.traffic.fleet.add(f"127.0.0.1:{find_port()}", server.service, server.hall, server.kind)
        server.announces_leaving = True
        await anyio.sleep(rng.uniform(1.0, 4.0))
        await self._leave(server, is_announced=rng.random() < ANNOUNCED_LEAVE_SHARE)

    async def _silence_many(self, rng: random.Random) -> None:
        """Make some or all servers unresponsive at once, too briefly for a stream to be cut."""
        await anyio.sleep(rng.uniform(1.5, 5.0))
        servers = [server for server in self.traffic.fleet.servers.values() if not server.is_crashed]
        chosen = rng.choice([servers, [each for each in servers if each.kind], rng.sample(servers, len(servers) // 2)])
        self.findings.counts["fault: many servers silent"] += 1
        async with self._silence_servers(chosen):
            await anyio.sleep(rng.uniform(*SHORT_FAULT_RANGE_S))

    async def _fill_links(self, rng: random.Random) -> None:
        """Fill the links of some nodes for a short time."""
        await anyio.sleep(rng.uniform(1.0, 4.0))
        self.findings.counts["fault: links full"] += 1
        for node in rng.sample(self.traffic.nodes, rng.randint(1, NODES)):
            if node.link is not None:
                node.link.fill(rng.uniform(*SHORT_FAULT_RANGE_S))

    async def _change(self, rng: random.Random) -> None:
        """Add a route, add an API key, and remove another one."""
        await anyio.sleep(rng.uniform(0.3, 3.0))
        if self.traffic.fleet.store.mode is not Mode.HEALTHY:
            return
        removable = [key for key, at in self._keys.items() if at == NEVER and key != KEY]
        if removable:
            self._keys[rng.choice(removable)] = time.monotonic()
        self._keys[f"key-{self._version + 1}"] = NEVER
        self._write_configuration()
        await anyio.sleep(rng.uniform(0.0, 1.0))
        number = rng.randrange(NODES)
        await self._check_version(number, self._version)

    def _write_configuration(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        routes = make_configuration(1)["routes"]
        added = {**routes[3], "name": "new", "path_prefix": f"/new-{self._version}/"}
        keys = [key for key, at in self._keys.items() if at == NEVER]
        tenants = [{"name": "broker", "api_keys": keys, "priority": 1}]
        configuration = make_configuration(self._version, routes=[*routes, added, *self._extra_routes], tenants=tenants)
        configure(self.traffic.fleet.store, self._adapt_configuration(configuration))

    def _adapt_configuration(self, configuration: dict[str, Any]) -> dict[str, Any]:
        """Adapt the configuration to the kind of the run."""
        return configuration

    async def _change_often(self, rng: random.Random) -> None:
        """Change the configuration several times in a row, often a long one, and mostly make it short again."""
        await anyio.sleep(rng.uniform(2.0, 6.0))
        self._extra_routes = make_more_routes(rng.choice([0, 500, 2000]), rng)
        self.findings.counts[f"fault: changes in a row of {len(self._extra_routes)} routes"] += 1
        for _ in range(rng.randint(1, 6)):
            if self.traffic.fleet.store.mode is Mode.HEALTHY:
                self._write_configuration()
            await anyio.sleep(rng.choice([0.05, 0.3, 1.0]))
        if rng.random() < SHORTENING_SHARE:
            self._extra_routes = []

    async def _check_version(self, number: int, version: int) -> None:
        """Check that a process that has used a version never goes back to an older one."""
        process = self.traffic.nodes[number].process.popen.pid
        _, answer = await self._ask(f"/new-{version}/1", number)
        if answer is None or self.traffic.nodes[number].process.popen.pid != process or version != self._version:
            return
        if answer.status_code == httpx.codes.OK:
            self._used_versions[number, process] = version
        elif answer.status_code == httpx.codes.NOT_FOUND and self._used_versions[number, process] >= version:
            self.findings.faults.append(f"node {number} went back from version {version}")

    async def _stop_node(self, rng: random.Random) -> None:
        """Stop a node as planned, with a request in progress and no other fault of nodes or the store."""
        await anyio.sleep(rng.uniform(4.0, 9.0))
        async with self._fault_lock, self._reserve_node(rng) as node:
            if node is None or not await node.is_ready(self.traffic.client):
                return
            self.findings.counts["fault: node stopped"] += 1
            number = self.traffic.nodes.index(node)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._ask_through_a_stop, number)
                await anyio.sleep(0.2)
                self._send_stop(node)
            await self._finish_stop(node)

    def _send_stop(self, node: Node) -> None:
        node.process.send(signal.SIGTERM)
        self.findings.stops[self.traffic.nodes.index(node)].append(time.monotonic())

    async def _finish_stop(self, node: Node) -> None:
        with anyio.fail_after(STOP_TIME_S + SLACK_S):
            await asyncio.to_thread(node.process.popen.wait)
        node.restart()
        self.findings.trouble_spans.append((time.monotonic(), time.monotonic()))
        self.findings.restarts[self.traffic.nodes.index(node)].append(Span(time.monotonic(), time.monotonic()))

    async def _stop_in_trouble(self, rng: random.Random) -> None:
        """Stop a node as planned, with streams in progress, during a configuration change and the loss of a server."""
        await anyio.sleep(rng.uniform(4.0, 9.0))
        async with self._fault_lock, self._reserve_node(rng) as node, anyio.create_task_group() as tasks:
            if node is None or not await node.is_ready(self.traffic.client):
                return
            self.findings.counts["fault: node stopped in trouble"] += 1
            for _ in range(3):
                tasks.start_soon(self._ask, rng.choice(STREAMS), self.traffic.nodes.index(node))
            await anyio.sleep(0.2)
            self._write_configuration()
            await self._replace_lost(rng, tasks)
            await anyio.sleep(rng.uniform(0.0, 0.3))
            self._send_stop(node)
            await self._finish_stop(node)

    async def _replace_lost(self, rng: random.Random, tasks: TaskGroup) -> None:
        fleet = self.traffic.fleet
        server = rng.choice([each for each in self._list_ready_servers() if each.kind])
        await fleet.add(f"127.0.0.1:{find_port()}", server.service, server.hall, server.kind)
        tasks.start_soon(self._crash_until_noticed, server)

    async def _ask_through_a_stop(self, number: int) -> None:
        await self._ask("/letter/1", number, through_a_stop=True)


__all__ = ["SoakFaults"]
