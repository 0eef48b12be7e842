"""Servers that other nodes have found lost, so that a loss is found once and not by each node for itself.

Load pattern: a part of the servers goes dark at once. The list shows it after three heartbeats; until then each of
hundreds of nodes finds each lost server by a request of its own that fails there, and the budget of second sends is
used up. One node alone is not believed, since it may be cut off itself: two must have found the same.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import ServerId

WORD_AGE: Final = 2.0  # seconds for which the word of a node counts; it tells again when it finds more


class Finding(NamedTuple):
    """Until when nodes leave a server alone after failures there of their own, as steady times."""

    latest: float
    second: float = float("-inf")  # of another node

    def join(self, other: Finding) -> Finding:
        """Join the findings of different nodes."""
        latest, second = sorted((*self, *other))[:-3:-1]
        return Finding(latest, second)


Findings = Mapping[ServerId, Finding]


class LossBoard:
    """What other nodes have found."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._followers: dict[VmId, tuple[float, Findings]] = {}
        self._relays: dict[VmId, tuple[float, Findings]] = {}
        self.version = 0  # rises with each word that confirms a loss

    def take_follower(self, vm: VmId, findings: Findings, own: Findings) -> None:
        """Take what a node that asks this one has found."""
        self._take(self._followers, vm, findings, own)

    def take_relay(self, vm: VmId, findings: Findings, own: Findings) -> None:
        """Take what a relay and the nodes that ask it have found."""
        self._take(self._relays, vm, findings, own)

    def join_followers(self, own: Findings) -> dict[ServerId, Finding]:
        """Join what this node and those that ask it have found."""
        return _join([own, *self._list_fresh(self._followers)])

    def list_confirmed(self, own: Findings) -> dict[ServerId, float]:
        """List the servers that two nodes have found lost, each with the time until which both leave it alone."""
        now = self._clock()
        joined = _join([own, *self._list_fresh(self._followers), *self._list_fresh(self._relays)])
        return {server: finding.second for server, finding in joined.items() if finding.second > now}

    def _take(self, words: dict[VmId, tuple[float, Findings]], vm: VmId, findings: Findings, own: Findings) -> None:
        before = self.list_confirmed(own)
        words[vm] = (self._clock(), findings)
        after = self.list_confirmed(own)
        if any(until > before.get(server, 0.0) for server, until in after.items()) or before.keys() - after.keys():
            self.version += 1

    def _list_fresh(self, words: Mapping[VmId, tuple[float, Findings]]) -> list[Findings]:
        oldest = self._clock() - WORD_AGE
        return [findings for at, findings in words.values() if at >= oldest]


def _join(parts: Iterable[Findings]) -> dict[ServerId, Finding]:
    joined: defaultdict[ServerId, Finding] = defaultdict(lambda: Finding(float("-inf")))
    for findings in parts:
        for server, finding in findings.items():
            joined[server] = joined[server].join(finding)
    return dict(joined)


__all__ = ["Finding", "Findings", "LossBoard"]
