"""Assignment of repeat keys to slots, and of slots to owner nodes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence
from typing import Final

import xxhash
from msgspec import Struct

from vaneturn_core.identifiers import CustomerName, NodeId, RepeatKey
from vaneturn_core.membership.member import Member, MemberState

SLOTS: Final = 64
MAX_OWNERS: Final = 16  # nodes that own slots; key-value calls grow with this number, not with the fleet
SLOTS_KEY: Final = "vaneturn/slots"


class SlotOwner(Struct, frozen=True):
    """A node that owns slots."""

    node: NodeId
    address: str  # for requests from peers


class SlotMap(Struct, frozen=True):
    """The owner of each slot; the epoch increases by one with each change."""

    epoch: int = 0
    owners: tuple[SlotOwner, ...] = ()
    slots: tuple[int, ...] = ()  # owner index of each slot; empty before the first assignment

    def find_owner(self, slot: int) -> SlotOwner | None:
        """Find the owner of a slot; None before the first assignment."""
        return self.owners[self.slots[slot]] if self.slots else None

    def list_slots(self, node: NodeId) -> frozenset[int]:
        """List the slots of a node."""
        return frozenset(slot for slot, index in enumerate(self.slots) if self.owners[index].node == node)

    def count_slots(self) -> dict[NodeId, int]:
        """Count the slots of each owner."""
        counts = Counter(self.slots)
        return {owner.node: counts[index] for index, owner in enumerate(self.owners)}


def find_slot(customer: CustomerName, repeat_key: RepeatKey) -> int:
    """Find the slot of a key."""
    return xxhash.xxh3_64_intdigest(f"{customer}\0{repeat_key}".encode()) % SLOTS


def reassign_slots(current: SlotMap, members: Sequence[Member], unmet: Collection[NodeId] = ()) -> SlotMap | None:
    """Reassign the slots of owners that are gone; None when nothing has to change.

    After a move a slot rejects all keys created before it, so slots move only when necessary.

    :param unmet: owners that may be alive although the assigning node has had no contact with them.
    """
    alive = {member.node: member for member in members if member.state is not MemberState.DEAD}
    remaining = [owner for owner in current.owners if owner.node in alive or owner.node in unmet]
    if current.slots and len(remaining) == len(current.owners) and len(remaining) >= min(MAX_OWNERS, len(alive)) // 2:
        return None
    owners = [
        *remaining,
        *_choose_owners(alive.values(), {owner.node for owner in remaining}, MAX_OWNERS - len(remaining)),
    ]
    if not owners:
        return None
    index_of = {owner.node: index for index, owner in enumerate(owners)}
    assigned = [index_of.get(current.owners[index].node) for index in current.slots] or [None] * SLOTS
    return SlotMap(current.epoch + 1, tuple(owners), _assign_free_slots(assigned, len(owners)))


def _choose_owners(alive: Collection[Member], remaining: set[NodeId], count: int) -> list[SlotOwner]:
    members = [member for member in alive if member.node not in remaining]
    members.sort(key=lambda member: xxhash.xxh3_64_intdigest(f"slots {member.node}".encode()))
    return [SlotOwner(member.node, member.address) for member in members[:count]]


def _assign_free_slots(assigned: Sequence[int | None], owners: int) -> tuple[int, ...]:
    """Assign each slot without an owner to the owner with the fewest slots."""
    slot_counts = Counter(dict.fromkeys(range(owners), 0))
    slot_counts.update(index for index in assigned if index is not None)
    complete: list[int] = []
    for index in assigned:
        chosen = index if index is not None else min(slot_counts, key=lambda owner: (slot_counts[owner], owner))
        slot_counts[chosen] += index is None
        complete.append(chosen)
    return tuple(complete)


__all__ = ["MAX_OWNERS", "SLOTS", "SLOTS_KEY", "SlotMap", "SlotOwner", "find_slot", "reassign_slots"]
