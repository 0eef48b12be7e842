"""The randomised run in which servers close kept connections at any moment and send surplus answers.

Most requests must run once.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Awaitable, Callable

import anyio
import httpx

from rig.trafficsoak import TrafficSoak, main
from standins.platform.operator import KEY
from standins.platform.wire import Exchange, KeptConnection

CLOSED_SHARE = 0.3  # of the connections, after each answer
SURPLUS_SHARE = 0.1  # of the answers that are followed by another one
MAX_DELAY_S = 0.3  # seconds from an answer to the end of its connection, or to the surplus one
LINGER_S = 1.5  # seconds after which servers close idle connections
PATHS = ("/once/1", "/once/1", "/notice/1", "/once/1", "/letter/1", "/check/1")


class OnceSoak(TrafficSoak):
    """Runs the clients of TrafficSoak beside others whose requests must run once."""

    def list_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        self._rng = random.Random(f"{self._seed} connections")
        self.traffic.fleet.after_answer = self._spoil_connection
        return [
            self._fail_node, self._fail_server, self._change, self._stop_node, self._silence_many, self._rest_server,
            self._announce_leaving, self._fail_store, *[self._ask_once] * 8,
        ]  # fmt: skip

    def list_path_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        return [self._cut_paths, self._cut_paths]

    async def _ask_once(self, rng: random.Random) -> None:
        path = rng.choice(PATHS)
        request, answer = await self._ask(path, rng.randrange(len(self.traffic.nodes)), KEY)
        if path in {"/once/1", "/notice/1"}:
            self.findings.run_once.add(request)
        if answer is None or answer.status_code != httpx.codes.OK:
            await anyio.sleep(0.05)

    def _spoil_connection(self, exchange: Exchange, connection: KeptConnection) -> None:
        tasks = self.traffic.fleet.tasks
        tasks.start_soon(self._close_idle, exchange, connection, LINGER_S)
        if self._rng.random() < CLOSED_SHARE:
            tasks.start_soon(self._close_idle, exchange, connection, self._rng.uniform(0.0, MAX_DELAY_S))
        elif self._rng.random() < SURPLUS_SHARE:
            tasks.start_soon(self._send_surplus, exchange, connection, self._rng.uniform(0.0, MAX_DELAY_S))

    async def _close_idle(self, exchange: Exchange, connection: KeptConnection, delay: float) -> None:
        """Close a connection some time after an exchange, unless another one has begun on it."""
        await anyio.sleep(delay)
        await connection.close_idle(exchange)

    async def _send_surplus(self, exchange: Exchange, connection: KeptConnection, delay: float) -> None:
        await anyio.sleep(delay)
        request = exchange.call.headers.get("x-request-id", "")
        kind = self._rng.choice(["answer", "refusal", "refusal without an id"])
        self.findings.counts[f"surplus {kind}"] += 1
        status, headers = {
            "answer": ("200 OK", {"X-Request-Id": request, "X-Response-Seal": "surplus"}),
            "refusal": ("503 Service Unavailable", {"X-Request-Id": request, "X-Not-Executed": "1"}),
            "refusal without an id": ("400 Bad Request", {"X-Not-Executed": "1"}),
        }[kind]
        lines = [f"{name}: {value}" for name, value in {**headers, "Content-Length": "0"}.items()]
        await connection.send_surplus("\r\n".join([f"HTTP/1.1 {status}", *lines, "", ""]).encode())


if __name__ == "__main__":
    sys.exit(main(OnceSoak))
