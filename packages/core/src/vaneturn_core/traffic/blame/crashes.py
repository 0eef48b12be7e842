"""Crashes of servers, and the requests that had just begun on them.

When a server crashes, any request that had just begun there may be the cause, by its content or by a part of its
prompt. Nodes exchange what they have seen and merge it as sets: a crash of one start of a server that many nodes have
seen counts once.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

from vaneturn_core.traffic.blame.contents import Content, Fingerprint, Identity, PromptPart
from vaneturn_core.traffic.servers import Software

STARTING_TIME_S: Final = 1.0  # after its first event; a request that runs for longer is not suspected
# a server hardly begins to run a request sooner after its send; it may have crashed before that
EARLIEST_CRASH_S: Final = 0.01
MAX_SUSPECTS: Final = (
    512  # identities per crash; a full server may lose hundreds of requests at once, each with some parts
)


class Suspicion(IntEnum):
    """What a crash says of an identity; when nodes report different values, the largest counts."""

    # the names of the class and its members are part of the checksum (CrashBoard.check): if one is renamed, nodes of
    # different builds compute different ones for the same crashes, and keep reporting to each other
    BEGUN = 1  # the request had produced events, for less than STARTING_TIME_S, or was sent just before the crash
    UNHEARD = 2  # the request had produced none
    CLEARED = 3  # a request with the identity has run without a crash


_WEIGHTS: Final = {Suspicion.BEGUN: 2, Suspicion.UNHEARD: 3, Suspicion.CLEARED: 0}


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request whose server was lost, as the node knows it that had sent it there."""

    fingerprint: Fingerprint
    suspicion: Suspicion
    sent_at: float = float("-inf")  # monotonic time


@dataclass(slots=True)
class ServerCrash:
    """The crash of one start of a server, with the requests that may have caused it."""

    at: float  # monotonic time
    software: Software  # that the server ran
    suspects: dict[Identity, Suspicion] = field(default_factory=dict)
    requests: dict[Content, tuple[PromptPart, ...]] = field(default_factory=dict)  # suspected ones, with all parts

    def get_weight(self, identity: Identity) -> int:
        """Return the weight of this crash against an identity; 0 if it was not on the server or is cleared."""
        return _WEIGHTS[self.suspects.get(identity, Suspicion.CLEARED)]

    def list_weights(self) -> list[tuple[Identity, int]]:
        """List the suspected identities with the weights of this crash against them."""
        return [(one, weight) for one, suspicion in self.suspects.items() if (weight := _WEIGHTS[suspicion])]

    def list_parts(self) -> frozenset[Identity]:
        """List the parts of the prompts of all suspected requests."""
        return frozenset(part for parts in self.requests.values() for part in parts)

    def find_companies(self) -> dict[Identity, frozenset[Identity]]:
        """Find the suspected identities of all requests with each one, itself included."""
        suspected = {identity for identity, _ in self.list_weights()}
        companies: defaultdict[Identity, set[Identity]] = defaultdict(set)
        for content, parts in self.requests.items():
            held = suspected.intersection((content, *parts))
            for identity in held:
                companies[identity] |= held
        return {identity: frozenset(company) for identity, company in companies.items()}

    def find_company(self, identity: Identity) -> frozenset[Identity]:
        """Find the suspected identities of all requests with a given one, itself included."""
        return self.find_companies().get(identity, frozenset((identity,)))

    def list_requests(self) -> list[Fingerprint]:
        """List the requests that are suspected as a whole or with some of their parts."""
        parts = {part for shared in self.requests.values() for part in shared}
        contents = [
            Content(identity) for identity in self.suspects if identity not in parts and self.get_weight(identity)
        ]
        return [Fingerprint(content, self.requests.get(content, ())) for content in contents]

    def join(self, other: ServerCrash) -> bool:
        """Merge what another node has seen of the same crash; false when nothing was new."""
        self.at = min(self.at, other.at)
        changes = [self.suspect(identity, suspicion) for identity, suspicion in other.suspects.items()]
        changes += [self._add_request(content, parts) for content, parts in other.requests.items()]
        return any(changes)

    def record(self, lost: LostRequest, cleared: Collection[Identity] = ()) -> bool:
        """Record a request that was lost with the server; one that was sent after the crash is not suspected.

        :param cleared: identities that are known to run well, which need no place among the suspects.
        :return: whether anything is new.
        """
        if lost.sent_at > self.at:
            return False
        suspected = sorted(lost.fingerprint.identities.difference(cleared))
        changes = [self.suspect(identity, lost.suspicion) for identity in suspected]
        return self._add_request(lost.fingerprint.content, lost.fingerprint.parts) or any(changes)

    def select(self, identity: Identity) -> ServerCrash:
        """Return this crash with the requests that have a given identity only, without what is cleared."""
        company = self.find_company(identity)
        requests = {
            content: tuple(part for part in parts if part in company)
            for content, parts in self.requests.items()
            if content in company
        }
        return ServerCrash(self.at, self.software, {one: self.suspects[one] for one in sorted(company)}, requests)

    def clear(self, identities: Iterable[Identity]) -> bool:
        """Clear suspected identities; false when nothing changes."""
        suspected = [identity for identity in identities if identity in self.suspects]
        changes = [self.suspect(identity, Suspicion.CLEARED) for identity in suspected]
        return any(changes)

    def suspect(self, identity: Identity, suspicion: Suspicion) -> bool:
        """Record a suspicion against an identity, or clear it; false when nothing changes."""
        known = self.suspects.get(identity)
        if known is not None and known >= suspicion:
            return False
        if known is None and len(self.suspects) >= MAX_SUSPECTS and not self._evict_weaker(suspicion):
            return False
        self.suspects[identity] = suspicion
        return True

    def _add_request(self, content: Content, parts: tuple[PromptPart, ...]) -> bool:
        known = self.requests.get(content, ())
        if content not in self.suspects or set(parts) <= set(known):
            return False
        self.requests[content] = tuple(sorted({*known, *parts}))
        return True

    def _evict_weaker(self, suspicion: Suspicion) -> bool:
        """Drop the identity with the weakest suspicion; false when none is weaker than the given one."""
        least = min(self.suspects, key=lambda identity: (self.suspects[identity], identity))
        if self.suspects[least] >= suspicion:
            return False
        del self.suspects[least]
        self.requests.pop(Content(least), None)
        return True


__all__ = ["EARLIEST_CRASH_S", "MAX_SUSPECTS", "STARTING_TIME_S", "LostRequest", "ServerCrash", "Suspicion"]
