"""Reads the requests of a client connection within the limits of the configuration in force."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable
from typing import Final

import anyio
import h11

from vaneturn_core.traffic.configuration import ClientLimits
from vaneturn_node.bytebudget import RETRY_AFTER_S, BudgetUsedUpError
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.chunks import ChunkDecoder
from vaneturn_node.http1.clientanswer import ClientLeftError
from vaneturn_node.http1.clientrequest import ClientRequest
from vaneturn_node.http1.connectiontable import ConnectionSlot, ConnectionState
from vaneturn_node.http1.framing import BodyTooLongError, Rejection, check_framing, measure_head
from vaneturn_node.http1.idleconnections import IdleConnections
from vaneturn_node.http1.messages import find_header
from vaneturn_node.http1.parsers import make_body_parser, make_parser, replace_parser
from vaneturn_node.http1.parsingturns import EVENTS_PER_TURN
from vaneturn_node.http1.resources import SharedResources
from vaneturn_node.http1.tcp import TcpStream

RECEIVE_BYTES: Final = 65536
LONG_HEAD_BYTES: Final = 2048  # parsed in turns, as a head of thousands of short headers takes milliseconds
LAST_WAIT_S: Final = 0.05  # for a request that was sent before its client could see a planned stop


class RequestReader:
    """Reads one request after the other."""

    def __init__(
        self,
        stream: TcpStream,
        get_limits: Callable[[], ClientLimits],
        idle: IdleConnections,
        resources: SharedResources,
        slot: ConnectionSlot,
    ) -> None:
        """Prepare to read.

        :param get_limits: called for each request, as a connection may outlast the configuration that it began under.
        :param idle: the connections that wait for a request.
        :param resources: shared by all connections.
        :param slot: of this connection; its state follows the requests.
        """
        self._stream = stream
        self._resources = resources
        self._slot = slot
        self._holder = resources.budget.open()  # of the current request
        self._body = bytearray()
        self._kept = 0  # bytes of the current request that are kept besides its body
        self._received = 0  # bytes that the parser was last given
        self._request_size = 0  # bytes of the current request once it is complete
        self._get_limits = get_limits
        self._limits = get_limits()
        self._idle = idle
        self._has_read = False  # a request
        self.protocol = make_parser(self._limits.header_bytes)  # replaced when the limits change, and in long bodies

    async def read(self) -> ClientRequest | Rejection | None:
        """Read a whole request; return None if the client sends no more."""
        if not self.protocol.trailing_data[0] and not await self._wait_for_request():
            return None
        self._slot.change(ConnectionState.READING)
        self._update_limits()
        arrived = read_clock()
        started = anyio.current_time()
        self._holder = self._resources.budget.open(self._drop)
        self._kept = 0
        try:
            self._hold()
            head = await self._read_event(started + self._limits.header_time)
            if not isinstance(head, h11.Request):
                return None
            self._has_read = True
            return await self._read_body(head, arrived, started + max(self._limits.header_time, self._limits.idle_time))
        except TimeoutError:
            return Rejection(408, "the request took too long to arrive")
        except BodyTooLongError:
            return Rejection(413, "the body is too long")
        except BudgetUsedUpError:
            retry_after = str(RETRY_AFTER_S).encode()
            return Rejection(503, "too many requests at once", [(b"retry-after", retry_after)])

    def may_buffer(self, size: int) -> bool:
        """Count bytes that arrive behind the current request; return false if there is no room for more."""
        try:
            self._holder.grow(self._request_size + size)
        except BudgetUsedUpError:
            return False
        return True

    def release(self) -> None:
        """Release the bytes of the current request."""
        self._body = bytearray()
        self._holder.release()

    def discard(self) -> None:
        """Drop what was received of a request that is not read on."""
        self.release()
        self.protocol = make_parser(self._limits.header_bytes)

    async def receive(self, limit: float = math.inf) -> bytes:
        """Receive bytes; none when the client has disconnected.

        :raises TimeoutError: none arrived in time.
        """
        try:
            return await self._stream.receive(RECEIVE_BYTES, limit)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return b""

    def _update_limits(self) -> None:
        """Apply the limits in force to the next request, of which no event has been read."""
        limits = self._get_limits()
        if limits != self._limits:
            self._limits = limits
            self.protocol = replace_parser(self.protocol, limits.header_bytes)

    async def _wait_for_request(self) -> bool:
        """Wait for a request; return false if none arrives.

        A planned stop ends the wait. Closing immediately would cut off a request that arrived at the same moment and
        was never read, so the connection is read once more. A connection with an answer in progress always closes after
        it: a request taken then might not end before the process does.
        """
        self._slot.change(ConnectionState.IDLE)
        with self._idle.wait(is_used=self._has_read):
            return await self._read_first(self._limits.idle_time)
        return await self._read_first(LAST_WAIT_S)

    async def _read_first(self, limit: float) -> bool:
        """Receive the first bytes; return false if none arrive in time or the client has disconnected."""
        try:
            data = await self.receive(limit)
        except TimeoutError:
            return False
        self.protocol.receive_data(data)
        self._received = len(data)
        return bool(data)

    async def _read_body(self, head: h11.Request, arrived: float, until: float) -> ClientRequest | Rejection:
        headers = [(name.lower(), value) for name, value in head.headers]
        if (rejection := check_framing(headers, self._limits)) is not None:
            return rejection
        length = find_header(headers, b"content-length")
        self._kept = measure_head(headers)
        if length is None:  # the parser keeps an incomplete head of a chunk
            self._kept += self._limits.header_bytes
        self._holder.expect(self._kept + int(length or 0))  # refused before its body is read if it can't fit
        self._holder.grow(self._kept)
        for number in itertools.count(1):
            if number % EVENTS_PER_TURN == 0:
                await self._resources.turns.take()
            if self.protocol.they_are_waiting_for_100_continue:
                proceed = self.protocol.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
                await self._stream.send(proceed, until - anyio.current_time())
            # the header timeout bounds each pause within the body, not the whole body
            event = await self._read_event(min(until, anyio.current_time() + self._limits.header_time))
            if isinstance(event, h11.Data):
                self._add(event.data)
                if event.chunk_end and number >= EVENTS_PER_TURN:
                    await self._read_chunks(head, until)
                continue
            if isinstance(event, h11.EndOfMessage):
                break
            raise ClientLeftError
        target = head.target.decode("latin-1")
        path = target.partition("?")[0]
        self._slot.change(ConnectionState.SERVING)
        if self._slot.is_evicted:
            raise ClientLeftError
        self._holder.complete()
        body, self._body = bytes(self._body), bytearray()
        self._request_size = measure_head(headers) + len(body)
        self._holder.resize(self._request_size)
        return ClientRequest(head.method.decode("latin-1"), target, path, headers, body, arrived)

    def _add(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._limits.body_bytes:
            raise BodyTooLongError

    async def _read_chunks(self, head: h11.Request, until: float) -> None:
        """Read a body up to its last chunk, from the data of another one on; the parser takes longer for it."""
        decoder = ChunkDecoder(self.protocol.trailing_data[0], self._limits.header_bytes)
        self.protocol = make_body_parser(head, self._limits.header_bytes)
        while not decoder.has_last:
            self._add(decoder.decode())
            if decoder.needs_data:
                decoder.feed(await self._receive_part(min(until, anyio.current_time() + self._limits.header_time)))
            else:
                await self._resources.turns.take()
        self.protocol.receive_data(decoder.rest)

    def _hold(self) -> None:
        """Count what is kept of the current request.

        :raises BudgetUsedUpError: there is no room for it.
        """
        self._holder.grow(self._kept + len(self._body) + self._received)

    def _drop(self) -> None:
        """Drop an evicted request; the task that reads it refuses it."""
        self._body = bytearray()
        self._stream.interrupt(BudgetUsedUpError())

    def _has_long_head(self) -> bool:
        """Tell whether the head that arrives is long, or not whole yet."""
        if self._kept + self._received <= LONG_HEAD_BYTES:
            return False
        return self.protocol.trailing_data[0].find(b"\r\n\r\n", 0, LONG_HEAD_BYTES) < 0

    async def _read_event(self, until: float) -> h11.Event | type[h11.PAUSED | h11.NEED_DATA]:
        """Read an event until a time of the event loop.

        :raises TimeoutError: it has not arrived in time.
        """
        while True:
            is_head = self.protocol.their_state is h11.IDLE
            if is_head and self._has_long_head():
                await self._resources.turns.take()
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if is_head:  # the parser keeps an incomplete head
                self._kept += self._received
            self.protocol.receive_data(await self._receive_part(until))

    async def _receive_part(self, until: float) -> bytes:
        """Receive bytes of the current request until a time of the event loop, or raise TimeoutError."""
        limit = until - anyio.current_time()
        if limit <= 0:
            raise TimeoutError
        data = await self.receive(limit)
        if not data:
            raise ClientLeftError
        self._slot.touch()
        self._received = len(data)
        self._hold()
        return data


__all__ = ["ClientRequest", "RequestReader"]
