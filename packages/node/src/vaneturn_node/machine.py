"""The memory that a node may use, and the parts of it for the bytes of requests and for connections."""

from __future__ import annotations

import os
import resource
from pathlib import Path
from typing import Final

IDLE_PROCESS_BYTES: Final = 68_000_000  # of a process without connections
PROCESS_BYTES: Final = 96_000_000  # of a process without requests
BODY_SHARE: Final = 0.5  # of the rest; the other half is for parsing, buffers and fragmentation
CONNECTION_SHARE: Final = 0.25  # of what an idle process leaves
CONNECTION_BYTES: Final = 100_000  # of a connection with full buffers
RESERVED_DESCRIPTORS: Final = 640  # for servers, other nodes and the key-value service
MIN_CONNECTIONS: Final = 16
_CONTROL_GROUP_LIMIT: Final = Path("/sys/fs/cgroup/memory.max")


def compute_byte_budget(memory_mb: int | None) -> int:
    """Compute the bytes that all requests may hold at the same time.

    :param memory_mb: memory of the process in megabytes; none means all memory of the machine.
    """
    memory = read_memory_bytes() if memory_mb is None else memory_mb * 1_000_000
    return int(BODY_SHARE * max(0, memory - PROCESS_BYTES))


def compute_connection_limit(memory_mb: int | None, max_connections: int) -> int:
    """Compute how many connections fit into the memory and into the limit of open descriptors.

    :param memory_mb: memory of the process in megabytes; none means all memory of the machine.
    """
    memory = read_memory_bytes() if memory_mb is None else memory_mb * 1_000_000
    fitting = int(CONNECTION_SHARE * (memory - IDLE_PROCESS_BYTES)) // CONNECTION_BYTES
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors != resource.RLIM_INFINITY:
        fitting = min(fitting, descriptors - RESERVED_DESCRIPTORS)
    return max(MIN_CONNECTIONS, min(max_connections, fitting))


def read_memory_bytes() -> int:
    """Read the memory of the machine, or of the control group if that is less."""
    physical = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    try:
        limit = _CONTROL_GROUP_LIMIT.read_text().strip()
    except OSError:
        return physical
    return min(physical, int(limit)) if limit.isdigit() else physical


__all__ = ["compute_byte_budget", "compute_connection_limit"]
