"""Stand-in for the network link of a node: all data to the node pass one FIFO queue at a configurable rate."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream

CHUNK_BYTES = 16_384  # bytes sent over the link at once
MIN_SLEEP_S = 0.001  # shorter delays are not slept but added to the delay of later pieces
RECORDED_WAIT_S = 0.05  # an idle link passes a piece in less


@dataclass
class _Piece:
    stream: SocketStream | None  # None for a piece that only keeps the link busy
    data: bytes = b""
    held: float = 0.0  # seconds that the link stays busy in addition to the time for the data
    has_passed: anyio.Event | None = None
    queued_at: float = field(default_factory=time.monotonic)


class Link:
    """One queue for all connections of a node.

    :ivar rate: bytes per second; None for no limit.
    :ivar waits: start and end of each long wait of a piece in the queue.
    """

    def __init__(self, rate: float | None = None) -> None:
        self.rate = rate
        self.waits: list[tuple[float, float]] = []
        self._sender, self._pieces = anyio.create_memory_object_stream[_Piece](math.inf)
        self._free_at = 0.0

    def put(self, stream: SocketStream, data: bytes) -> None:
        """Queue data for a connection; like a socket buffer of the system, it never blocks the sender."""
        for start in range(0, len(data), CHUNK_BYTES):
            self._sender.send_nowait(_Piece(stream, data[start : start + CHUNK_BYTES]))

    def fill(self, seconds: float) -> None:
        """Keep the link busy, as other traffic would."""
        self._sender.send_nowait(_Piece(None, held=seconds))

    async def flush(self) -> None:
        """Return when all data queued before this call have passed."""
        passed = anyio.Event()
        self._sender.send_nowait(_Piece(None, has_passed=passed))
        await passed.wait()

    async def run(self) -> None:
        """Send queued pieces until cancelled."""
        with self._sender, self._pieces:
            async for piece in self._pieces:
                await self._transmit(piece)

    async def _transmit(self, piece: _Piece) -> None:
        now = time.monotonic()
        if now - piece.queued_at >= RECORDED_WAIT_S:
            self.waits.append((piece.queued_at, now))
        if piece.stream is not None and not await _send(piece.stream, piece.data):
            return  # data for an ended connection take no time
        await self._hold(piece.held + (len(piece.data) / self.rate if self.rate else 0.0))
        if piece.has_passed is not None:
            piece.has_passed.set()

    async def _hold(self, seconds: float) -> None:
        """Keep the link busy for some time."""
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + seconds
        if self._free_at - now >= MIN_SLEEP_S:
            await anyio.sleep(self._free_at - now)


async def _send(stream: SocketStream, data: bytes) -> bool:
    """Send data; return False if the connection has ended."""
    try:
        await stream.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return False
    return True


__all__ = ["Link"]
