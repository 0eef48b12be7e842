"""The slowness of servers in messages between nodes, so that not every node has to meet each slow server itself."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from msgspec import UNSET, UnsetType

from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.slowness import apply_slowness, list_slow
from vaneturn_node.clock import read_clock
from vaneturn_node.traffic.sharing.serverrows import pack_slowness, unpack_slowness

PackedSlowness = bytes | UnsetType  # unset while no server is slow, and in messages of older builds

logger = logging.getLogger(__name__)


def pack_known_slowness(statuses: ServerStatuses) -> PackedSlowness:
    """Pack the slowness that this node knows of, measured by itself or by others."""
    now = read_clock()
    slow = list_slow(statuses, now)
    return pack_slowness(slow, now) if slow else UNSET


def apply_packed_slowness(statuses: ServerStatuses, packed: PackedSlowness, known: Iterable[ServerId]) -> None:
    """Record the slowness that another node reported; what is known stays if the report is invalid."""
    if isinstance(packed, UnsetType):
        return
    try:
        reported = unpack_slowness(packed, known, read_clock())
    except ValueError as error:
        logger.warning("slowness of servers not understood", extra={"fault": str(error)})
        return
    apply_slowness(statuses, reported)


__all__ = ["PackedSlowness", "apply_packed_slowness", "pack_known_slowness"]
