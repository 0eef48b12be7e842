"""One HTTP exchange with a server; its errors state whether the request was sent and how the answer ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import anyio
import h11

from vaneturn_core.traffic.completeness import Ending, Framing
from vaneturn_node.bytebudget import BudgetUsedUpError, ByteBudget, ByteHolder
from vaneturn_node.http1.connection import Connection
from vaneturn_node.http1.framing import find_framing
from vaneturn_node.http1.linkerror import LinkError, describe_failed_connection
from vaneturn_node.http1.messages import MAX_STATUS, Headers
from vaneturn_node.http1.sending import send_message
from vaneturn_node.http1.tcp import TcpStream

RECEIVE_BYTES: Final = 65536
MAX_INFORMATIONAL_HEADS: Final = 16  # before the head of an answer
MAX_WHOLE_BYTES: Final = 8 * 2**20  # of an answer that is kept until its end has arrived


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an answer."""

    status: int
    headers: Headers


class HttpLink:
    """One exchange on a connection that is its own until it ends; all limits are in seconds.

    What was sent is a fact of the exchange, not of the connection: otherwise the next exchange would overwrite it.
    """

    def __init__(self, connection: Connection) -> None:
        """Take a connection for one exchange.

        :raises ConnectionInUseError: another exchange has it.
        """
        connection.claim(self)
        self.connection = connection
        self.was_sent = False  # whether a part of the request may have been sent
        self._is_begun = False
        self._next_event: h11.Event | type[h11.PAUSED | h11.NEED_DATA] | None = None  # read ahead by wait_for_more()
        self._method = ""
        self._is_closed_by_peer = False
        self.framing: Framing | None = None  # of the answer; None until its head has arrived
        self.ending: Ending | None = None  # of the answer; None while it may still arrive
        self.trailers: Headers = ()  # of an answer that was read to its end

    @classmethod
    async def open(cls, address: str, limit: float) -> HttpLink:
        """Connect to IP:PORT.

        :raises LinkError: the connection could not be opened in time.
        """
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(limit):
                return cls(Connection(await TcpStream.connect(host, int(port))))
        except TimeoutError:
            raise LinkError("connecting took too long", was_sent=False, is_unresponsive=True) from None
        except (ValueError, OverflowError) as error:
            raise LinkError(f"not an address: {error}", was_sent=False) from None
        except OSError as error:
            raise describe_failed_connection(error) from None

    async def send(self, method: str, target: str, headers: Headers, body: bytes, limit: float) -> None:
        """Send a whole request.

        :raises LinkError: sending failed; a part of the request may have been sent.
        """
        self._begin_exchange(method)
        framed = [*headers, (b"content-length", str(len(body)).encode())] if body or method != "GET" else list(headers)
        head = self._make_head(method, target, framed)
        self.was_sent = True
        await self._send_bytes(head, self._frame_body(body), limit)

    def _make_head(self, method: str, target: str, headers: list[tuple[bytes, bytes]]) -> bytes:
        try:
            return self.connection.protocol.send(h11.Request(method=method, target=target, headers=headers)) or b""
        except h11.LocalProtocolError as error:
            raise LinkError(f"not a request: {error}", was_sent=False) from None

    def _begin_exchange(self, method: str) -> None:
        if self._is_begun:
            raise RuntimeError("an exchange sends one request")
        self._is_begun = True
        self._method = method

    def _frame_body(self, body: bytes) -> bytes:
        """End the request with a body; return what is to be sent of it, as it has a length."""
        if body:
            self.connection.protocol.send(h11.Data(data=body))
        self.connection.protocol.send(h11.EndOfMessage())
        return body

    async def _send_bytes(self, head: bytes, body: bytes, limit: float) -> None:
        try:
            await send_message(self.connection.stream, head, body, limit)
        except TimeoutError:
            raise LinkError("sending took too long", was_sent=self.was_sent, is_unresponsive=True) from None
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise LinkError("connection lost while sending", was_sent=self.was_sent) from None

    async def send_when_accepted(
        self, method: str, target: str, headers: Headers, body: bytes, accept_limit: float
    ) -> None:
        """Send the head of a request, and its body once the other side has asked for it.

        :param accept_limit: seconds to wait for that; a request whose body was not sent is not handled.
        :raises LinkError: the other side has not asked for the body in time, or sending failed.
        """
        self._begin_exchange(method)
        framed = [*headers, (b"content-length", str(len(body)).encode()), (b"expect", b"100-continue")]
        await self._send_bytes(self._make_head(method, target, framed), b"", accept_limit)
        event = await self._read_event(accept_limit)
        if not isinstance(event, h11.InformationalResponse):
            raise LinkError("the request was not accepted", was_sent=False)
        framed_body = self._frame_body(body)
        self.was_sent = True
        await self._send_bytes(b"", framed_body, accept_limit)

    async def read_head(self, limit: float) -> AnswerHead:
        """Wait for the head of the answer.

        :raises LinkError: none came in time, the connection ended, or the bytes are not an HTTP response.
        """
        until = anyio.current_time() + limit
        for _ in range(MAX_INFORMATIONAL_HEADS + 1):
            event = await self._read_event(until - anyio.current_time())
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise self.reject(f"status {event.status_code}")
                headers = [(name.lower(), value) for name, value in event.headers]
                self.connection.update_idle_timeout(headers)
                self.framing = find_framing(self._method, event)
                return AnswerHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise LinkError("connection ended before an answer", was_sent=True)
        raise self.reject("too many informational answers")

    async def read_whole(self, limit: float, budget: ByteBudget) -> tuple[bytes, ByteHolder]:
        """Read the rest of the body to its end; its bytes are held until the holder is released.

        :param limit: without any bytes.
        :raises LinkError: the connection was lost, or the body is too long for the budget or for any answer.
        """
        body = bytearray()
        holder = budget.open(body.clear, is_answer=True)
        try:
            while (data := await self.read_data(limit)) is not None:
                self.hold(holder, len(body) + len(data))
                body += data
            self.hold(holder, len(body), is_whole=True)
        except BaseException:
            holder.release()
            raise
        return bytes(body), holder

    def hold(self, holder: ByteHolder, size: int, *, is_whole: bool = False) -> None:
        """Hold the bytes of a body so far; those of a whole one are not evicted any more.

        :raises LinkError: there are too many, or they were evicted.
        """
        if size > MAX_WHOLE_BYTES:
            raise self.reject("body too long", is_too_long=True)
        try:
            holder.grow(size)
            if is_whole:
                holder.complete()
        except BudgetUsedUpError:
            raise LinkError("no memory for the answer", was_sent=True, has_no_memory=True) from None

    async def read_data(self, limit: float) -> bytes | None:
        """Wait for more of the body; return None at its end.

        :raises LinkError: nothing came in time, or the connection ended inside the body.
        """
        event = await self._read_event(limit)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.ending = Ending.CLOSED if self.framing is Framing.CLOSE else Ending.FRAMED
            self.trailers = [(name.lower(), value) for name, value in event.headers]
            return None
        raise LinkError("connection ended inside an answer", was_sent=True)

    async def wait_for_more(self, limit: float) -> bool:
        """Wait for the next part of the answer and buffer it for the next read.

        :return: false if the connection was closed and nothing but that marks the end: the answer may be incomplete.
        :raises LinkError: nothing came in time, or the connection was lost.
        """
        self._next_event = await self._read_event(limit)
        return not (isinstance(self._next_event, h11.EndOfMessage) and self.framing is Framing.CLOSE)

    def reject(self, reason: str, *, is_too_long: bool = False) -> LinkError:
        """Make the error of bytes that cannot be an answer, which ends the exchange."""
        self.ending = Ending.INVALID
        return LinkError(f"not an answer: {reason}", was_sent=True, is_too_long=is_too_long)

    async def _read_event(self, limit: float) -> h11.Event | type[h11.PAUSED | h11.NEED_DATA]:
        if self._next_event is not None:
            event, self._next_event = self._next_event, None
            return event
        until = anyio.current_time() + limit
        while True:
            try:
                event = self.connection.protocol.next_event()
            except h11.RemoteProtocolError as error:
                self.ending = Ending.CLOSED if self._is_closed_by_peer else Ending.INVALID
                raise LinkError(f"not an answer: {error}", was_sent=True) from None
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.connection.stream.receive(RECEIVE_BYTES, max(0.0, until - anyio.current_time()))
            except TimeoutError:
                self.ending = Ending.SILENT
                raise LinkError("no bytes in time", was_sent=self.was_sent, is_unresponsive=True) from None
            except anyio.EndOfStream:
                data = b""
                self._is_closed_by_peer = True
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.ending = Ending.RESET
                raise LinkError("connection reset", was_sent=self.was_sent) from None
            self.ending = None
            self.connection.protocol.receive_data(data)

    def finish(self) -> bool:
        """Give the connection back; return whether it can carry another exchange."""
        return self.connection.is_used_by(self) and self.connection.finish()

    async def abort(self) -> None:
        """Close the connection immediately, unless it was given back."""
        if self.connection.is_used_by(self):
            await self.connection.abort()


__all__ = ["MAX_WHOLE_BYTES", "AnswerHead", "HttpLink", "LinkError"]
