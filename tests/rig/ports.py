"""Ports for tests: each process reserves its own block, so that concurrent processes never use the same port."""

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

FIRST_PORT = 10_000
LAST_PORT = 32_000  # the system gives higher ports to outgoing connections, which could take one before a test binds it
BLOCK_SIZE = 500

_LOCKS: list[object] = []  # open lock files; closing one would release its block


@cache
def reserve_block() -> Iterator[int]:
    """Reserve a block until this process ends; return an endless iterator over its ports."""
    blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK_SIZE))
    random.shuffle(blocks)
    for block in blocks:
        lock = Path(tempfile.gettempdir(), f"vaneturn-ports-{block}").open("w")  # noqa: SIM115 # see _LOCKS
        with suppress(BlockingIOError):
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            _LOCKS.append(lock)
            return itertools.cycle(range(block, block + BLOCK_SIZE))
        lock.close()
    raise RuntimeError("all blocks of ports are reserved by other processes")


def find_port() -> int:
    """Find a port that is free for TCP and UDP."""
    for port in itertools.islice(reserve_block(), BLOCK_SIZE):
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams, suppress(OSError):
            stream.bind(("127.0.0.1", port))
            datagrams.bind(("127.0.0.1", port))
            return port
    raise RuntimeError("all ports of the reserved block are in use")


__all__ = ["find_port"]
