"""Servers that other nodes have found lost, so that not every node has to find each loss by itself.

When many servers stop responding at once, the list shows it only after three heartbeats. Until then, each of hundreds
of nodes would find each lost server by a failed request of its own, which uses up the retry budget. The report of a
single node is not enough, since that node may be cut off itself: a loss counts when two nodes have found it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import ServerId

MAX_REPORT_AGE_S: Final = 2.0  # time for which the report of a node counts; it reports again when it finds more


class Finding(NamedTuple):
    """The latest ends of the backoffs that nodes apply to a server after failures of their own, as monotonic times."""

    latest: float
    second: float = float("-inf")  # second latest, of another node

    def join(self, other: Finding) -> Finding:
        """Merge the findings of different nodes."""
        latest, second = sorted((*self, *other))[:-3:-1]
        return Finding(latest, second)


Findings = Mapping[ServerId, Finding]


class LossBoard:
    """The findings that other nodes reported."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._followers: dict[VmId, tuple[float, Findings]] = {}
        self._relays: dict[VmId, tuple[float, Findings]] = {}
        self.version = 0  # rises with each report that changes the confirmed losses

    def record_follower(self, vm: VmId, findings: Findings, own: Findings) -> None:
        """Record the findings of a follower."""
        self._take(self._followers, vm, findings, own)

    def record_relay(self, vm: VmId, findings: Findings, own: Findings) -> None:
        """Record the findings of another relay and its followers."""
        self._take(self._relays, vm, findings, own)

    def merge_followers(self, own: Findings) -> dict[ServerId, Finding]:
        """Merge the findings of this node and its followers."""
        return _join([own, *self._list_fresh(self._followers)])

    def list_confirmed(self, own: Findings) -> dict[ServerId, float]:
        """List the servers that two nodes have found lost, each with the time until which both back off."""
        now = self._clock()
        joined = _join([own, *self._list_fresh(self._followers), *self._list_fresh(self._relays)])
        return {server: finding.second for server, finding in joined.items() if finding.second > now}

    def _take(self, reports: dict[VmId, tuple[float, Findings]], vm: VmId, findings: Findings, own: Findings) -> None:
        confirmed_before = self.list_confirmed(own)
        reports[vm] = (self._clock(), findings)
        confirmed_after = self.list_confirmed(own)
        if (
            any(until > confirmed_before.get(server, 0.0) for server, until in confirmed_after.items())
            or confirmed_before.keys() - confirmed_after.keys()
        ):
            self.version += 1

    def _list_fresh(self, reports: Mapping[VmId, tuple[float, Findings]]) -> list[Findings]:
        oldest = self._clock() - MAX_REPORT_AGE_S
        return [findings for at, findings in reports.values() if at >= oldest]


def _join(parts: Iterable[Findings]) -> dict[ServerId, Finding]:
    joined: defaultdict[ServerId, Finding] = defaultdict(lambda: Finding(float("-inf")))
    for findings in parts:
        for server, finding in findings.items():
            joined[server] = joined[server].join(finding)
    return dict(joined)


__all__ = ["Finding", "Findings", "LossBoard"]
