"""A connection that is closed for want of a place tells its client whether a request of it was refused."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
import pytest

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

BUDGET_BYTES = 1_000_000
LIMIT_S = 5.0
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
UNREAD = (b"x-unread", b"1")


class CrowdedListener:
    """Has a place for one connection, and keeps the paths of the requests that were read whole."""

    def __init__(self) -> None:
        self.table = ConnectionTable("client", 1)
        self.paths: list[str] = []

    async def serve(self, stream: TcpStream) -> None:
        slot = self.table.add(stream.peer_host, stream.close)
        try:
            await ClientConnection(
                stream,
                self._answer,
                ClientLimits,
                IdleConnections(),
                is_stopping=lambda: False,
                resources=SharedResources(ByteBudget(BUDGET_BYTES)),
                slot=slot,
                on_error=fail,
                list_unread_headers=lambda: [UNREAD],
            ).run()
        finally:
            slot.remove()

    async def _answer(self, request: ClientRequest, answer: ClientAnswer) -> None:
        self.paths.append(request.path)
        await answer.send_whole(200, [], b"whole")


def fail(error: Exception) -> None:
    raise error


@pytest.fixture
async def address(anyio_backend: str) -> AsyncIterator[tuple[CrowdedListener, int]]:
    assert anyio_backend == "asyncio"
    listener = CrowdedListener()
    async with anyio.create_task_group() as tasks:
        server = await listen("127.0.0.1", 0, listener.serve, tasks, backlog=8)
        yield listener, server.sockets[0].getsockname()[1]
        tasks.cancel_scope.cancel()


async def read_until_evicted(port: int, sent: bytes) -> bytes:
    """Send bytes, let another client send a request on the only place, and return what is answered to the first."""
    answered = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as client:
        await client.send(sent)
        await anyio.sleep(0.1)
        async with await anyio.connect_tcp("127.0.0.1", port) as other:
            await other.send(b"GET /other HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await other.receive()).startswith(b"HTTP/1.1 200")
        with anyio.fail_after(LIMIT_S):
            async for data in client:
                answered += data
    return answered


@pytest.mark.parametrize(
    "sent",
    [
        HEAD + b"Content-Length: 10\r\n\r\nx",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
        HEAD + b"Content-Length: 10\r\nExpect: 100-continue\r\n\r\n",
    ],
    ids=["length", "chunks", "body not asked for"],
)
async def test_request_that_was_not_read_whole_is_refused(address: tuple[CrowdedListener, int], sent: bytes) -> None:
    """Without a status, the client of a request that must run once can't send it again."""
    listener, port = address
    answered = (await read_until_evicted(port, sent)).removeprefix(b"HTTP/1.1 100 \r\n\r\n")
    assert answered.startswith(b"HTTP/1.1 503")
    assert b"retry-after: " in answered
    assert b"x-unread: 1" in answered
    assert b"connection: close" in answered
    assert listener.paths == ["/other"]


@pytest.mark.parametrize(
    "sent", [HEAD, b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"], ids=["within a head", "after an answer"]
)
async def test_connection_without_a_request_is_closed(address: tuple[CrowdedListener, int], sent: bytes) -> None:
    """An answer without a request would be taken for that of the next one."""
    _, port = address
    assert b"503" not in await read_until_evicted(port, sent)
