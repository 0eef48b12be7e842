"""State of one node as known to the others."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

from vaneturn_core.identifiers import DataHall, NodeId, VmId


class MemberState(IntEnum):
    """State of a node; within one incarnation the greater value takes precedence."""

    ALIVE = 0
    SUSPECT = 1  # did not answer a probe, may still refute
    DEAD = 2  # did not refute in time, or reported that it stops


class Member(Struct, frozen=True, array_like=True):
    """What nodes report of a node; a greater incarnation, raised only by the node itself, overrides every state."""

    node: NodeId
    vm: VmId
    address: str  # for datagrams and requests of peers
    data_hall: DataHall
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    is_stopping: bool = False  # it finishes its requests and gets no share of the work that nodes divide

    def overrides(self, other: Member) -> bool:
        """Tell whether this report is newer than another one of the same node."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


__all__ = ["Member", "MemberState"]
