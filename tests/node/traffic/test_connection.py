"""Failures, pipelined requests and the end of a client connection."""

from __future__ import annotations

import contextlib
import math

import anyio
import anyio.lowlevel
import pytest
from anyio.abc import SocketStream

from rig.traffic import wait_for
from vaneturn_core.traffic.configuration import ClientLimits
from vaneturn_node.bytebudget import ByteBudget
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.http1.connectiontable import ConnectionSlot, ConnectionTable
from vaneturn_node.http1.idleconnections import IdleConnections
from vaneturn_node.http1.listener import listen
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.http1.resources import SharedResources
from vaneturn_node.http1.server import ClientConnection, Handler
from vaneturn_node.http1.tcp import TcpStream

pytestmark = pytest.mark.anyio

BUDGET_BYTES = 1_000_000
READ_TIME_S = 0.05  # for the event loop to read what a client has sent


def fail_close() -> None:
    raise AssertionError


def fail(error: Exception) -> None:
    raise error


class BrokenStream(TcpStream):
    """Delivers one request; every write fails, and reads wait without an error."""

    def __init__(self, head: bytes = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n") -> None:
        super().__init__()
        self.get_buffer(-1)[: len(head)] = head
        self.buffer_updated(len(head))

    async def send(self, item: bytes | memoryview, limit: float = math.inf) -> None:
        raise anyio.BrokenResourceError(f"{len(item)} bytes within {limit} s")

    async def send_eof(self) -> None:
        """Do nothing."""

    async def aclose(self) -> None:
        """Do nothing."""


@pytest.mark.parametrize("is_streamed", [True, False])
async def test_write_that_fails_ends_the_connection_alone(*, is_streamed: bool) -> None:
    """An exception group from the failed write must not end the process."""

    async def handle(_: ClientRequest, answer: ClientAnswer) -> None:
        if is_streamed:
            await answer.begin(200, [])
            await answer.send_part(b"part")
        await answer.send_whole(200, [], b"whole")

    with anyio.fail_after(2):
        await ClientConnection(
            BrokenStream(),
            handle,
            ClientLimits,
            IdleConnections(),
            is_stopping=lambda: False,
            resources=SharedResources(ByteBudget(BUDGET_BYTES)),
            slot=ConnectionTable("client", 1).add("", fail_close),
            on_error=fail,
        ).run()


async def test_others_run_between_two_long_heads() -> None:
    """Each takes milliseconds to parse, so that many in a row would hold up the event loop."""
    resources, order = SharedResources(ByteBudget(BUDGET_BYTES)), list[str]()
    head = b"GET /x HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 600 + b"\r\n"

    async def handle(_request: ClientRequest, _answer: ClientAnswer) -> None:
        order.append("head")

    async def serve() -> None:
        slot = ConnectionTable("client", 1).add("", fail_close)
        await ClientConnection(
            BrokenStream(head),
            handle,
            ClientLimits,
            IdleConnections(),
            is_stopping=lambda: False,
            resources=resources,
            slot=slot,
            on_error=fail,
        ).run()

    async def answer() -> None:
        while order.count("head") < 10:
            await anyio.lowlevel.checkpoint()
            order.append("other")

    with anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(serve)
            tasks.start_soon(answer)
    assert "head head" not in " ".join(order)


async def test_connection_that_goes_on_sending_is_not_evicted_before_one_that_has_stopped() -> None:
    """An upload in progress was closed for clients that had sent half a head and nothing more."""
    table, slots = ConnectionTable("client", 4), list[ConnectionSlot]()  # two may be in the middle of a request

    async def handle(_request: ClientRequest, _answer: ClientAnswer) -> None:
        """Do nothing."""

    async def serve(stream: TcpStream) -> None:
        slot = table.add(stream.peer_host, stream.close)
        slots.append(slot)
        await ClientConnection(
            stream,
            handle,
            ClientLimits,
            IdleConnections(),
            is_stopping=lambda: False,
            resources=SharedResources(ByteBudget(BUDGET_BYTES)),
            slot=slot,
            on_error=fail,
        ).run()

    async with anyio.create_task_group() as tasks, contextlib.AsyncExitStack() as clients:
        server = await listen("127.0.0.1", 0, serve, tasks, backlog=4)
        port: int = server.sockets[0].getsockname()[1]

        async def send(data: bytes, client: SocketStream) -> None:
            await client.send(data)
            await anyio.sleep(READ_TIME_S)

        upload, silent, newest = [
            await clients.enter_async_context(await anyio.connect_tcp("127.0.0.1", port)) for _ in range(3)
        ]
        await send(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx", upload)
        await send(b"POST /x HTTP/1.1\r\n", silent)
        await send(b"x", upload)
        await send(b"POST /x HTTP/1.1\r\n", newest)
        assert [slot.is_evicted for slot in slots] == [False, True, False]
        server.close()
        tasks.cancel_scope.cancel()


async def ask(request: bytes, handle: Handler, *, ends: bool) -> bytes:
    """Send bytes to a connection that is served by a listener; return all that it answers."""
    async with anyio.create_task_group() as tasks:

        async def serve(stream: TcpStream) -> None:
            await ClientConnection(
                stream,
                handle,
                ClientLimits,
                IdleConnections(),
                is_stopping=lambda: False,
                resources=SharedResources(ByteBudget(BUDGET_BYTES)),
                slot=ConnectionTable("client", 1).add("", fail_close),
                on_error=fail,
            ).run()

        server = await listen("127.0.0.1", 0, serve, tasks, backlog=1)
        port: int = server.sockets[0].getsockname()[1]
        answered = b""
        with anyio.move_on_after(0.5):
            async with await anyio.connect_tcp("127.0.0.1", port) as client:
                server.close()  # a planned stop closes the listener before the answers in progress are whole
                await client.send(request)
                if ends:
                    await client.send_eof()
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        answered += await client.receive()
        tasks.cancel_scope.cancel()
    return answered


async def test_requests_that_arrive_together_are_all_answered() -> None:
    """A request read ahead while the one before it is answered must not be lost."""

    async def handle(request: ClientRequest, answer: ClientAnswer) -> None:
        await anyio.sleep(0.01)
        await answer.send_whole(200, [], request.body)

    post = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"
    answered = await ask(post + b"first" + post + b"other", handle, ends=False)
    assert answered.count(b"HTTP/1.1 200") == 2
    assert answered.index(b"first") < answered.index(b"other")


@pytest.mark.parametrize("rest", [b"", b"GET /y HTTP/1.1\r\n"], ids=["alone", "behind more"])
async def test_work_ends_when_the_client_leaves(rest: bytes) -> None:
    """Without it, servers run requests whose answers nobody takes."""
    ends = []

    async def handle(_: ClientRequest, answer: ClientAnswer) -> None:
        try:
            await anyio.sleep_forever()
        finally:
            ends.append(answer.is_begun)

    with anyio.fail_after(2):
        assert await ask(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" + rest, handle, ends=True) == b""
    assert ends == [False]


async def test_request_sent_at_the_moment_of_a_stop_is_answered() -> None:
    """A connection that closes while a request is on its way ends without a response, and nothing logs the request."""
    idle = IdleConnections()

    async def handle(_: ClientRequest, answer: ClientAnswer) -> None:
        await answer.send_whole(200, [], b"whole")

    async with anyio.create_task_group() as tasks:

        async def serve(stream: TcpStream) -> None:
            await ClientConnection(
                stream,
                handle,
                ClientLimits,
                idle,
                is_stopping=lambda: True,
                resources=SharedResources(ByteBudget(BUDGET_BYTES)),
                slot=ConnectionTable("client", 1).add("", fail_close),
                on_error=fail,
            ).run()

        server = await listen("127.0.0.1", 0, serve, tasks, backlog=1)
        port: int = server.sockets[0].getsockname()[1]
        async with await anyio.connect_tcp("127.0.0.1", port) as client:
            await wait_for(lambda: bool(len(idle)))
            idle.close_all()
            await anyio.sleep(0.005)  # the connection has noticed the stop
            await client.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await client.receive()).startswith(b"HTTP/1.1 200")
        tasks.cancel_scope.cancel()
