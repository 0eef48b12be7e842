"""What asyncio offers no call for on the descriptor of a connection."""

from __future__ import annotations

import contextlib
import fcntl
import os
import select
import socket
import struct
import termios
from typing import Final

_INT: Final = struct.Struct("i")


def set_reset_on_close(descriptor: int, *, is_reset: bool) -> None:
    """Choose whether any close of a connection, also by the end of this process, resets it."""
    linger = struct.pack("ii", int(is_reset), 0)  # with a time of 0 seconds, the system resets it
    with socket.socket(fileno=os.dup(descriptor)) as same:
        same.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def count_unsent(descriptor: int) -> int:
    """Count the bytes that the peer has not acknowledged; 0 if the system can't tell."""
    with contextlib.suppress(OSError):
        counted: bytes = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_INT.size))
        return int(_INT.unpack(counted)[0])
    return 0


def is_readable(descriptor: int) -> bool:
    """Tell whether bytes or the end of a connection have arrived."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


__all__ = ["count_unsent", "is_readable", "set_reset_on_close"]
