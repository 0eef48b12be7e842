"""One client connection: serves its requests and detects that the client has disconnected."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import h11

from vaneturn_core.traffic.configuration import ClientLimits
from vaneturn_node.bytebudget import RETRY_AFTER_S
from vaneturn_node.http1.clientanswer import ClientAnswer, ClientLeftError
from vaneturn_node.http1.connectiontable import ConnectionSlot
from vaneturn_node.http1.framing import Rejection
from vaneturn_node.http1.idleconnections import IdleConnections
from vaneturn_node.http1.messages import Headers
from vaneturn_node.http1.requestreader import ClientRequest, RequestReader
from vaneturn_node.http1.resources import SharedResources
from vaneturn_node.http1.tcp import TcpStream

LINGER_TIMEOUT_S: Final = 0.5  # for a client to read the answer to a request that was not read whole
EVICTED: Final = Rejection(503, "too many connections at once", [(b"retry-after", str(RETRY_AFTER_S).encode())])

# raised when a client has left, and by answers to it that are written after that
CLIENT_LEFT_ERRORS: Final = (
    ClientLeftError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    h11.LocalProtocolError,
)

logger = logging.getLogger(__name__)


Handler = Callable[[ClientRequest, ClientAnswer], Awaitable[None]]


class ClientConnection:
    """Serves one connection."""

    def __init__(
        self,
        stream: TcpStream,
        handler: Handler,
        get_limits: Callable[[], ClientLimits],
        idle: IdleConnections,
        *,
        resources: SharedResources,
        slot: ConnectionSlot,
        is_stopping: Callable[[], bool],
        on_error: Callable[[Exception], object],
        list_unread_headers: Callable[[], Headers] = tuple,
    ) -> None:
        """Prepare a connection.

        :param get_limits: called for each request.
        :param resources: shared by all connections.
        :param slot: of this connection.
        :param on_error: called with an unexpected error, which ends the connection.
        :param is_stopping: called for each answer; tells whether the connection closes after it.
        :param list_unread_headers: called for the answer to a request that was not read whole; lists its headers.
        :param idle: the connections that wait for a request.
        """
        self._stream = stream
        self._handler = handler
        self._get_limits = get_limits
        self._reader = RequestReader(stream, get_limits, idle, resources, slot)
        self._is_stopping = is_stopping
        self._on_error = on_error
        self._list_unread_headers = list_unread_headers
        slot.refuse = self._refuse_at_once
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
            self._reader.release()
            with anyio.CancelScope(shield=True):
                await self._stream.aclose()

    async def _serve_requests(self) -> Exception | None:
        """Serve requests until the connection ends; return the unexpected error that ended it."""
        unexpected: list[Exception] = []
        try:
            while await self._serve_request():
                self._reader.release()
        except* CLIENT_LEFT_ERRORS as group:
            logger.debug("connection ended", extra={"cause": repr(group.exceptions)})
        except* Exception as group:  # noqa: BLE001 # an error in one request must not end the process
            unexpected.append(group)
        return unexpected[0] if unexpected else None

    async def _serve_request(self) -> bool:
        try:
            request = await self._reader.read()
        except h11.RemoteProtocolError as error:
            request = Rejection(error.error_status_hint, str(error))
        if request is None:
            return False
        self._stream.progress.stall_timeout = self._get_limits().idle_time  # of a client that does not read
        if isinstance(request, Rejection):
            await self._reject(request, self._list_unread_headers())
            return False
        answer = ClientAnswer(self._stream, self._reader.protocol, request.method, self._is_stopping)
        await self._answer(request, answer)
        if answer.needs_eof:
            await self._end_connection()
        if not answer.is_ended or self._reader.protocol.our_state is not h11.DONE:
            return False
        if self._has_disconnected or answer.closes_connection or self._is_stopping():
            return False
        self._reader.protocol.start_next_cycle()
        return True

    async def _answer(self, request: ClientRequest, answer: ClientAnswer) -> None:
        """Answer a request; cancel all work on it when the client disconnects."""
        with anyio.CancelScope() as scope:

            def cancel() -> None:
                self._has_disconnected = True
                scope.cancel()

            self._stream.watch_end(cancel, self._reader.may_buffer)
            try:
                await self._handler(request, answer)
            finally:
                self._stream.watch_end(None)

    async def _reject(self, rejection: Rejection, headers: Headers = ()) -> None:
        """Answer a refused request and end the connection, as the rest of the request is not read."""
        logger.info("request rejected", extra={"status": rejection.status, "reason": rejection.reason})
        if self._reader.protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        answer = ClientAnswer(self._stream, self._reader.protocol, "GET", lambda: True)
        body = rejection.reason.encode()
        await answer.send_whole(
            rejection.status, [(b"content-type", b"text/plain"), *rejection.headers, *headers], body
        )
        self._reader.discard()
        await self._end_connection()

    def _refuse_at_once(self) -> None:
        """Refuse the request of an evicted connection; without its whole head there is none to answer."""
        protocol = self._reader.protocol
        if protocol.their_state is not h11.SEND_BODY or protocol.our_state is not h11.SEND_RESPONSE:
            return
        logger.info("request rejected", extra={"status": EVICTED.status, "reason": EVICTED.reason})
        answer = ClientAnswer(self._stream, protocol, "GET", lambda: True)
        headers = [(b"content-type", b"text/plain"), *EVICTED.headers, *self._list_unread_headers()]
        self._stream.send_at_once(b"".join(answer.frame_whole(EVICTED.status, headers, EVICTED.reason.encode())))

    async def _end_connection(self) -> None:
        """Tell the client that no more is sent, and let it read the answer: bytes left unread would reset it."""
        await self._stream.send_eof()
        with anyio.move_on_after(LINGER_TIMEOUT_S):
            while await self._reader.receive():
                pass


__all__ = ["CLIENT_LEFT_ERRORS", "ClientConnection", "Handler", "Rejection"]
