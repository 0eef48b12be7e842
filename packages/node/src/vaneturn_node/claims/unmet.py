"""Owners of slots that this node has never heard of: asked for themselves before they count as gone."""

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

AskWho = Callable[[str], Awaitable[Member | None]]  # asks who has a peer address; none without an answer

SETTLE_TIME: Final = 2.0  # seconds; a node that lost the race for the meeting point tries again after 1 s

logger = logging.getLogger(__name__)


async def ask_nobody(_address: str) -> None:
    """Give no answer, as a node does that cannot be reached."""


class UnmetOwners:
    """Tells owners that have gone from owners that this node has not met yet.

    A node that has just started knows itself alone. To take every other owner for gone then takes slots from owners
    that live, whose callers are refused until a new owner can vouch for their keys; nodes that start together do so to
    each other in turn.
    """

    def __init__(self, table: MemberTable, introduce: AskWho) -> None:
        self._table = table
        self._introduce = introduce
        self._unmet_since: dict[NodeId, float] = {}
        self._known: frozenset[NodeId] = frozenset()
        self._known_since = float("-inf")

    def is_settled(self) -> bool:
        """Tell whether this node has known the same nodes for a while, so that a first map may name them."""
        known = frozenset(member.node for member in self._table.list_active())
        if known != self._known:
            self._known, self._known_since = known, read_clock()
        return read_clock() - self._known_since >= SETTLE_TIME

    async def find_present(self, owners: Iterable[SlotOwner]) -> frozenset[NodeId]:
        """Ask the owners that were never heard of; gives those that may live without this node having met them."""
        unmet = [owner for owner in owners if not self._table.is_known(owner.node)]
        self._unmet_since = {owner.node: self._unmet_since.get(owner.node, read_clock()) for owner in unmet}
        present = {owner.node for owner in unmet}
        async with anyio.create_task_group() as tasks:
            for owner in unmet:
                tasks.start_soon(self._meet, owner, self._unmet_since[owner.node], present)
        return frozenset(present)

    async def _meet(self, owner: SlotOwner, since: float, present: set[NodeId]) -> None:
        """Meet an owner, or find that it has gone: another node has its address, or nobody answers for long."""
        member = await self._introduce(owner.address)
        if member is not None:
            self._table.merge([member])
        if member is None and read_clock() - since < self._table.compute_suspicion_time():
            return
        present.discard(owner.node)
        extra = {"owner": owner.node, "answered": member.node if member is not None else None}
        logger.info("owner of slots asked", extra=extra)


__all__ = ["AskWho", "UnmetOwners", "ask_nobody"]
