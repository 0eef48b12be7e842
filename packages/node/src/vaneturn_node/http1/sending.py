"""Sends messages with long bodies without copies of these."""

from __future__ import annotations

import math
from typing import Final

import anyio

from vaneturn_node.http1.tcp import TcpStream

SLICE_BYTES: Final = 65536  # written at once; the transport copies what the operating system does not take


async def send_message(stream: TcpStream, head: bytes, body: bytes, limit: float = math.inf) -> None:
    """Send a head and a body, of which the transport never holds more than a slice.

    :param limit: seconds for all of it.
    :raises TimeoutError: the peer has not taken all in time.
    :raises BrokenResourceError: the connection was lost.
    :raises ClosedResourceError: this side has closed the connection.
    """
    if len(body) <= SLICE_BYTES:
        await stream.send(head + body, limit)
        return
    until = anyio.current_time() + limit
    await stream.send(head, limit)
    view = memoryview(body)
    for start in range(0, len(body), SLICE_BYTES):
        await stream.send(view[start : start + SLICE_BYTES], until - anyio.current_time())


__all__ = ["send_message"]
