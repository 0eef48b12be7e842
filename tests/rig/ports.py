"""Ports for tests: a block for each process that asks, so that processes side by side never pick the same one."""

from __future__ import annotations

import fcntl
import itertools
import random
import socket
import tempfile
from collections.abc import Iterator
from contextlib import suppress
from functools import cache
from pathlib import Path

FIRST = 10_000
LAST = 32_000  # the system gives ports above to outgoing connections, which could take them meanwhile
BLOCK = 500

_LOCKS: list[object] = []  # held for the life of this process


@cache
def take_block() -> Iterator[int]:
    """Take a block for the life of this process and go round its ports."""
    blocks = list(range(FIRST, LAST, BLOCK))
    random.shuffle(blocks)
    for block in blocks:
        lock = Path(tempfile.gettempdir(), f"vaneturn-ports-{block}").open("w")  # noqa: SIM115 # see _LOCKS
        with suppress(BlockingIOError):
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            _LOCKS.append(lock)
            return itertools.cycle(range(block, block + BLOCK))
        lock.close()
    raise RuntimeError("every block of ports is taken")


def find_port() -> int:
    """Find a port that is free for TCP and UDP."""
    for port in itertools.islice(take_block(), BLOCK):
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams, suppress(OSError):
            stream.bind(("127.0.0.1", port))
            datagrams.bind(("127.0.0.1", port))
            return port
    raise RuntimeError("every port of the block is taken")


__all__ = ["find_port"]
