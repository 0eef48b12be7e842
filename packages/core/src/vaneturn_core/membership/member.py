"""One node as the others know it."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

from vaneturn_core.identifiers import DataHall, NodeId, VmId


class MemberState(IntEnum):
    """State of a node; at one incarnation the greater state wins."""

    ALIVE = 0
    SUSPECT = 1  # did not answer, may still refute
    DEAD = 2  # did not refute, or said that it stops


class Member(Struct, frozen=True, array_like=True):
    """What is told of a node; a greater incarnation, raised only by the node itself, overrides every state."""

    node: NodeId
    vm: VmId
    address: str  # for datagrams and requests of peers
    data_hall: DataHall
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    is_stopping: bool = False  # it finishes what it has and takes no part in what the nodes share out

    def overrides(self, other: Member) -> bool:
        """Tell whether this is newer than the other word on the same node."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


__all__ = ["Member", "MemberState"]
