"""Rate limits that servers set for all nodes together, and the permits with which nodes comply.

For each limited server, one node issues the permits, and a second one acts as a substitute with a small share of the
rate. Both are derived from the names of the registered nodes, so no election is needed. The two shares together stay
within the excess that a server tolerates, so both nodes may issue permits at the same time.
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

MAX_BURST: Final = 2  # permits that may be issued at once after an idle time
FULL_SHARE: Final = 1.0  # share of the rate of a node that is certainly the only first issuer
SUBSTITUTE_SHARE: Final = 0.2  # of the rate, for any other issuer
SETTLE_TIME_S: Final = 4.0  # until all nodes know of a node that joined or left, and have used their last permits
ISSUERS_PER_SERVER: Final = 2  # nodes that issue its permits
ISSUER_CACHE_SIZE: Final = 1024  # entries, by server and set of nodes
CHANGE_REPORT_TIME_S: Final = 5.0  # nodes that miss the report of a change learn of it with a permit
MAX_REPORTED_CHANGES: Final = 64  # limits in a message between nodes
ASK_AGAIN_S: Final = 0.5  # time until a node that asked a node which is no issuer asks again


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The newest known limit of a server."""

    rate: float | None  # requests per second; none when the server has lifted its limit
    at: float  # monotonic time of the answer that set it
    since: float  # monotonic time at which this rate was first known


class RateLimits:
    """The limits of all servers, as this node knows them."""

    def __init__(self) -> None:
        self._limits: dict[ServerId, RateLimit] = {}

    def find(self, server: ServerId) -> RateLimit | None:
        """Return the newest limit of a server; none when it never set one."""
        return self._limits.get(server)

    def list_limited(self) -> dict[ServerId, float]:
        """List the servers that currently have a limit, with their rates."""
        return {server: limit.rate for server, limit in self._limits.items() if limit.rate is not None}

    def list_changes(self, now: float) -> dict[ServerId, RateLimit]:
        """List the recently changed limits for other nodes, the newest first."""
        news = [(server, limit) for server, limit in self._limits.items() if limit.since > now - CHANGE_REPORT_TIME_S]
        return dict(sorted(news, key=lambda item: item[1].since, reverse=True)[:MAX_REPORTED_CHANGES])

    def note_answer(self, server: ServerId, rate: float | None, sent_at: float, now: float) -> None:
        """Record the limit in an answer, or its absence.

        Answers may arrive out of order, so only the answer to a request that was sent after the last update can raise
        or lift a limit; any answer can lower it.

        :param sent_at: monotonic time at which the request of the answer was sent.
        """
        known = self._limits.get(server)
        if known is None:
            if rate is not None:
                self._limits[server] = RateLimit(rate, now, now)
            return
        is_limit_lower = rate is not None and (known.rate is None or rate <= known.rate)
        if is_limit_lower or sent_at > known.at:
            self._limits[server] = RateLimit(rate, now, known.since if rate == known.rate else now)

    def record_report(self, server: ServerId, rate: float | None, at: float, now: float) -> RateLimit:
        """Record a limit that another node reported, unless this node knows a newer one; return the newer one.

        :param at: monotonic time of the answer that set the limit.
        """
        known = self._limits.get(server)
        if known is not None and known.at >= at:
            return known
        since = known.since if known is not None and known.rate == rate else now
        newer = self._limits[server] = RateLimit(rate, at, since)
        return newer

    def forget_absent(self, present: Collection[ServerId]) -> None:
        """Forget the servers that have left the list."""
        for server in [known for known in self._limits if known not in present]:
            del self._limits[server]


class NodeHistory:
    """The sets of nodes that were registered during the last SETTLE_TIME_S seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._known: deque[tuple[float, frozenset[VmId]]] = deque([(clock(), frozenset())])  # with start times

    def note(self, nodes: Iterable[VmId]) -> None:
        """Record the nodes that are registered now."""
        current = frozenset(nodes)
        if current != self._known[-1][1]:
            self._known.append((self._clock(), current))

    def list_recent(self) -> list[frozenset[VmId]]:
        """List all sets of nodes that were registered at some point in this time."""
        oldest = self._clock() - SETTLE_TIME_S
        while len(self._known) > 1 and self._known[1][0] <= oldest:
            self._known.popleft()
        return [nodes for _, nodes in self._known]


class PermitIssuer:
    """Issues permits for this node's share of each rate limit, evenly spaced."""

    def __init__(self, vm: VmId, history: NodeHistory, clock: Callable[[], float]) -> None:
        self._vm = vm
        self._history = history
        self._clock = clock
        self._next_at: dict[ServerId, float] = {}
        self._refused: Counter[ServerId] = Counter()  # refused questions since the last permit

    def issue(self, server: ServerId, rate: float) -> float:
        """Issue a permit for one request to a server.

        :return: 0 if the permit is issued, else the seconds until one may be available.
        """
        share = self._find_share(server)
        if not share:
            return ASK_AGAIN_S
        now, interval = self._clock(), 1 / (rate * share)
        burst_credit = (MAX_BURST - 1) * interval if share == FULL_SHARE else 0.0
        next_at = max(self._next_at.get(server, now), now - burst_credit)
        if next_at > now:
            wait = next_at - now + self._refused[server] * interval  # spreads the nodes that ask again
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
        """Return this node's share of the rate; all of it only when no other node may issue at the full rate."""
        ranks = [rank_issuers(server, nodes) for nodes in self._history.list_recent()]
        if self._vm not in ranks[-1]:
            return 0.0
        return FULL_SHARE if all(ranked[:1] == (self._vm,) for ranked in ranks) else SUBSTITUTE_SHARE


@lru_cache(maxsize=ISSUER_CACHE_SIZE)
def rank_issuers(server: ServerId, nodes: frozenset[VmId]) -> tuple[VmId, ...]:
    """Rank the nodes that issue permits for a server; a node asks the next one if the one before does not answer."""
    return tuple(sorted(nodes, key=lambda node: (hash_text(f"{server} {node}"), node))[:ISSUERS_PER_SERVER])


__all__ = [
    "FULL_SHARE",
    "MAX_BURST",
    "MAX_REPORTED_CHANGES",
    "SETTLE_TIME_S",
    "SUBSTITUTE_SHARE",
    "NodeHistory",
    "PermitIssuer",
    "RateLimit",
    "RateLimits",
    "rank_issuers",
]
