"""Answers that clients do not read, or read slowly."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.to_thread
import pytest

from rig.traffic import wait_for
from vaneturn_core.traffic.configuration import ClientLimits
from vaneturn_node.bytebudget import ByteBudget
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.http1.connectiontable import ConnectionTable
from vaneturn_node.http1.idleconnections import IdleConnections
from vaneturn_node.http1.listener import listen
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.http1.resources import SharedResources
from vaneturn_node.http1.server import ClientConnection
from vaneturn_node.http1.tcp import TcpStream

pytestmark = pytest.mark.anyio

IDLE_TIME_S = 1.0
BODY_BYTES = 12 * 2**20  # more than the operating system buffers
PART_BYTES = 2**18
READ_PAUSE_S = 0.5  # of a slow client, which reads for longer than a client may be idle
PAUSES = 5
END_LIMIT_S = 8.0
REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class Listener:
    """Answers each request at length.

    :ivar ended: outcomes of the answers so far; whether each was sent whole.
    """

    def __init__(self, *, is_streamed: bool) -> None:
        self._is_streamed = is_streamed
        self.ended: list[bool] = []
        self.port = 0

    async def handle(self, _: ClientRequest, answer: ClientAnswer) -> None:
        try:
            await self._answer(answer)
        finally:
            self.ended.append(answer.is_ended)

    async def _answer(self, answer: ClientAnswer) -> None:
        if not self._is_streamed:
            await answer.send_whole(200, [], bytes(BODY_BYTES))
            return
        await answer.begin(200, [])
        for _ in range(BODY_BYTES // PART_BYTES):
            await answer.send_part(bytes(PART_BYTES))
        await answer.end()

    async def serve(self, stream: TcpStream) -> None:
        await ClientConnection(
            stream,
            self.handle,
            lambda: ClientLimits(idle_time=IDLE_TIME_S),
            IdleConnections(),
            is_stopping=lambda: False,
            resources=SharedResources(ByteBudget(1_000_000)),
            slot=ConnectionTable("client", 1).add("", stream.close),
            on_error=fail,
        ).run()


def fail(error: Exception) -> None:
    raise error


@asynccontextmanager
async def open_listener(*, is_streamed: bool) -> AsyncIterator[Listener]:
    listener = Listener(is_streamed=is_streamed)
    async with anyio.create_task_group() as tasks:
        server = await listen("127.0.0.1", 0, listener.serve, tasks, backlog=1)
        listener.port = server.sockets[0].getsockname()[1]
        yield listener
        server.close()
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("is_streamed", [False, True])
async def test_client_that_takes_nothing_for_the_idle_time_is_closed(*, is_streamed: bool) -> None:
    """It held an answer and a connection for as long as it stayed."""
    async with open_listener(is_streamed=is_streamed) as listener:
        with socket.create_connection(("127.0.0.1", listener.port)) as client:
            client.sendall(REQUEST)
            await wait_for(lambda: bool(listener.ended), limit=END_LIMIT_S)
    assert listener.ended == [False]


@pytest.mark.parametrize("is_streamed", [False, True])
async def test_client_that_reads_slowly_gets_its_whole_answer(*, is_streamed: bool) -> None:
    async with open_listener(is_streamed=is_streamed) as listener:
        with socket.create_connection(("127.0.0.1", listener.port)) as client:
            client.sendall(REQUEST)
            received = bytearray()
            for _ in range(PAUSES):
                await anyio.sleep(READ_PAUSE_S)
                received += await anyio.to_thread.run_sync(client.recv, PART_BYTES)
            while data := await anyio.to_thread.run_sync(client.recv, PART_BYTES):
                received += data
    assert received.count(0) == BODY_BYTES
    assert listener.ended == [True]
