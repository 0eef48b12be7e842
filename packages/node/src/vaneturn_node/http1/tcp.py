"""A TCP connection as a protocol of asyncio, with a time limit for each read.

With a stream of anyio, each read enters a cancel scope, sets a timer and changes the poll set of the event loop, and
each write yields to the event loop. A relayed event is one read and one write, so these costs matter. Here one timer
serves many reads, reading continues between them, and a write yields only while its data can't be sent. Errors are
those of anyio, and anyio cancels waiting tasks as usual.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable
from typing import Final, Self, cast

import anyio
import anyio.lowlevel

from vaneturn_node.http1.descriptors import is_readable, set_reset_on_close
from vaneturn_node.http1.writeprogress import WriteProgress

MAX_BUFFERED_BYTES: Final = 65536  # received but not taken yet; reading pauses above it


class TcpStream(asyncio.BufferedProtocol):
    """A connection that one task reads and one task writes at a time."""

    # The event loop fills and empties it in one step, so all connections share it. With a new buffer for each read, the
    # event loop allocates 256 KB for each relayed event.
    _buffer: Final = memoryview(bytearray(MAX_BUFFERED_BYTES))

    def __init__(self, on_open: Callable[[TcpStream], object] | None = None) -> None:
        """Prepare a connection; the event loop opens it.

        :param on_open: called when it is open.
        """
        self._on_open = on_open
        self._on_end: Callable[[], object] | None = None
        self._may_buffer: Callable[[int], bool] | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._descriptor = -1
        self._received = b""
        self._is_paused = False  # reading, since too much is buffered
        self._is_ended = False  # no more data will arrive
        self._is_closed = False  # by this side
        self._error: Exception | None = None
        self._reader: asyncio.Future[None] | None = None  # of the task that waits for data
        self._read_until = math.inf  # time of the event loop at which that wait ends
        self._timer: asyncio.TimerHandle | None = None  # fires at the end of the wait or before
        self._writable = asyncio.Event()
        self._writable.set()
        self.progress = WriteProgress()

    @classmethod
    async def connect(cls, host: str, port: int) -> Self:
        """Connect to an IP address.

        :raises OSError: the connection could not be opened.
        """
        _, stream = await asyncio.get_running_loop().create_connection(cls, host, port)
        return stream

    async def receive(self, max_bytes: int = MAX_BUFFERED_BYTES, limit: float = math.inf) -> bytes:
        """Return the bytes that have arrived; wait for some for up to `limit` seconds.

        :raises TimeoutError: none arrived in time.
        :raises EndOfStream: the peer sends no more.
        :raises BrokenResourceError: the connection was lost.
        :raises ClosedResourceError: this side has closed the connection.
        """
        if not self._received and not self._is_ended:
            await self._wait_for_data(limit)
        if not self._received:
            self._raise_lost()
            raise anyio.EndOfStream
        data, self._received = self._received[:max_bytes], self._received[max_bytes:]
        if self._is_paused and len(self._received) < MAX_BUFFERED_BYTES:
            self._is_paused = False
            self._open_transport.resume_reading()
        return data

    async def send(self, item: bytes | memoryview, limit: float = math.inf) -> None:
        """Send bytes; wait for up to `limit` seconds while the peer takes no more.

        :raises TimeoutError: the peer has not taken all in time.
        :raises BrokenResourceError: the connection was lost, or the peer takes nothing.
        :raises ClosedResourceError: this side has closed the connection.
        """
        self._raise_lost()
        self._open_transport.write(item)
        if not self._writable.is_set():
            with anyio.fail_after(limit):
                await self.progress.wait(self._writable, self._open_transport, self._descriptor)
            self._raise_lost()

    def send_at_once(self, item: bytes) -> None:
        """Send bytes right before a close, as far as the operating system takes them without a wait."""
        self._open_transport.write(item)

    async def send_eof(self) -> None:
        """Tell the peer that no more is sent."""
        try:
            self._open_transport.write_eof()
        except OSError:
            self._is_ended = True

    async def aclose(self) -> None:
        """Close immediately; data that the peer has not taken is dropped."""
        self.close()
        await anyio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close immediately, without a checkpoint; also data that was not taken on this side is dropped."""
        self._received = b""
        self._is_closed = self._is_ended = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._open_transport.abort()
        self._wake()

    def interrupt(self, error: Exception) -> None:
        """End the wait for data with an error, if a task waits for some."""
        if self._reader is not None and not self._reader.done():
            self._reader.set_exception(error)

    def reset_on_close(self, *, is_reset: bool) -> None:
        """Choose whether any close of the connection, also by the end of this process, resets it."""
        set_reset_on_close(self._descriptor, is_reset=is_reset)

    def watch_end(self, on_end: Callable[[], object] | None, may_buffer: Callable[[int], bool] | None = None) -> None:
        """Call back as soon as the peer sends no more or the connection is lost, at once if that has happened.

        The end is seen behind at most MAX_BUFFERED_BYTES that were not taken. None ends the watch.

        :param may_buffer: called with the number of bytes that were not taken; reading pauses once it denies them.
        """
        self._on_end = on_end
        self._may_buffer = may_buffer
        if on_end is not None and self._is_ended:
            on_end()

    @property
    def peer_host(self) -> str:
        """The IP address of the peer; empty if the connection was lost at once."""
        peer = self._open_transport.get_extra_info("peername")
        return str(peer[0]) if peer else ""

    def has_input(self) -> bool:
        """Tell whether bytes or the end of the connection have arrived, even if not read yet."""
        return bool(self._received) or self._is_ended or is_readable(self._descriptor)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport of the open connection."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(0)  # a write waits until the operating system has taken all of it
        opened: socket.socket = transport.get_extra_info("socket")
        self._descriptor = opened.fileno()
        if self._on_open is not None:
            self._on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Give the buffer for the next data, whatever size the event loop expects."""
        del sizehint
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Keep the data and wake the reader."""
        data = bytes(self._buffer[:nbytes])
        self._received = self._received + data if self._received else data
        size = len(self._received)
        is_full = size >= MAX_BUFFERED_BYTES or (self._may_buffer is not None and not self._may_buffer(size))
        if is_full and not self._is_paused:
            self._is_paused = True
            self._open_transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Wake the reader; the connection stays open for writes."""
        self._end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the reader and the writer."""
        self._error = exc
        self._end()
        self._writable.set()

    def pause_writing(self) -> None:
        """Hold the writer until the peer takes more."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Wake the writer."""
        self._writable.set()

    @property
    def _open_transport(self) -> asyncio.Transport:
        assert self._transport is not None  # noqa: S101 # the event loop opens a connection before it is used
        return self._transport

    def _raise_lost(self) -> None:
        if self._is_closed:
            raise anyio.ClosedResourceError
        if self._error is not None:
            raise anyio.BrokenResourceError from self._error

    def _end(self) -> None:
        self._is_ended = True
        self._wake()
        if self._on_end is not None:
            self._on_end()

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    async def _wait_for_data(self, limit: float) -> None:
        if self._reader is not None:
            raise anyio.BusyResourceError("reading from")
        self._reader = self._loop.create_future()
        self._read_until = self._loop.time() + limit
        if limit < math.inf and (self._timer is None or self._timer.when() > self._read_until):
            self._set_timer()
        try:
            await self._reader
        finally:
            self._reader = None

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._read_until, self._check_time)

    def _check_time(self) -> None:
        """End the wait if its time is up; a timer that was set for an earlier wait may fire before."""
        self._timer = None
        if self._reader is None or self._reader.done() or self._read_until == math.inf:
            return
        if self._loop.time() < self._read_until:
            self._set_timer()
            return
        self._reader.set_exception(TimeoutError())


__all__ = ["MAX_BUFFERED_BYTES", "TcpStream"]
