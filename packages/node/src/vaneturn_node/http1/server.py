"""One client connection: reads requests and detects that the client has disconnected."""

from __future__ import annotations

import contextlib
import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import anyio
import h11

from vaneturn_core.traffic.configuration import ClientLimits
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.clientanswer import ClientAnswer, ClientLeftError
from vaneturn_node.http1.framing import Rejection, check_framing
from vaneturn_node.http1.messages import Headers
from vaneturn_node.http1.tcp import TcpStream

RECEIVE_BYTES: Final = 65536
LAST_WAIT_S: Final = 0.05  # for a request that was sent before its client could see a planned stop
LINGER_TIMEOUT_S: Final = 0.5  # for a client to read the answer to a request that was not read whole

# raised when a client has left, and by answers to it that are written after that
CLIENT_LEFT_ERRORS: Final = (
    ClientLeftError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    h11.LocalProtocolError,
)

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A whole request."""

    method: str
    target: str
    path: str
    headers: Headers  # lower-case names
    body: bytes
    arrived: float  # monotonic time, seconds


Handler = Callable[[ClientRequest, ClientAnswer], Awaitable[None]]


class ClientConnection:
    """Serves one connection."""

    def __init__(
        self,
        stream: TcpStream,
        handler: Handler,
        get_limits: Callable[[], ClientLimits],
        idle_scopes: set[anyio.CancelScope],
        *,
        is_stopping: Callable[[], bool],
        on_error: Callable[[Exception], object],
    ) -> None:
        """Prepare a connection.

        :param get_limits: called for each request, as a connection may outlast the configuration that it began under.
        :param on_error: called with an unexpected error, which ends the connection.
        :param is_stopping: called for each answer; tells whether the connection closes after it.
        :param idle_scopes: contains the scope of this connection while it has no request; cancelling closes it.
        """
        self._stream = stream
        self._handler = handler
        self._get_limits = get_limits
        self._limits = get_limits()
        self._idle_scopes = idle_scopes
        self._protocol = self._make_protocol()
        self._is_stopping = is_stopping
        self._on_error = on_error
        self._has_disconnected = False  # the client

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            error = await self._serve_requests()
            if error is not None:
                self._on_error(error)
                with contextlib.suppress(*CLIENT_LEFT_ERRORS):
                    await self._reject(Rejection(500, "internal error"))
        finally:
            with anyio.CancelScope(shield=True):
                await self._stream.aclose()

    async def _serve_requests(self) -> Exception | None:
        """Serve requests until the connection ends; return the unexpected error that ended it."""
        unexpected: list[Exception] = []
        try:
            while await self._serve_request():
                pass
        except* CLIENT_LEFT_ERRORS as group:
            logger.debug("connection ended", extra={"cause": repr(group.exceptions)})
        except* Exception as group:  # noqa: BLE001 # an error in one request must not end the process
            unexpected.append(group)
        return unexpected[0] if unexpected else None

    def _make_protocol(self) -> h11.Connection:
        return h11.Connection(our_role=h11.SERVER, max_incomplete_event_size=self._limits.header_bytes)

    def _update_limits(self) -> None:
        """Apply the limits in force to the next request, of which no event has been read."""
        limits = self._get_limits()
        if limits == self._limits:
            return
        self._limits = limits
        received, has_ended = self._protocol.trailing_data
        self._protocol = self._make_protocol()
        if received:
            self._protocol.receive_data(received)
        if has_ended:
            self._protocol.receive_data(b"")

    async def _serve_request(self) -> bool:
        try:
            request = await self._read_request()
        except h11.RemoteProtocolError as error:
            request = Rejection(error.error_status_hint, str(error))
        if request is None:
            return False
        if isinstance(request, Rejection):
            await self._reject(request)
            return False
        answer = ClientAnswer(self._stream, self._protocol, request.method, self._is_stopping)
        await self._answer(request, answer)
        if answer.needs_eof:
            await self._end_connection()
        if not answer.is_ended or self._protocol.our_state is not h11.DONE:
            return False
        if self._has_disconnected or answer.closes_connection or self._is_stopping():
            return False
        self._protocol.start_next_cycle()
        return True

    async def _answer(self, request: ClientRequest, answer: ClientAnswer) -> None:
        """Answer a request; cancel all work on it when the client disconnects."""
        with anyio.CancelScope() as scope:

            def cancel() -> None:
                self._has_disconnected = True
                scope.cancel()

            self._stream.watch_end(cancel)
            try:
                await self._handler(request, answer)
            finally:
                self._stream.watch_end(None)

    async def _receive(self, limit: float = math.inf) -> bytes:
        """Receive bytes; none when the client has disconnected.

        :raises TimeoutError: none arrived in time.
        """
        try:
            return await self._stream.receive(RECEIVE_BYTES, limit)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return b""

    async def _read_request(self) -> ClientRequest | Rejection | None:
        """Read a whole request; return None if the client sends no more."""
        if not self._protocol.trailing_data[0] and not await self._wait_for_request():
            return None
        self._update_limits()
        arrived = read_clock()
        started = anyio.current_time()
        try:
            head = await self._read_event(started + self._limits.header_time)
            if not isinstance(head, h11.Request):
                return None
            return await self._read_body(head, arrived, started + max(self._limits.header_time, self._limits.idle_time))
        except TimeoutError:
            return Rejection(408, "the request took too long to arrive")

    async def _wait_for_request(self) -> bool:
        """Wait for a request; return false if none arrives.

        A planned stop cancels the wait. Closing immediately would cut off a request that arrived at the same moment and
        was never read, so the connection is read once more. A connection with an answer in progress always closes after
        it: a request taken then might not end before the process does.
        """
        with anyio.CancelScope() as scope:
            self._idle_scopes.add(scope)
            try:
                return await self._read_first(self._limits.idle_time)
            finally:
                self._idle_scopes.discard(scope)
        return await self._read_first(LAST_WAIT_S)

    async def _read_first(self, limit: float) -> bool:
        """Receive the first bytes; return false if none arrive in time or the client has disconnected."""
        try:
            data = await self._receive(limit)
        except TimeoutError:
            return False
        self._protocol.receive_data(data)
        return bool(data)

    async def _read_body(self, head: h11.Request, arrived: float, until: float) -> ClientRequest | Rejection:
        headers = [(name.lower(), value) for name, value in head.headers]
        rejection = check_framing(headers, self._limits)
        if rejection is not None:
            return rejection
        body = bytearray()
        while True:
            if self._protocol.they_are_waiting_for_100_continue:
                proceed = self._protocol.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
                await self._stream.send(proceed, until - anyio.current_time())
            # a body may take longer than a head as long as it goes on arriving
            event = await self._read_event(min(until, anyio.current_time() + self._limits.header_time))
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    return Rejection(413, "the body is too long")
                continue
            if isinstance(event, h11.EndOfMessage):
                break
            raise ClientLeftError
        target = head.target.decode("latin-1")
        path = target.partition("?")[0]
        return ClientRequest(head.method.decode("latin-1"), target, path, headers, bytes(body), arrived)

    async def _read_event(self, until: float) -> h11.Event | type[h11.PAUSED | h11.NEED_DATA]:
        """Read an event until a time of the event loop.

        :raises TimeoutError: it has not arrived in time.
        """
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            limit = until - anyio.current_time()
            if limit <= 0:
                raise TimeoutError
            data = await self._receive(limit)
            if not data:
                raise ClientLeftError
            self._protocol.receive_data(data)

    async def _reject(self, rejection: Rejection) -> None:
        """Answer a refused request and end the connection, as the rest of the request is not read."""
        logger.info("request rejected", extra={"status": rejection.status, "reason": rejection.reason})
        if self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        answer = ClientAnswer(self._stream, self._protocol, "GET", lambda: True)
        body = rejection.reason.encode()
        await answer.send_whole(rejection.status, [(b"content-type", b"text/plain")], body)
        await self._end_connection()

    async def _end_connection(self) -> None:
        """Tell the client that no more is sent, and let it read the answer: bytes left unread would reset it."""
        await self._stream.send_eof()
        with anyio.move_on_after(LINGER_TIMEOUT_S):
            while await self._receive():
                pass


__all__ = ["CLIENT_LEFT_ERRORS", "ClientConnection", "ClientRequest", "Handler", "Rejection"]
