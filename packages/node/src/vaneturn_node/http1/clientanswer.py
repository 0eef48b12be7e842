"""Writes one answer to a client, so that the client can tell one that was broken off from a whole one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio
import h11

from vaneturn_node.http1.messages import BODILESS_STATUSES, Headers
from vaneturn_node.http1.sending import send_message
from vaneturn_node.http1.tcp import TcpStream

CHUNKS_VERSION: Final = b"1.1"  # of HTTP; clients of older ones know no chunks


class ClientLeftError(Exception):
    """The client's connection ended."""


class ClientAnswer:
    """Writes one answer; a client can tell an answer that was cut off from a whole one."""

    def __init__(
        self, stream: TcpStream, protocol: h11.Connection, method: str, is_stopping: Callable[[], bool]
    ) -> None:
        self._stream = stream
        self._protocol = protocol
        self._method = method
        self._is_stopping = is_stopping
        self.closes_connection = False  # whether the connection closes after this answer
        self.list_added_headers: Callable[[], Headers] | None = None  # called when the head is sent
        self.is_begun = False
        self.is_ended = False
        self.needs_eof = False  # the end of the connection is still to tell that the answer is whole

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send an answer with a known body."""
        head, sent_body = self.frame_whole(status, headers, body)
        self.is_begun = True
        await self._send(head, sent_body)
        self.is_ended = True

    def frame_whole(self, status: int, headers: Headers, body: bytes) -> tuple[bytes, bytes]:
        """Return the head and the body of an answer to be sent."""
        framed = [*headers, *self._list_hop_headers()]
        if status not in BODILESS_STATUSES:
            framed.append((b"content-length", str(len(body)).encode()))
        head = self._protocol.send(h11.Response(status_code=status, headers=framed)) or b""
        sent_body = body if self._method != "HEAD" and status not in BODILESS_STATUSES else b""
        if sent_body:
            self._protocol.send(h11.Data(data=sent_body))
        self._protocol.send(h11.EndOfMessage())
        return head, sent_body

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer of unknown length."""
        data = self._protocol.send(h11.Response(status_code=status, headers=[*headers, *self._list_hop_headers()]))
        self.is_begun = True
        if self._is_ended_by_close:
            self._stream.reset_on_close(is_reset=True)
        await self._send(data or b"")

    async def send_part(self, body: bytes) -> None:
        """Send a part of the body."""
        await self._send(self._protocol.send(h11.Data(data=body)) or b"")

    async def end(self, trailers: Headers = ()) -> None:
        """Mark the answer as whole, unless its trailers tell otherwise."""
        await self._send(self._protocol.send(h11.EndOfMessage(headers=list(trailers))) or b"")
        self.is_ended = True
        if self._is_ended_by_close:
            self._stream.reset_on_close(is_reset=False)
            self.needs_eof = True

    @property
    def stalled(self) -> float:
        """Give the seconds for which the client has taken nothing of what waits for it."""
        return self._stream.progress.stalled

    def close(self) -> None:
        """Close the connection in the middle of the answer."""
        self._stream.close()

    @property
    def _is_ended_by_close(self) -> bool:
        """Tell whether only the end of the connection ends an answer of unknown length.

        Until such an answer is whole, the connection is reset whenever it ends, which its client takes for an error.
        """
        version = self._protocol.their_http_version
        return version is None or version < CHUNKS_VERSION

    def _list_hop_headers(self) -> list[tuple[bytes, bytes]]:
        self.closes_connection = self.closes_connection or self._is_stopping()
        added = list(self.list_added_headers()) if self.list_added_headers is not None else []
        return [*added, (b"connection", b"close")] if self.closes_connection else added

    async def _send(self, head: bytes, body: bytes = b"") -> None:
        try:
            await send_message(self._stream, head, body)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ClientLeftError from None


__all__ = ["ClientAnswer", "ClientLeftError"]
