"""One TCP connection to a server, which carries one exchange after the other."""

from __future__ import annotations

import itertools
import zlib
from array import array
from collections.abc import Iterator
from typing import ClassVar, Final

import h11

from vaneturn_core.identifiers import RequestId
from vaneturn_node.http1.messages import Headers, find_header, parse_count
from vaneturn_node.http1.tcp import TcpStream

MAX_HEAD_BYTES: Final = 65536
DEFAULT_IDLE_TIMEOUT_S: Final = 2.0  # servers without a Keep-Alive timeout keep an idle connection at least so long
MAX_REQUESTS: Final = 256  # on one connection, which keeps a digest of each and searches them at each send
IDLE_MARGIN_S: Final = 0.8  # subtracted from the Keep-Alive timeout, for the transit of the next request


class ConnectionInUseError(Exception):
    """An exchange was to begin on a connection that carries another one."""


class RequestRepeatedError(Exception):
    """A request was to be sent on a connection that has carried it before."""


class Connection:
    """A connection that at most one exchange uses at a time, and that carries each request once.

    An answer names its request. Only on a connection that carries a request once does this also name the send.
    """

    _numbers: ClassVar[Iterator[int]] = itertools.count(1)

    def __init__(self, stream: TcpStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.number = next(self._numbers)  # within this process, for logs
        self.exchanges = 0  # that have used it so far
        self.idle_since = 0.0  # set by the pool
        self._user: object | None = None
        self._requests = array("I")  # digests of those sent so far
        self._idle_timeout = DEFAULT_IDLE_TIMEOUT_S

    def claim(self, user: object) -> None:
        """Give the connection to an exchange.

        :raises ConnectionInUseError: another exchange has it.
        """
        if self._user is not None:
            raise ConnectionInUseError(f"connection {self.number} carries exchange {self.exchanges}")
        self._user = user
        self.exchanges += 1

    @property
    def is_in_use(self) -> bool:
        """Tell whether an exchange has the connection."""
        return self._user is not None

    def is_used_by(self, user: object) -> bool:
        """Tell whether the given exchange has the connection."""
        return self._user is user

    def record_request(self, request: RequestId) -> None:
        """Record a request that is about to be sent.

        :raises RequestRepeatedError: it was sent on this connection before.
        """
        if self.has_carried(request):
            raise RequestRepeatedError(f"connection {self.number} has carried request {request}")
        self._requests.append(_digest(request))

    def has_carried(self, request: RequestId) -> bool:
        """Tell whether a request was sent on this connection; by chance, one in millions is taken for another."""
        return _digest(request) in self._requests

    def finish(self) -> bool:
        """End the exchange; return whether the connection can carry another one."""
        if len(self._requests) >= MAX_REQUESTS:
            return False
        if self.protocol.our_state is not h11.DONE or self.protocol.their_state is not h11.DONE:
            return False
        if self.protocol.trailing_data[0]:
            return False
        self.protocol.start_next_cycle()
        self._user = None
        return True

    def update_idle_timeout(self, headers: Headers) -> None:
        """Take the time for which the server keeps an idle connection from the headers of an answer."""
        keep_alive = find_header(headers, b"keep-alive")
        if keep_alive is None:
            return
        for parameter in keep_alive.split(b","):
            name, _, value = parameter.strip().partition(b"=")
            seconds = parse_count(value) if name.lower() == b"timeout" else None
            if seconds is not None:
                self._idle_timeout = max(0.0, seconds - IDLE_MARGIN_S)

    def is_fresh(self, now: float, max_idle: float) -> bool:
        """Return whether an idle connection can carry another request: not idle too long, not closed, no stray data."""
        if now - self.idle_since >= min(self._idle_timeout, max_idle):
            return False
        return not self.stream.has_input()

    async def abort(self) -> None:
        """Close immediately."""
        await self.stream.aclose()


def _digest(request: RequestId) -> int:
    return zlib.crc32(request.encode())


__all__ = ["Connection", "ConnectionInUseError", "RequestRepeatedError"]
