"""Owners of slots that are missing from this node's member table; they are asked before they count as gone."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import anyio

from vaneturn_core.claims.slots import SlotOwner
from vaneturn_core.identifiers import NodeId
from vaneturn_core.membership.member import Member
from vaneturn_core.membership.table import MemberTable
from vaneturn_node.clock import read_clock

AskMember = Callable[[str], Awaitable[Member | None]]  # asks which member has a peer address; None without an answer

SETTLE_TIME_S: Final = 2.0  # a node whose write to the meeting point met a conflict retries after 1 s

logger = logging.getLogger(__name__)


async def ask_no_member(_address: str) -> None:
    """Return no answer, like an unreachable node."""


class UnmetOwners:
    """Distinguishes owners that are gone from owners that this node does not know yet.

    The member table of a node that has just started holds only the node itself. If it treated all other owners as
    gone, it would take slots from live owners, and requests with keys of these slots would be refused until the new
    owner may accept them. Nodes that start together would do this to each other in turn.
    """

    def __init__(self, table: MemberTable, ask_member: AskMember) -> None:
        self._table = table
        self._ask_member = ask_member
        self._unmet_since: dict[NodeId, float] = {}
        self._known: frozenset[NodeId] = frozenset()
        self._known_since = float("-inf")

    def is_settled(self) -> bool:
        """Tell whether the active members have not changed for a while, so that the first map may be written."""
        known = frozenset(member.node for member in self._table.list_active())
        if known != self._known:
            self._known, self._known_since = known, read_clock()
        return read_clock() - self._known_since >= SETTLE_TIME_S

    async def find_possibly_alive(self, owners: Iterable[SlotOwner]) -> frozenset[NodeId]:
        """Ask the owners that are not in the member table; return those that may be alive although still unknown."""
        unmet = [owner for owner in owners if not self._table.is_known(owner.node)]
        self._unmet_since = {owner.node: self._unmet_since.get(owner.node, read_clock()) for owner in unmet}
        possibly_alive = {owner.node for owner in unmet}
        async with anyio.create_task_group() as tasks:
            for owner in unmet:
                tasks.start_soon(self._ask_owner, owner, self._unmet_since[owner.node], possibly_alive)
        return frozenset(possibly_alive)

    async def _ask_owner(self, owner: SlotOwner, since: float, possibly_alive: set[NodeId]) -> None:
        """Ask at an owner's address; it is gone if another node answers, or none for the suspicion time."""
        member = await self._ask_member(owner.address)
        if member is not None:
            self._table.merge([member])
        if member is None and read_clock() - since < self._table.compute_suspicion_time():
            return
        possibly_alive.discard(owner.node)
        extra = {"owner": owner.node, "answered": member.node if member is not None else None}
        logger.info("owner of slots asked", extra=extra)


__all__ = ["AskMember", "UnmetOwners", "ask_no_member"]
