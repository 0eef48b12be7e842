"""Nodes in platform mode as processes, with a stand-in of the platform and a client in the process of the test."""

from __future__ import annotations

import json
import re
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any

import anyio
import httpx
from anyio.abc import SocketAttribute, SocketStream

from rig.ports import find_port
from rig.processes import Process
from standins.link import Link
from standins.platform.operator import HOST, KEY, configure, make_configuration
from standins.platform.servers import Fleet, Server, open_fleet
from standins.relay import Path as NetworkPath
from standins.vm import CutKind

ACCEPT_TIME_S = 0.02  # seconds for the stand-ins to accept the last connections of nodes that have ended
LISTING_TIME_S = 0.3  # in which nodes usually read a new entry
MAX_LISTING_TIME_S = 5.0
START_TIME = 20.0  # seconds; generous, for busy machines


def list_ids(text: str) -> list[int]:
    return [int(found) for found in re.findall(r"^id: (\d+)$", text, re.MULTILINE)]


def assert_layers_once_in_order(fleet: Fleet) -> None:
    for run in fleet.runs:
        for chain in run.tokens:
            layers = [layer for part in chain for layer in range(part.first, part.end)]
            assert layers == list(range(fleet.layers)), f"token of {run.request} over {chain}"


def get_address(node: int) -> str:
    """Return the source IP address of the connections of a node that has its own link."""
    return f"127.0.1.{node + 1}"


async def wait_for(condition: Any, limit: float = START_TIME) -> None:
    with anyio.fail_after(limit):
        while True:
            if condition():
                return
            await anyio.sleep(0.02)


@dataclass
class Node:
    """One process of vaneturn-node."""

    process: Process
    client_port: int
    readiness_port: int
    metrics_port: int
    peer_port: int
    module: str
    arguments: list[str]
    store_path: NetworkPath  # network path to the store that tests cut and heal
    store_address: str  # differs for each node, so that a test can tell their calls apart
    link: Link | None  # limits the bandwidth of responses of the store and the servers
    cut_file: Path  # read by the stand-in of the VM; only a node with a link has one

    def cut(self, addresses: Iterable[str], kind: CutKind) -> None:
        """Cut the paths of this node to servers; its paths to the store, other nodes and clients stay."""
        assert self.link is not None, "only a node with a link can be cut off"
        ports = sorted(int(address.rpartition(":")[2]) for address in addresses)
        self._write_cut(json.dumps({"kind": kind.value, "ports": ports}))

    def cut_off(self, spared: Iterable[int], kind: CutKind) -> None:
        """Cut all paths of this node but those to the given ports."""
        assert self.link is not None, "only a node with a link can be cut off"
        self._write_cut(json.dumps({"kind": kind.value, "spared": sorted(spared)}))

    def heal(self) -> None:
        """End the cut."""
        self._write_cut("")

    def _write_cut(self, text: str) -> None:
        """Replace the file in one step, so that it is never read half written."""
        written = self.cut_file.with_suffix(".new")
        written.write_text(text)
        written.replace(self.cut_file)

    def restart(self) -> None:
        """Restart the process, as the platform does after its end."""
        self.process.end()
        self.process = Process(self.module, self.arguments, self.process.output)

    async def is_ready(self, client: httpx.AsyncClient) -> bool:
        try:
            answer = await client.get(f"http://127.0.0.1:{self.readiness_port}/api/readyz", timeout=1.0)
        except httpx.HTTPError:
            return False
        return answer.status_code == httpx.codes.OK

    async def lists(self, servers: list[Server], client: httpx.AsyncClient) -> bool:
        """Tell whether the node lists servers with the layers that they hold."""
        try:
            answer = await client.get(f"http://127.0.0.1:{self.metrics_port}/state", timeout=1.0)
        except httpx.HTTPError:
            return False
        # the id of one start is the server's name and the time of the start, if servers report that
        listed = {
            one["id"].partition("@")[0]: [tuple(layers) for layers in one["layers"]] for one in answer.json()["servers"]
        }
        return all(listed.get(server.id) == ([server.held] if server.held else []) for server in servers)

    async def wait_until_ready(self, client: httpx.AsyncClient) -> None:
        with anyio.fail_after(START_TIME):
            while True:
                if await self.is_ready(client):
                    return
                await anyio.sleep(0.05)

    def read_log(self) -> list[dict[str, Any]]:
        lines = self.process.output.read_bytes().splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.startswith(b"{") and line.endswith(b"\n")]

    def find_log(self, request: str) -> dict[str, Any]:
        """Return the log line for the end of a request; earlier lines name the request too."""
        return next(line for line in self.read_log() if line.get("request") == request and "steps" in line)

    async def wait_for_log(self, request: str) -> dict[str, Any]:
        """Wait for the log line for the end of a request; it is written after the client has the end of the answer."""
        await wait_for(lambda: any(line.get("request") == request and "steps" in line for line in self.read_log()))
        return self.find_log(request)


@dataclass
class Traffic:
    """The platform, its nodes and a client."""

    fleet: Fleet
    folder: Path
    client: httpx.AsyncClient
    bounds: dict[str, float]
    settings: dict[str, Any] = field(default_factory=dict)  # of each node, besides its addresses and bounds
    nodes: list[Node] = field(default_factory=list)
    _numbers: Any = field(default_factory=lambda: count(1))
    _links: dict[str, Link] = field(default_factory=dict)  # by IP address of the node

    def find_link(self, stream: SocketStream) -> Link | None:
        """Find the link of the node that opened a connection."""
        return self._links.get(stream.extra(SocketAttribute.remote_address)[0])  # noqa: S610 # not a SQL query

    async def start_node(self, link: Link | None = None) -> Node:
        client_port, readiness_port, metrics_port, peer_port = (find_port() for _ in range(4))
        store_port = find_port()
        await self.fleet.store.listen(f"127.0.0.1:{store_port}", self.fleet.tasks, lambda _: link)
        if link is not None:
            self.fleet.tasks.start_soon(link.run)
        store_path, path_port = NetworkPath(store_port), find_port()
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=path_port)
        self.fleet.tasks.start_soon(store_path.serve, listener)
        store_address = f"127.0.0.1:{path_port}"
        name = f"entry-{len(self.nodes) + 1}"
        settings = {
            "vm": name,
            "data_hall": "east",
            "client_address": f"127.0.0.1:{client_port}",
            "readiness_address": f"127.0.0.1:{readiness_port}",
            "metrics_address": f"127.0.0.1:{metrics_port}",
            "peer_address": f"127.0.0.1:{peer_port}",
            "store_address": store_address,
            "bounds": self.bounds,
            "admission": True,
            **self.settings,
        }
        path, cut_file = self.folder / f"{name}.json", self.folder / f"{name}.cut"
        path.write_text(json.dumps(settings))
        module, arguments = "vaneturn_node", ["--platform", "--settings", str(path)]
        if link is not None:
            address = get_address(len(self.nodes))
            self._links[address] = link
            module, arguments = "standins.vm", [address, str(cut_file), module, *arguments]
        process = Process(module, arguments, self.folder / f"{name}.log")
        ports = (client_port, readiness_port, metrics_port, peer_port)
        node = Node(process, *ports, module, arguments, store_path, store_address, link, cut_file)
        self.nodes.append(node)
        await node.wait_until_ready(self.client)
        return node

    def cut_off(self, node: Node, kind: CutKind) -> None:
        """Cut the paths of a node to all servers, also to those that are added later."""
        store_port = int(node.store_address.rpartition(":")[2])
        node.cut_off([store_port, *(each.peer_port for each in self.nodes)], kind)

    async def add_chains(self, halls: tuple[str, ...] = ("east", "west"), per_hall: int = 2) -> list[Server]:
        """Add model servers, and wait until they hold whole chains."""
        servers = [
            await self.fleet.add(f"127.0.0.1:{find_port()}", "llm", hall, "big")
            for hall in halls
            for _ in range(per_hall)
        ]
        await wait_for(lambda: all(server.held for server in servers))
        await self._wait_until_listed(servers)
        return servers

    async def add_desk(self) -> Server:
        server = await self.fleet.add(f"127.0.0.1:{find_port()}", "desk", "east", None)
        await self._wait_until_listed([server])
        return server

    async def _wait_until_listed(self, servers: list[Server]) -> None:
        """Wait until the nodes have read the entries of servers, with the layers that these hold.

        A node that did not run for the usual 0.3 s refused the first request of a test, as it knew of no server.
        """
        await anyio.sleep(LISTING_TIME_S)
        with anyio.move_on_after(MAX_LISTING_TIME_S):  # a test may have nodes that cannot read the store
            while True:
                if all([await node.lists(servers, self.client) for node in self.nodes if isinstance(node, Node)]):
                    return  # a node in the process of its test has no such object
                await anyio.sleep(0.05)

    async def ask(self, path: str, method: str = "POST", node: int = 0, **headers: str) -> httpx.Response:
        """Send a request and read the complete answer; underscores in names of headers become dashes."""
        return await self.client.send(self.build(path, method, node, **headers))

    async def ask_for(self, body: bytes, path: str, node: int = 0, **headers: str) -> httpx.Response:
        """Send a request with the given body."""
        return await self.client.send(self._build(path, "POST", node, body, headers))

    def build(self, path: str, method: str = "POST", node: int = 0, **headers: str) -> httpx.Request:
        """Build a request as `ask` sends it."""
        return self._build(path, method, node, b"letter", headers)

    def _build(self, path: str, method: str, node: int, body: bytes, headers: dict[str, str]) -> httpx.Request:
        all_headers = {
            "Host": HOST,
            "X-Request-Id": f"request-{next(self._numbers)}",
            "X-Deadline-Ms": "5000",
            "X-Model": "m",
            "X-Token-Usage": "100,30",
            "Authorization": f"Token {KEY}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        url = f"http://127.0.0.1:{self.nodes[node].client_port}{path}"
        return self.client.build_request(method, url, headers={k: v for k, v in all_headers.items() if v}, content=body)


@asynccontextmanager
async def open_traffic(
    folder: Path, nodes: int = 1, link_rate: float | None = None, **bounds: float
) -> AsyncIterator[Traffic]:
    """Run a platform with a configuration, and nodes; wait until they are ready.

    :param link_rate: bytes per second of the link of each node; None for nodes without links.
    """
    async with _open_platform(folder, make_configuration(1), bounds, {}) as traffic:
        for _ in range(nodes):
            await traffic.start_node(Link(link_rate) if link_rate is not None else None)
        yield traffic


@asynccontextmanager
async def open_limited_traffic(
    folder: Path, settings: dict[str, Any], configuration: dict[str, Any]
) -> AsyncIterator[Traffic]:
    """Run a platform with a configuration, and one node with more settings; wait until it is ready."""
    async with _open_platform(folder, configuration, {}, settings) as traffic:
        await traffic.start_node()
        yield traffic


@asynccontextmanager
async def _open_platform(
    folder: Path, configuration: dict[str, Any], bounds: dict[str, float], settings: dict[str, Any]
) -> AsyncIterator[Traffic]:
    address = f"127.0.0.1:{find_port()}"
    async with open_fleet(address) as fleet, httpx.AsyncClient(timeout=10.0) as client:
        traffic = Traffic(fleet, folder, client, bounds, settings)
        fleet.find_link = traffic.find_link
        configure(fleet.store, configuration)
        try:
            yield traffic
        finally:
            for node in traffic.nodes:
                node.process.end()
            await anyio.sleep(ACCEPT_TIME_S)


__all__ = [
    "START_TIME",
    "Node",
    "Traffic",
    "assert_layers_once_in_order",
    "get_address",
    "list_ids",
    "open_limited_traffic",
    "open_traffic",
    "wait_for",
]
