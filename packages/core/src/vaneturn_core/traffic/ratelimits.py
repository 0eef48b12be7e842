"""Rate limits that servers name for all nodes together, and the permits by which nodes keep to them.

For each limited server one node issues the permits, and a second one stands in for it at a small share of the rate.
Both follow from the names of the registered nodes, so nobody has to be elected, and as the shares add up to less than
the excess that a server bears, it does not matter whether two nodes issue at once.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.relays import hash_text
from vaneturn_core.traffic.servers import ServerId

BURST: Final = 2  # permits at once after a time without any
WHOLE: Final = 1.0
STAND_IN_SHARE: Final = 0.2  # of the rate, for a node that is not known to be the only first one
SETTLE_TIME: Final = 4.0  # seconds until all nodes know of a node that came or left, and have used their last permits
ISSUERS: Final = 2  # nodes that issue permits for a server
MAX_RANKED: Final = 1024  # servers and sets of nodes whose issuers are remembered
NEWS_TIME: Final = 5.0  # seconds for which nodes tell others of a change; permits carry it to those that missed it
MAX_NEWS: Final = 64  # limits in a word between nodes
ASK_ANOTHER: Final = 0.5  # seconds after which a node asks again that asked one that does not issue


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The newest word on a server's limit."""

    rate: float | None  # requests a second; none when the server has ended its limit
    at: float  # steady time of that word
    since: float  # steady time of the first word that named the same rate


class RateLimits:
    """The limits that servers have named, as this node knows them."""

    def __init__(self) -> None:
        self._limits: dict[ServerId, RateLimit] = {}

    def find(self, server: ServerId) -> RateLimit | None:
        """Find the word on a server; none when it never named a limit."""
        return self._limits.get(server)

    def list_limited(self) -> dict[ServerId, float]:
        """List the servers that limit requests now."""
        return {server: limit.rate for server, limit in self._limits.items() if limit.rate is not None}

    def list_news(self, now: float) -> dict[ServerId, RateLimit]:
        """List the limits that have changed lately, the newest first, for other nodes."""
        news = [(server, limit) for server, limit in self._limits.items() if limit.since > now - NEWS_TIME]
        return dict(sorted(news, key=lambda item: item[1].since, reverse=True)[:MAX_NEWS])

    def note_answer(self, server: ServerId, rate: float | None, sent_at: float, now: float) -> None:
        """Take what an answer says.

        Answers overtake each other: only one to a request that was sent after the newest word can raise or end a limit.

        :param sent_at: steady time at which the request of the answer was sent.
        """
        known = self._limits.get(server)
        if known is None:
            if rate is not None:
                self._limits[server] = RateLimit(rate, now, now)
            return
        is_lower = rate is not None and (known.rate is None or rate <= known.rate)
        if is_lower or sent_at > known.at:
            self._limits[server] = RateLimit(rate, now, known.since if rate == known.rate else now)

    def take_told(self, server: ServerId, rate: float | None, at: float, now: float) -> RateLimit:
        """Take what another node knows; gives the newer word.

        :param at: steady time of that word.
        """
        known = self._limits.get(server)
        if known is not None and known.at >= at:
            return known
        since = known.since if known is not None and known.rate == rate else now
        newer = self._limits[server] = RateLimit(rate, at, since)
        return newer

    def forget_absent(self, present: Collection[ServerId]) -> None:
        """Forget the servers that have left the list."""
        for server in [one for one in self._limits if one not in present]:
            del self._limits[server]


class NodeHistory:
    """Which nodes were registered over the last seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._known: deque[tuple[float, frozenset[VmId]]] = deque([(clock(), frozenset())])  # and from when

    def note(self, nodes: Iterable[VmId]) -> None:
        """Take the nodes that are registered now."""
        current = frozenset(nodes)
        if current != self._known[-1][1]:
            self._known.append((self._clock(), current))

    def list_recent(self) -> list[frozenset[VmId]]:
        """List all sets of nodes that were registered at some time in these seconds."""
        oldest = self._clock() - SETTLE_TIME
        while len(self._known) > 1 and self._known[1][0] <= oldest:
            self._known.popleft()
        return [nodes for _, nodes in self._known]


class PermitIssuer:
    """Issues the permits of this node, at an even pace for each server."""

    def __init__(self, vm: VmId, history: NodeHistory, clock: Callable[[], float]) -> None:
        self._vm = vm
        self._history = history
        self._clock = clock
        self._next_at: dict[ServerId, float] = {}
        self._refused: Counter[ServerId] = Counter()  # questions since the newest permit

    def issue(self, server: ServerId, rate: float) -> float:
        """Issue a permit for one request to a server.

        :return: 0, or the seconds until there may be one.
        """
        share = self._find_share(server)
        if not share:
            return ASK_ANOTHER
        now, interval = self._clock(), 1 / (rate * share)
        saved = (BURST - 1) * interval if share == WHOLE else 0.0
        next_at = max(self._next_at.get(server, now), now - saved)
        if next_at > now:
            wait = next_at - now + self._refused[server] * interval  # they return one after the other
            self._refused[server] += 1
            return wait
        self._refused[server] = 0
        self._next_at[server] = next_at + interval
        return 0.0

    def forget_absent(self, present: Collection[ServerId]) -> None:
        """Forget the servers that have left the list."""
        for server in [one for one in self._next_at if one not in present]:
            del self._next_at[server]
            del self._refused[server]

    def _find_share(self, server: ServerId) -> float:
        """Find the share of the rate that this node issues; the whole of it only when no other node may do so."""
        ranks = [rank_issuers(server, nodes) for nodes in self._history.list_recent()]
        if self._vm not in ranks[-1]:
            return 0.0
        return WHOLE if all(ranked[:1] == (self._vm,) for ranked in ranks) else STAND_IN_SHARE


@lru_cache(maxsize=MAX_RANKED)
def rank_issuers(server: ServerId, nodes: frozenset[VmId]) -> tuple[VmId, ...]:
    """Rank the nodes that issue permits for a server: the next one is asked where the one before does not answer."""
    return tuple(sorted(nodes, key=lambda node: (hash_text(f"{server} {node}"), node))[:ISSUERS])


__all__ = [
    "BURST",
    "MAX_NEWS",
    "SETTLE_TIME",
    "STAND_IN_SHARE",
    "WHOLE",
    "NodeHistory",
    "PermitIssuer",
    "RateLimit",
    "RateLimits",
    "rank_issuers",
]
