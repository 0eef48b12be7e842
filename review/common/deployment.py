"""A small deployment on loopback addresses: a store, runners, nodes started as the deploy file says, and clients.

The store and the runners are the project's own stand-ins (tests/standins). The nodes are separate processes, started
with the command and the settings template of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.platform.operator import HOST, KEY, configure, make_configuration
from standins.platform.servers import Fleet, Server, open_fleet

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {  # of the site swanreach-hq
    "revoke_ms": 5000, "drain_ms": 2000, "config_ms": 2000, "grace_s": 8,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 200,
}  # fmt: skip
READY_TIME_S = 20.0
MAX_TIME_S = 105.0  # of a whole case
IN_TOUCH_S = 3.5  # after their start, machines are in touch: contact_ms is 3,000
# an own loopback address for each run, so that no other run takes its ports
ADDRESS = f"127.1.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
RESTART_DELAY_S = 0.5  # the platform starts a process that has ended again
WORK_TIME_S = 0.2  # of a plain runner on a request


def find_port() -> int:
    with socket.socket() as listener:
        listener.bind((ADDRESS, 0))
        return int(listener.getsockname()[1])


class Record:
    """Writes what happened to record.txt, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        line = f"{self.now:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)

    def write_table(self, answers: Iterable[Answer], fleet: Fleet) -> None:
        """Write what was sent, answered and run for each request, to the file only."""
        self._file.write("sent s, answered s, request: status, complete; runners that ran it\n")
        for one in sorted(answers, key=lambda answer: answer.sent_at):
            servers = " ".join(run.server for run in fleet.find_runs(one.request)) or "none"
            end = "complete" if one.is_complete else "NOT COMPLETE"
            times = f"{one.sent_at:8.3f} {one.ended_at:8.3f}"
            self._file.write(f"{times}  {one.request}: {one.status}, {end}; {servers}\n")
        self._file.flush()


def fill_template(values: dict[str, Any]) -> str:
    """Fill the settings template of the deploy file; it holds plain gaps only."""

    def fill(found: re.Match[str]) -> str:
        value: Any = values
        for name in found["path"].split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return json.dumps(value) if found["json"] else str(value)

    text = (ROOT / "deploy/settings.json").read_text()
    return re.sub(r"\{\{(?P<path>[\w.]+)(?P<json>\|json)?\}\}", fill, text)


@dataclass
class Node:
    """One node; `start` may be called again after its process has ended."""

    name: str
    settings: Path
    client_port: int
    readiness_port: int
    output: Path
    process: subprocess.Popen[bytes] | None = None
    exits: list[int] = field(default_factory=list)

    def start(self) -> None:
        role = next(iter(tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values()))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {**kept, "PYTHONPATH": os.environ["NODE_PATH"], "VANETURN_NODE_FILE": str(self.settings)}
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=output, stderr=subprocess.STDOUT
            )

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


@dataclass
class Answer:
    """What a client got for one request."""

    request: str
    status: int | None = None  # None: the connection ended without the head of an answer
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    end: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0

    def describe(self) -> str:
        seal = self.headers.get("x-response-seal")
        text = f"{self.request}: status {self.status}, seal {seal}, {len(self.body)} bytes of body"
        if "text/event-stream" in self.headers.get("content-type", ""):
            text += f", {self.body.count(b'id: ')} events"
        elif self.status is not None and self.status >= 400:
            text += f" {self.body[:160]!r}"
        return f"{text}, {'complete' if self.is_complete else 'NOT COMPLETE: ' + self.end}"


class Client:
    """One connection of a client; it sends one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection(ADDRESS, port))

    def close(self) -> None:
        self._writer.transport.abort()

    async def ask(
        self, request: str, method: str, path: str, *, body: bytes = b"", now: Any = time.monotonic, **headers: str
    ) -> Answer:
        """Send a request and read its answer; underscores in names of headers become dashes."""
        fields = {
            "Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "20000", "Authorization": f"Token {KEY}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }  # fmt: skip
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        answer = Answer(request, sent_at=now())
        try:
            self._writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await self._writer.drain()
            await self._read(answer)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.end = type(error).__name__
        answer.ended_at = now()
        return answer

    async def _read(self, answer: Answer) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split()[1])
        pairs = (line.partition(":") for line in head[1:] if line)
        answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await self._reader.readline(), 16):
                answer.body += (await self._reader.readexactly(size + 2))[:-2]
            await self._reader.readline()
        else:
            left = int(answer.headers["content-length"])
            while left:
                data = await self._reader.read(left)
                if not data:
                    raise asyncio.IncompleteReadError(answer.body, left)
                answer.body += data
                left -= len(data)
        answer.is_complete = True


@dataclass
class Deployment:
    """The store, the runners and the nodes."""

    fleet: Fleet
    folder: Path
    store_address: str
    nodes: list[Node] = field(default_factory=list)

    async def start_nodes(self, count: int) -> None:
        for _ in range(count):
            name = f"edge-east-{len(self.nodes) + 1}"
            ports = [find_port() for _ in range(4)]
            settings = self.folder / f"{name}.json"
            values = {
                "node_name": name, "zone": "east", "ip": ADDRESS, "port_range": ports[2:], "bounds": BOUNDS,
                "listen": {"frontend": f"{ADDRESS}:{ports[0]}", "readiness": f"{ADDRESS}:{ports[1]}"},
                "platform": {"addr": self.store_address},
            }  # fmt: skip
            settings.write_text(fill_template(values))
            node = Node(name, settings, ports[0], ports[1], self.folder / f"{name}.log")
            node.start()
            self.nodes.append(node)
        for node in self.nodes:
            await self.wait_until(lambda node=node: is_ready(node), READY_TIME_S)
        await asyncio.sleep(IN_TOUCH_S)

    async def add_runners(self, service: str, halls: list[str], kind: str | None) -> list[Server]:
        servers = [await self.fleet.add(f"{ADDRESS}:{find_port()}", service, hall, kind) for hall in halls]
        if kind is not None:
            await self.wait_until(lambda: all(server.held for server in servers), READY_TIME_S)
        await asyncio.sleep(1.0)  # until all nodes know them
        return servers

    async def wait_until(self, condition: Any, limit: float) -> None:
        async with asyncio.timeout(limit):
            while True:
                found = condition()
                if await found if asyncio.iscoroutine(found) else found:
                    return
                await asyncio.sleep(0.02)


async def is_ready(node: Node) -> bool:
    try:
        client = await Client.connect(node.readiness_port)
    except OSError:
        return False
    answer = await client.ask("ready", "GET", "/api/readyz")
    client.close()
    return answer.status == 200


@asynccontextmanager
async def open_deployment(nodes: int) -> AsyncIterator[Deployment]:
    """Start a store with a configuration, and nodes; end all of them at the end."""
    address = f"{ADDRESS}:{find_port()}"
    with tempfile.TemporaryDirectory() as folder:
        async with open_fleet(address) as fleet:
            configure(fleet.store, make_configuration(1))
            deployment = Deployment(fleet, Path(folder), address)
            try:
                await deployment.start_nodes(nodes)
                yield deployment
            finally:
                for node in deployment.nodes:
                    node.end()


class KeptClient:
    """A client that sends safe requests on one connection, one after the other, and opens a new one when it is closed."""

    def __init__(self, name: str, node: Node, record: Record) -> None:
        self.name = name
        self.answers: list[Answer] = []
        self._node = node
        self._record = record

    async def run(self, until: float) -> None:
        """Send requests up to a time of the record."""
        connection: Client | None = None
        try:
            while self._record.now < until:
                if connection is None:
                    try:
                        connection = await Client.connect(self._node.client_port)
                    except OSError:
                        await asyncio.sleep(0.1)
                        continue
                answer = await self._ask(connection)
                if not answer.is_complete or answer.headers.get("connection") == "close":
                    connection.close()
                    connection = None
        finally:
            if connection is not None:
                connection.close()

    async def _ask(self, connection: Client) -> Answer:
        request = f"{self.name}-{len(self.answers) + 1}"
        answer = await connection.ask(request, "GET", "/check/1", now=lambda: self._record.now, X_Deadline_Ms="1500")
        self.answers.append(answer)
        if not answer.is_complete:
            self._record.write(f"on a kept connection of {self._node.name}: {answer.describe()}")
        return answer


async def restart_ended(nodes: list[Node], record: Record) -> None:
    """Start processes that have ended again, as the platform does, until cancelled."""
    while True:
        for node in nodes:
            assert node.process is not None
            code = node.process.poll()
            if code is not None:
                node.exits.append(code)
                record.write(f"{node.name} has ended by itself with exit code {code}; its last line of output:")
                record.write(f"    {node.output.read_text().strip().splitlines()[-2].strip(' |')}")
                await asyncio.sleep(RESTART_DELAY_S)
                node.start()
        await asyncio.sleep(0.05)


def list_lost(clients: list[KeptClient], fleet: Fleet, record: Record) -> list[Answer]:
    """List the requests that were passed on to a sound runner and whose kept connection was shut without an answer."""
    answers = [answer for client in clients for answer in client.answers]
    lost = [one for one in answers if one.status is None and fleet.find_runs(one.request)]
    record.write_table(answers, fleet)
    served = sum(one.status == 200 and one.is_complete for one in answers)
    record.write(f"{len(answers)} requests on kept connections, {served} served")
    record.write(f"passed on to a sound runner, and their connection shut without an answer: {len(lost)}")
    return lost


def has_trouble() -> bool:
    """Tell whether the disruption takes place; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def _stop(*_: object) -> None:
    raise SystemExit(2)


def run_case(main: Any, folder: Path) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, _stop)  # so that all processes are ended then as well
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={int(has_trouble())}")
    try:
        is_broken = asyncio.run(asyncio.wait_for(main(record), MAX_TIME_S))
    except BaseException as error:  # noqa: BLE001 # any failure of the case itself
        record.write(f"the case could not run: {error!r}")
        sys.exit(2)
    record.write("the rule is BROKEN" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
