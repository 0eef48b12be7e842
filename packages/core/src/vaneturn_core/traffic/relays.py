"""Which nodes ask the store for changes, and in what order the others ask those nodes."""

from __future__ import annotations

import hashlib
from collections.abc import Collection
from typing import Final

from vaneturn_core.identifiers import VmId

DIRECT_NODES: Final = 3  # up to so many nodes, all ask the store: a relay would save next to nothing
NODES_EACH: Final = 16  # that share a relay; one poll takes about half a millisecond of its processor time
MIN_RELAYS: Final = 2  # so that the loss of one leaves another


def count_relays(nodes: int) -> int:
    """Count the relays among so many nodes."""
    if nodes <= DIRECT_NODES:
        return nodes
    return max(MIN_RELAYS, -(-nodes // NODES_EACH))


def list_relays(nodes: Collection[VmId]) -> list[VmId]:
    """List the relays; every node that knows the same nodes finds the same ones."""
    return sorted(nodes, key=lambda node: (_hash(node), node))[: count_relays(len(nodes))]


def rank_relays(own: VmId, nodes: Collection[VmId]) -> list[VmId]:
    """Rank the relays that a node asks one after the other; none for a relay."""
    relays = list_relays(nodes)
    return [] if own in relays else sorted(relays, key=lambda relay: (_hash(f"{own} {relay}"), relay))


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


__all__ = ["count_relays", "list_relays", "rank_relays"]
