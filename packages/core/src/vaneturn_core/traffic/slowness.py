"""The slowness of servers that nodes report to each other."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.servers import ServerId, Slowness

REPORTED_SLOWNESS: Final = 1.5  # slowness from which a node reports it to the others


def list_slow(statuses: ServerStatuses, now: float) -> dict[ServerId, Slowness]:
    """List the servers that recently reported that they are slower than their kind."""
    return {
        server: Slowness(status.slowness, status.slowness_at)
        for server, status in statuses.list_all().items()
        if status.get_slowness(now) >= REPORTED_SLOWNESS
    }


def apply_slowness(statuses: ServerStatuses, reported: Mapping[ServerId, Slowness]) -> None:
    """Record the slowness of servers that other nodes reported; the newest measurement applies."""
    for server, slowness in reported.items():
        statuses[server].take_slowness(slowness.factor, slowness.measured_at)


__all__ = ["REPORTED_SLOWNESS", "apply_slowness", "list_slow"]
