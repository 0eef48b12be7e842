"""Nodes as processes, as the deploy file starts them, and a small client; the stand-ins are the project's own."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio

from standins.platform.operator import HOST
from standins.platform.store import Store
from standins.platform.wire import Exchange

ROOT = Path(__file__).parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COULD_NOT_RUN = 2


def find_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Node:
    """One process of the node."""

    def __init__(self, folder: Path, name: str, store_address: str) -> None:
        self.name = name
        self.client, self.readiness, metrics, peer = (find_port() for _ in range(4))
        self.metrics = metrics
        settings = {
            "vm": name,
            "data_hall": "east",
            "client_address": f"127.0.0.1:{self.client}",
            "readiness_address": f"127.0.0.1:{self.readiness}",
            "metrics_address": f"127.0.0.1:{metrics}",
            "peer_address": f"127.0.0.1:{peer}",
            "store_address": store_address,
            "admission": True,
            "bounds": {  # of swanreach-hq
                "keys_valid_ms": 5000, "leaving_ms": 2000, "change_ms": 2000, "stop_s": 8,
                "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 200,
            },
        }  # fmt: skip
        self.path, self.log = folder / f"{name}.json", folder / f"{name}.log"
        self.path.write_text(json.dumps(settings))
        self.start()

    def start(self) -> None:
        environment = {
            "PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT / "target/deps"), "VANETURN_NODE_FILE": str(self.path),
            "VANETURN_MEMORY_MB": "300", "VANETURN_MAX_DESCRIPTORS": "4100",
        }  # fmt: skip
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "vaneturn_node", "--platform"],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )  # fmt: skip

    async def is_ready(self) -> bool:
        status, _ = await call(self.readiness, ["GET /api/readyz HTTP/1.1", "Host: a"], 1.0)
        return status == 200

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class CutStore(Store):
    """The project's stand-in of the store; a second address leads over a path that can be cut silently."""

    def __init__(self) -> None:
        super().__init__()
        self.is_cut = False
        self._cut_exchanges: set[Exchange] = set()  # that came over the path that can be cut

    async def answer_cut(self, exchange: Exchange) -> None:
        """Answer a call over that path: bytes of neither side pass while it is cut."""
        if self.is_cut:
            await exchange.watch_client()
            await exchange.close()
        self._cut_exchanges.add(exchange)
        try:
            await self._answer(exchange)
        finally:
            self._cut_exchanges.discard(exchange)

    async def _reply(self, exchange: Exchange, status: int, body: bytes) -> None:
        if self.is_cut and exchange in self._cut_exchanges:
            await exchange.watch_client()
            await exchange.close()
        await super()._reply(exchange, status, body)


async def call(port: int, head: list[str], limit: float, body: bytes = b"") -> tuple[int, bytes]:
    """Send a request on a new connection that closes after the answer; return status 0 without a whole answer."""
    answer = b""
    with anyio.move_on_after(limit):
        try:
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send("\r\n".join([*head, "Connection: close", "", ""]).encode() + body)
                while True:
                    answer += await stream.receive()
        except anyio.EndOfStream:
            top, _, rest = answer.partition(b"\r\n\r\n")
            is_chunked = b"transfer-encoding: chunked" in top.lower()
            if top and (not is_chunked or rest.endswith(b"0\r\n\r\n")):
                return int(top.split()[1]), rest
        except (OSError, anyio.BrokenResourceError):
            pass
    return 0, answer


async def ask(port: int, request: str, key: str, path: str, method: str = "GET", limit: float = 2.0) -> int:
    head = [
        f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request}",
        f"X-Deadline-Ms: {int(limit * 1000)}", f"Authorization: Token {key}", "Content-Length: 0",
        "X-Token-Usage: 20,10",
    ]  # fmt: skip
    status, _ = await call(port, head, limit + 0.5)
    return status


async def wait_until(condition: Callable[[], Awaitable[bool]], limit: float) -> bool:
    with anyio.move_on_after(limit):
        while not await condition():
            await anyio.sleep(0.1)
        return True
    return False


def run_case(folder: Path, play: Callable[[Path, list[str], list[Node]], Awaitable[int]]) -> int:
    """Play a case, end all its processes, and write its record; return the exit code."""
    record: list[str] = []
    nodes: list[Node] = []
    code = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                code = anyio.run(play, Path(temporary), record, nodes)
            finally:
                for node in nodes:
                    node.end()
                if os.environ.get("KEEP_LOGS"):
                    for node in nodes:
                        Path(os.environ["KEEP_LOGS"], node.log.name).write_bytes(node.log.read_bytes())
    finally:
        (folder / "record.txt").write_text("\n".join([*record, f"exit {code}", ""]))
    return code


__all__ = ["COULD_NOT_RUN", "ROOT", "TROUBLE", "CutStore", "Node", "ask", "call", "find_port", "run_case", "wait_until"]
