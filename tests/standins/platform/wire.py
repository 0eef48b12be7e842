"""A small HTTP/1.1 server that can also inject connection faults."""

from __future__ import annotations

import contextlib
import errno
import json
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from standins.link import Link


class ConnectionEndedError(Exception):
    """The peer, or an injected fault of the stand-in, ended the connection."""


@dataclass
class Call:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        return {name: values[0] for name, values in parse_qs(urlsplit(self.target).query).items()}


class Exchange:
    """One call, with methods to answer it correctly or with faults."""

    def __init__(
        self, stream: SocketStream, protocol: h11.Connection, call: Call, link: Link | None, caller: str
    ) -> None:
        """Begin an exchange.

        :param caller: the IP address of the caller.
        """
        self._stream = stream
        self.caller = caller
        self._link = link  # of the caller; None if answers pass no link
        self._protocol = protocol
        self.call = call
        self.received_at = time.monotonic()
        self.is_begun = False  # the answer
        self.is_ended = False

    async def reply(self, status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> None:
        await self.begin(status, {**(headers or {}), "Content-Length": str(len(body))})
        if body:
            await self.send(body)
        await self.end()

    async def reply_json(self, status: int, value: Any) -> None:
        await self.reply(status, {"Content-Type": "application/json"}, json.dumps(value).encode())

    async def begin(self, status: int, headers: dict[str, str]) -> None:
        self.is_begun = True
        await self._write(self._protocol.send(h11.Response(status_code=status, headers=list(headers.items()))))

    async def send(self, data: bytes) -> None:
        await self._write(self._protocol.send(h11.Data(data=data)))

    async def end(self) -> None:
        await self._write(self._protocol.send(h11.EndOfMessage()))
        self.is_ended = True

    async def send_raw(self, data: bytes) -> None:
        self.is_begun = True
        await self._write(data)

    async def flush(self) -> None:
        """Wait until the data sent so far have passed the caller's link."""
        if self._link is not None:
            await self._link.flush()

    async def reset(self) -> None:
        """Reset the connection, as a crashed process does."""
        await _reset(self._stream)
        raise ConnectionEndedError

    async def close(self) -> None:
        await self._stream.aclose()
        raise ConnectionEndedError

    async def watch_client(self) -> None:
        """Return when the client has closed the connection."""
        try:
            while True:
                await self._stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def _write(self, data: bytes | None) -> None:
        if self._link is not None:
            self._link.put(self._stream, data or b"")
            return
        try:
            await self._stream.send(data or b"")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ConnectionEndedError from None


class KeptConnection:
    """A connection after its first answer, which a faulty server may close or write to at any moment."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._link: Link | None = None
        self.newest: Exchange | None = None
        self.is_closed = False  # by this side

    def note(self, exchange: Exchange, link: Link | None) -> None:
        """Note the newest exchange on the connection."""
        self.newest, self._link = exchange, link

    @property
    def is_answering(self) -> bool:
        """Tell whether an answer has begun and has not ended."""
        return self.newest is not None and self.newest.is_begun and not self.newest.is_ended

    async def close_idle(self, newest: Exchange) -> None:
        """Close the connection, once the given answer has left, if no exchange has begun on it since."""
        if self._link is not None:
            await self._link.flush()
        if self.newest is newest:
            self.is_closed = True
            await self._stream.aclose()

    async def send_surplus(self, answer: bytes) -> None:
        """Send an answer that no call asked for, in the place of the next one due."""
        if self.is_answering:
            return
        if self._link is not None:
            self._link.put(self._stream, answer)
            return
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self._stream.send(answer)


Handler = Callable[[Exchange], Awaitable[None]]
AfterAnswer = Callable[[Exchange, KeptConnection], object]
FindLink = Callable[[SocketStream], Link | None]
GetDelay = Callable[[], float]
RefusesConnection = Callable[[int, str], bool]


def find_no_link(_stream: SocketStream) -> None:
    """Find no link: the caller has none of its own."""


def get_no_delay() -> float:
    """Give the delay of a path without distance."""
    return 0.0


def refuse_no_connection(_open: int, _caller: str) -> bool:
    """Take any number of connections."""
    return False


def keep_connection(_exchange: Exchange, _connection: KeptConnection) -> None:
    """Leave a connection as it is after an answer."""


async def serve(
    address: str,
    handler: Handler,
    tasks: TaskGroup,
    find_link: FindLink = find_no_link,
    after_answer: AfterAnswer = keep_connection,
    *,
    get_delay: GetDelay = get_no_delay,
    refuses_connection: RefusesConnection = refuse_no_connection,
) -> anyio.abc.Listener[SocketStream]:
    """Listen on IP:PORT; each connection is a task of its own.

    :param find_link: finds the link over which answers to a caller are sent.
    :param after_answer: called after each answer on a connection that is kept.
    :param get_delay: gives the seconds that data of a caller are on their way.
    :param refuses_connection: tells from the number of open connections and the caller whether a new one is reset.
    """
    open_streams: set[SocketStream] = set()
    host, _, port = address.rpartition(":")
    listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))

    async def serve_connection(stream: SocketStream) -> None:
        async with stream:
            if refuses_connection(len(open_streams), _get_caller(stream)):
                await _reset(stream)
                return
            open_streams.add(stream)
            link = find_link(stream)
            try:
                await _serve_connection(stream, handler, link, after_answer, get_delay)
                if link is not None:
                    await link.flush()
            except* (ConnectionEndedError, h11.ProtocolError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass  # an ended connection is not an error
            finally:
                open_streams.remove(stream)

    async def accept() -> None:
        try:
            async with listener:  # else its port stays in use until the listener is collected as garbage
                await listener.serve(serve_connection, tasks)
        except* anyio.ClosedResourceError:
            pass  # the server has crashed

    tasks.start_soon(accept)
    return listener


def _get_caller(stream: SocketStream) -> str:
    """Return the IP address of the caller."""
    return str(stream.extra(SocketAttribute.remote_address)[0])  # noqa: S610 # not a SQL query


async def _reset(stream: SocketStream) -> None:
    """Reset a connection, as a crashed process does."""
    raw = stream.extra(SocketAttribute.raw_socket)  # noqa: S610 # no query
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError as error:
        if error.errno != errno.EBADF:  # the connection is closed already
            raise
    await stream.aclose()


async def _serve_connection(
    stream: SocketStream, handler: Handler, link: Link | None, after_answer: AfterAnswer, get_delay: GetDelay
) -> None:
    protocol = h11.Connection(h11.SERVER)
    connection = KeptConnection(stream)
    caller = _get_caller(stream)
    while True:
        call = await _read_call(stream, protocol, get_delay)
        if call is None or connection.is_closed:  # a call that crosses the close of its connection is not read
            return
        exchange = Exchange(stream, protocol, call, link, caller)
        connection.note(exchange, link)
        await handler(exchange)
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return
        protocol.start_next_cycle()
        after_answer(exchange, connection)


async def _read_call(stream: SocketStream, protocol: h11.Connection, get_delay: GetDelay) -> Call | None:
    head: h11.Request | None = None
    body = bytearray()  # appending to bytes would copy all of a long body for each part of it
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            try:
                data = await stream.receive()
            except anyio.EndOfStream:
                return None
            await anyio.sleep(get_delay())
            protocol.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {name.decode().lower(): value.decode() for name, value in head.headers}
            return Call(head.method.decode(), head.target.decode(), headers, bytes(body))
        else:
            return None


__all__ = [
    "AfterAnswer",
    "Call",
    "ConnectionEndedError",
    "Exchange",
    "FindLink",
    "GetDelay",
    "KeptConnection",
    "RefusesConnection",
    "find_no_link",
    "get_no_delay",
    "keep_connection",
    "refuse_no_connection",
    "serve",
]
