"""Tells a peer that takes bytes slowly from one that takes none."""

from __future__ import annotations

import asyncio
import math
from typing import Final

import anyio

from vaneturn_node.http1.descriptors import count_unsent

CHECK_INTERVAL_S: Final = 0.25


class WriteProgress:
    """Watches the bytes that the peer of one connection has not taken.

    The time counts in checks, so that none passes while this process is stopped.

    :ivar stall_timeout: seconds without a byte taken after which the connection counts as lost.
    :ivar stalled: seconds for which a waiting write has made no progress; 0 without one.
    """

    def __init__(self) -> None:
        self.stall_timeout = math.inf
        self.stalled = 0.0

    async def wait(self, writable: asyncio.Event, transport: asyncio.Transport, descriptor: int) -> None:
        """Wait until a write is possible.

        :param descriptor: of the connection; the operating system may hold far more than the transport.
        :raises BrokenResourceError: the peer has taken nothing for the stall timeout.
        """
        unsent = transport.get_write_buffer_size() + count_unsent(descriptor)
        try:
            while not writable.is_set():
                with anyio.move_on_after(CHECK_INTERVAL_S):
                    await writable.wait()
                    return
                left = transport.get_write_buffer_size() + count_unsent(descriptor)
                self.stalled = 0.0 if left < unsent else self.stalled + CHECK_INTERVAL_S
                unsent = left
                if self.stalled >= self.stall_timeout:
                    raise anyio.BrokenResourceError
        finally:
            self.stalled = 0.0


__all__ = ["WriteProgress"]
