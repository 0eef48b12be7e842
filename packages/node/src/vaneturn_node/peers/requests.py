"""Requests between nodes over ZeroMQ: a ROUTER socket for answers, a DEALER socket for each peer."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import zmq
import zmq.asyncio
from anyio.abc import TaskGroup

from vaneturn_core.decoding import MalformedError, decode_with
from vaneturn_node.metrics import Metrics
from vaneturn_node.peers.messages import ANSWER_DECODER, ENCODER, QUERY_DECODER, Answer, Query
from vaneturn_node.peers.seal import Sealer

IDLE_TIMEOUT_S: Final = 60.0  # without a request, after which the connection to a peer is closed

logger = logging.getLogger(__name__)

Handler = Callable[[Query], Awaitable[Answer | None]]


class PeerServer:
    """Answers the requests of other nodes."""

    def __init__(self, context: zmq.asyncio.Context, address: str, sealer: Sealer, metrics: Metrics) -> None:
        self._context = context
        self._address = address
        self._sealer = sealer
        self._metrics = metrics

    async def run(self, handle: Handler) -> None:
        """Answer requests until cancelled, each in its own task."""
        with self._context.socket(zmq.ROUTER) as socket:
            socket.linger = 0
            socket.bind(f"tcp://{self._address}")
            async with anyio.create_task_group() as tasks:
                while True:
                    peer, number, message = await socket.recv_multipart()
                    self._metrics.peer_bytes.labels("received").inc(len(message))
                    tasks.start_soon(self._answer, socket, peer, number, message, handle)

    async def _answer(
        self, socket: zmq.asyncio.Socket, peer: bytes, number: bytes, message: bytes, handle: Handler
    ) -> None:
        payload = self._sealer.open(message)
        if payload is None:
            self._metrics.dropped.labels("seal").inc()
            return
        try:
            answer = await handle(decode_with(QUERY_DECODER, payload))
        except MalformedError:
            self._metrics.dropped.labels("request").inc()
            return
        if answer is None:
            return
        sealed = self._sealer.seal(ENCODER.encode(answer))
        self._metrics.peer_bytes.labels("sent").inc(len(sealed))
        await socket.send_multipart([peer, number, sealed])


class PeerClient:
    """Sends requests to other nodes; uses one connection and one reading task for each peer."""

    def __init__(self, context: zmq.asyncio.Context, tasks: TaskGroup, sealer: Sealer, metrics: Metrics) -> None:
        self._context = context
        self._tasks = tasks
        self._sealer = sealer
        self._metrics = metrics
        self._connections: dict[str, _Connection] = {}

    async def ask(self, address: str, query: Query, timeout: float) -> Answer | None:  # noqa: ASYNC109 # an outcome, not an error
        """Ask a peer; return None if no answer arrives in time."""
        connection = self._connections.get(address)
        if connection is None:
            connection = _Connection(self._context, address, self._sealer)
            self._connections[address] = connection
            self._tasks.start_soon(self._read, address, connection)
        message = self._sealer.seal(ENCODER.encode(query))
        self._metrics.peer_bytes.labels("sent").inc(len(message))
        return await connection.ask(message, timeout)

    async def _read(self, address: str, connection: _Connection) -> None:
        try:
            await connection.read()
        finally:
            del self._connections[address]
            connection.close()


class _Connection:
    """A DEALER socket to one peer, and the answers that are awaited on it."""

    def __init__(self, context: zmq.asyncio.Context, address: str, sealer: Sealer) -> None:
        self._socket = context.socket(zmq.DEALER)
        self._socket.linger = 0
        self._socket.connect(f"tcp://{address}")
        self._sealer = sealer
        self._numbers = itertools.count(1)
        self._events: dict[bytes, anyio.Event] = {}
        self._answers: dict[bytes, Answer] = {}

    async def ask(self, message: bytes, timeout: float) -> Answer | None:  # noqa: ASYNC109 # an outcome, not an error
        number = next(self._numbers).to_bytes(8, "big")
        event = self._events[number] = anyio.Event()
        try:
            with anyio.move_on_after(timeout):
                await self._socket.send_multipart([number, message])
                await event.wait()
            return self._answers.pop(number, None)
        finally:
            del self._events[number]

    async def read(self) -> None:
        """Deliver answers to the waiting requests until the connection has been idle for too long."""
        while True:
            with anyio.move_on_after(IDLE_TIMEOUT_S) as scope:
                number, message = await self._socket.recv_multipart()
            if scope.cancelled_caught:
                if self._events:
                    continue
                return
            payload = self._sealer.open(message)
            event = self._events.get(number)
            if payload is None or event is None:
                continue  # too late, or from another installation
            try:
                self._answers[number] = decode_with(ANSWER_DECODER, payload)
            except MalformedError as error:
                logger.warning("answer of a node not understood", extra={"fault": str(error)})
            event.set()

    def close(self) -> None:
        self._socket.close()


__all__ = ["PeerClient", "PeerServer"]
