"""The members known to a node, merged from the reports of all nodes (the SWIM protocol with suspicion)."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import msgspec
import xxhash

from vaneturn_core.identifiers import NodeId
from vaneturn_core.membership.member import Member, MemberState

RETRANSMIT_FACTOR: Final = 3.0  # each change is sent this many times the binary logarithm of the member count
SUSPICION_FACTOR: Final = 4.0  # seconds, times the greater of 1 and the decimal logarithm of the member count
DEAD_RETENTION_S: Final = 7200.0  # regions that were partitioned for an hour can still rejoin
MAX_DEAD: Final = 256


class MemberTable:
    """Merges reports of members, and picks the changes to send and the members to probe."""

    def __init__(self, own: Member, rng: Random, clock: Callable[[], float]) -> None:
        self.own = own
        self._rng = rng
        self._clock = clock
        self._members: dict[NodeId, Member] = {own.node: own}
        self._state_since: dict[NodeId, float] = {}  # when a member became suspect or dead
        self._pending_changes: dict[NodeId, int] = {own.node: 0}  # changes still to send, and how often each was sent
        self._probe_order: list[NodeId] = []
        self.listeners: list[Callable[[Member], None]] = []

    def list_alive(self) -> list[Member]:
        """List the members that are not dead, including this node."""
        return [member for member in self._members.values() if member.state is not MemberState.DEAD]

    def list_active(self) -> list[Member]:
        """List the members that work is divided among: not dead and not stopping."""
        return [member for member in self.list_alive() if not member.is_stopping]

    def list_peers(self) -> list[Member]:
        """List the other members that are not dead."""
        return [member for member in self.list_alive() if member.node != self.own.node]

    def list_dead(self) -> list[Member]:
        """List the dead members that have not been removed yet."""
        return [member for member in self._members.values() if member.state is MemberState.DEAD]

    def find(self, node: NodeId) -> Member | None:
        """Find a member that is not dead."""
        member = self._members.get(node)
        return member if member is not None and member.state is not MemberState.DEAD else None

    def is_known(self, node: NodeId) -> bool:
        """Tell whether a node is known, even if only as dead."""
        return node in self._members

    def merge(self, reports: Iterable[Member]) -> None:
        """Merge the reports of another node."""
        for member in reports:
            if member.node == self.own.node:
                self._refute(member)
            else:
                self._merge_member(member)

    def _refute(self, report: Member) -> None:
        """Refute a report that this node is suspect or dead with a greater incarnation."""
        if report.state is MemberState.ALIVE or report.incarnation < self.own.incarnation:
            return
        if self.own.state is MemberState.DEAD:
            return  # this node is stopping
        self.own = msgspec.structs.replace(self.own, incarnation=report.incarnation + 1)
        self._store_member(self.own)

    def _merge_member(self, member: Member) -> None:
        known = self._members.get(member.node)
        if known is None and member.state is MemberState.DEAD:
            return
        if known is None or member.overrides(known):
            self._store_member(member)
        elif known.state is MemberState.DEAD and member.state is MemberState.ALIVE:
            self._pending_changes[member.node] = 0  # it is alive and must learn of its reported death to refute it

    def _store_member(self, member: Member) -> None:
        self._members[member.node] = member
        self._pending_changes[member.node] = 0
        if member.state is MemberState.ALIVE:
            self._state_since.pop(member.node, None)
        else:
            self._state_since[member.node] = self._clock()
        for listener in self.listeners:
            listener(member)

    def suspect(self, node: NodeId) -> None:
        """Suspect a member that did not answer."""
        known = self._members.get(node)
        if known is not None and known.state is MemberState.ALIVE:
            self._store_member(msgspec.structs.replace(known, state=MemberState.SUSPECT))

    def expire(self) -> None:
        """Declare suspects dead that did not refute in time, and remove members that have been dead for long."""
        now = self._clock()
        timeout = self.compute_suspicion_time()
        for node, since in list(self._state_since.items()):
            member = self._members[node]
            if member.state is MemberState.SUSPECT and now - since >= timeout:
                self._store_member(msgspec.structs.replace(member, state=MemberState.DEAD))
            elif member.state is MemberState.DEAD and now - since >= DEAD_RETENTION_S:
                self._forget(node)
        for member in self.list_dead()[:-MAX_DEAD]:
            self._forget(member.node)

    def compute_suspicion_time(self) -> float:
        """Compute the seconds that a suspect has to refute."""
        alive = max(1, len(self.list_alive()))  # none once the last node has announced its end
        return SUSPICION_FACTOR * max(1.0, math.log10(alive))

    def announce_stopping(self) -> None:
        """Announce that this node will stop, so that the others take over its share of the work."""
        self.own = msgspec.structs.replace(self.own, incarnation=self.own.incarnation + 1, is_stopping=True)
        self._store_member(self.own)

    def announce_stopped(self) -> None:
        """Announce that this node stops now, so that the others need not suspect it first."""
        self.own = msgspec.structs.replace(self.own, state=MemberState.DEAD)
        self._store_member(self.own)

    def _forget(self, node: NodeId) -> None:
        del self._members[node]
        self._state_since.pop(node, None)
        self._pending_changes.pop(node, None)

    def pick_probe(self) -> Member | None:
        """Pick the next member to probe: each member once per round, in a new random order each round."""
        while self._probe_order:
            member = self.find(self._probe_order.pop())
            if member is not None and member.node != self.own.node:
                return member
        peers = [member.node for member in self.list_peers()]
        if not peers:
            return None
        self._rng.shuffle(peers)
        self._probe_order = peers
        return self.find(self._probe_order.pop())

    def pick_random_peers(self, excluded: NodeId, count: int) -> list[Member]:
        """Pick random members other than this node and the excluded one."""
        others = [member for member in self.list_peers() if member.node != excluded]
        return self._rng.sample(others, min(count, len(others)))

    def take_changes(self, limit: int) -> list[Member]:
        """Take the changes to send with the next message, those sent least often first."""
        max_sends = math.ceil(RETRANSMIT_FACTOR * math.log2(len(self._members) + 1))
        selected = sorted(self._pending_changes, key=lambda node: self._pending_changes[node])[:limit]
        for node in selected:
            self._pending_changes[node] += 1
            if self._pending_changes[node] >= max_sends:
                del self._pending_changes[node]
        return [self._members[node] for node in selected]

    def has_role(self, role: str, count: int) -> bool:
        """Tell whether this node has a role in its data hall; nodes with the same view agree."""
        members = self.list_active() or self.list_alive()  # if all nodes are stopping, they keep their roles
        hall = [member for member in members if member.data_hall == self.own.data_hall]
        ranked = sorted(hall, key=lambda member: xxhash.xxh3_64_intdigest(f"{role} {member.node}".encode()))
        return self.own.node in {member.node for member in ranked[:count]}


__all__ = ["MemberTable"]
