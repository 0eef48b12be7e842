"""A small platform for the cases of the second review: nodes as processes, and stand-ins in this process.

The store and the servers are the project's own stand-ins (tests/standins/platform). The client is written here. Only
what the build of the deploy file installs is imported.
"""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
DEPS = os.environ.get("CASE_DEPS", str(ROOT / "target" / "deps"))  # of the build of the deploy file
sys.path[:0] = [DEPS, str(ROOT / "tests")]

import anyio  # noqa: E402
import h11  # noqa: E402
from standins.platform.servers import Fleet, Server  # noqa: E402
from standins.platform.store import Store  # noqa: E402

HOST = "ficu95.example"
KEYS = {"hule930": "n2ctnfzs989anu6wsjnb", "gora361": "q7xw2kd0v1mzp5r8tbcy"}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


_PORTS: set[int] = set()  # that were given out


def find_port() -> int:
    """Find a free port, below those of outgoing connections, so that none of these takes it meanwhile."""
    while True:
        port = random.randrange(10_000, 32_000)
        if port in _PORTS:
            continue
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        _PORTS.add(port)
        return port


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def note(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")
        self._file.flush()


@dataclass
class Answer:
    """What a client has got."""

    request: str
    sent: float  # monotonic
    status: int = 0  # 0: the connection ended without an answer
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    ended: float = 0.0

    @property
    def is_sealed(self) -> bool:
        return "x-response-seal" in self.headers


@dataclass
class NodeProcess:
    """One node, started with the command of the deploy file."""

    name: str
    folder: Path
    settings: dict[str, Any]
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": DEPS,
            "VANETURN_NODE_FILE": str(path),
            "VANETURN_MEMORY_MB": "300",
            "VANETURN_MAX_DESCRIPTORS": "4100",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            command = ["python3", "-S", "-m", "vaneturn_node", "--platform"]
            self.popen = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def send(self, number: signal.Signals) -> None:
        assert self.popen is not None
        self.popen.send_signal(number)

    def end(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    @property
    def port(self) -> int:
        return int(self.settings["client_address"].rpartition(":")[2])

    async def is_ready(self) -> bool:
        host, _, port = self.settings["readiness_address"].rpartition(":")
        try:
            with anyio.fail_after(1.0):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    return (await stream.receive()).startswith(b"HTTP/1.1 200")
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return False


async def ask(
    port: int, method: str, target: str, headers: dict[str, str], body: bytes = b"", limit: float = 25.0
) -> Answer:
    """Send a request on a new connection, and read its answer to the end."""
    answer = Answer(headers.get("X-Request-Id", ""), time.monotonic())
    protocol = h11.Connection(h11.CLIENT)
    try:
        with anyio.fail_after(limit):
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                sent = {"Host": HOST, **headers}
                if body:
                    sent["Content-Length"] = str(len(body))
                request = protocol.send(h11.Request(method=method, target=target, headers=list(sent.items()))) or b""
                request += (protocol.send(h11.Data(data=body)) or b"") if body else b""
                await stream.send(request + (protocol.send(h11.EndOfMessage()) or b""))
                await _read(stream, protocol, answer)
    except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError, h11.RemoteProtocolError):
        pass
    answer.ended = time.monotonic()
    return answer


async def _read(stream: Any, protocol: h11.Connection, answer: Answer) -> None:
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            try:
                protocol.receive_data(await stream.receive())
            except anyio.EndOfStream:
                protocol.receive_data(b"")
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {name.decode().lower(): value.decode() for name, value in event.headers}
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            answer.is_whole = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            return


def make_configuration(version: int, *, layers: int = 8, **changes: Any) -> dict[str, Any]:
    """Make a configuration as the pages show it: a model that one runner holds whole, and a plain service."""
    common = {"host": HOST, "slo_ms": 500, "priority": 1, "max_attempts": 2, "public": False}
    engine = {
        "slots": 96, "kv_capacity": 50000, "kv_token_bytes": 400000, "link_mbps": 400000.0, "stride": 3,
        "models": [{"name": "daka510000", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}], "step_ms": 1.02,
        "per_seq_ms": 0.01428, "context_per_k": 0.01912, "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512,
        "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 5, "delays": [],
        "usual": {"prompt": 774, "answer": 200}, "layers": layers, "layer_mb": 1750.0, "act_bytes": 91800,
        "pipe_mbps": 26000.0, "kinds": [{"name": "a100", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}],
    }  # fmt: skip
    configuration = {
        "version": version,
        "routes": [
            {
                **common, "name": "r-stream", "path_prefix": "/lohu930/", "route_type": "stream", "timeout_ms": 20000,
                "service": "huvo11a", "sticky": True, "resumable": True, "gap_aim_ms": 200,
            },
            {
                **common, "name": "r-once", "path_prefix": "/puxa403/", "route_type": "unsafe", "timeout_ms": 1500,
                "service": "wuno96b", "max_attempts": 1,
            },
            {
                **common, "name": "r-safe", "path_prefix": "/cuti104/", "route_type": "safe", "timeout_ms": 1500,
                "service": "wuno96b",
            },
        ],
        "services": [
            {"name": "huvo11a", "health_path": "/healthz", "max_conns": 1138, "engine": engine},
            {"name": "wuno96b", "health_path": "/healthz", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": name, "api_keys": [key]} for name, key in KEYS.items()],
    }  # fmt: skip
    return {**configuration, **changes}


@dataclass
class World:
    """The store, the servers and the nodes of a case."""

    folder: Path  # of the case
    tasks: Any
    record: Record
    temporary: Path
    store: Store
    fleet: Fleet
    nodes: list[NodeProcess] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    _numbers: int = 0

    def configure(self, version: int, **changes: Any) -> None:
        value = json.dumps(make_configuration(version, **changes)).encode()
        self.store.put("op/config", value)
        self.record.note(f"configuration {version} acknowledged")

    def start_node(self, zone: str = "osborne", store_address: str | None = None) -> NodeProcess:
        number = len(self.nodes) + 1
        bounds = {
            "keys_valid_ms": 5000, "leaving_ms": 2000, "change_ms": 2000, "stop_s": 8.0,
            "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 200,
        }  # fmt: skip
        settings = {
            "vm": f"edge-{zone}-{number}",
            "data_hall": zone,
            **{f"{one}_address": f"127.0.0.1:{find_port()}" for one in ("client", "readiness", "metrics", "peer")},
            "store_address": store_address or self.store_address,
            "admission": True,
            "bounds": bounds,
        }
        node = NodeProcess(settings["vm"], self.temporary, settings)
        node.start()
        self.nodes.append(node)
        return node

    store_address: str = ""

    async def wait_until_ready(self, limit: float = 30.0) -> None:
        await self.wait_for(lambda: self._are_ready(), limit, "nodes ready")

    async def _are_ready(self) -> bool:
        return all([await node.is_ready() for node in self.nodes])

    async def wait_for(self, condition: Callable[[], Awaitable[bool]], limit: float, what: str) -> None:
        try:
            with anyio.fail_after(limit):
                while not await condition():
                    await anyio.sleep(0.05)
        except TimeoutError:
            self.record.note(f"not in time: {what}")
            raise CannotRunError(what) from None

    async def wait_until_loaded(self, servers: list[Server], limit: float = 30.0) -> None:
        async def is_loaded() -> bool:
            return all(server.held for server in servers)

        await self.wait_for(is_loaded, limit, "runners loaded")
        await anyio.sleep(1.0)

    async def add_server(self, service: str, zone: str, kind: str | None, software: str = "v1") -> Server:
        return await self.fleet.add(f"127.0.0.1:{find_port()}", service, zone, kind, software)

    def make_headers(self, **changes: str) -> dict[str, str]:
        self._numbers += 1
        headers = {
            "X-Request-Id": f"{random.getrandbits(48):012x}{self._numbers:04x}",
            "X-Deadline-Ms": "20000",
            "Authorization": f"Token {KEYS['hule930']}",
        }
        return headers | {name.replace("_", "-"): value for name, value in changes.items()}

    async def send(self, node: NodeProcess, method: str, target: str, body: bytes = b"", **headers: str) -> Answer:
        """Send a request of a client, and record what came back."""
        sent = self.make_headers(**headers)
        self.record.note(f"sent {sent['X-Request-Id']} {method} {target} to {node.name}")
        answer = await ask(node.port, method, target, sent, body)
        self.answers.append(answer)
        whole = "whole" if answer.is_whole else "cut"
        sealed = "sealed" if answer.is_sealed else f"unsealed {answer.body[:120]!r}"
        took = answer.ended - answer.sent
        self.record.note(f"answered {answer.request} {answer.status} {whole} {sealed} after {took:.3f}s")
        return answer


class CannotRunError(Exception):
    """The case could not be set up."""


def run_case(file: str, play: Callable[[World], Awaitable[bool]]) -> None:
    """Play a case, end all processes, and exit; `play` returns whether the rule held."""
    folder = Path(file).resolve().parent
    random.seed()
    sys.exit(anyio.run(_run, folder, play))


async def _run(folder: Path, play: Callable[[World], Awaitable[bool]]) -> int:
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="vaneturn-case-"))
    nodes: list[NodeProcess] = []
    code = CANNOT_RUN
    try:
        async with anyio.create_task_group() as tasks:
            store = Store()
            address = f"127.0.0.1:{find_port()}"
            await store.start(address, tasks)
            world = World(folder, tasks, record, temporary, store, Fleet(store, tasks), nodes, store_address=address)
            try:
                with anyio.move_on_after(110):
                    code = HELD if await play(world) else BROKEN
            except CannotRunError:
                code = CANNOT_RUN
            tasks.cancel_scope.cancel()
    finally:
        for node in nodes:
            node.end()
        if os.environ.get("KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "the case could not run"}[code]
    record.note(verdict)
    print(verdict)
    return code
