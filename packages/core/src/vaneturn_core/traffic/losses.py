"""Servers that other nodes have found lost, so that not every node has to find each loss by itself.

When many servers stop responding at once, the list shows it only after three heartbeats. Until then, each of hundreds
of nodes would find each lost server by a failed request of its own, which uses up the retry budget. The report of a
single node is not enough, since that node may be cut off itself: a loss counts when two nodes have found it.
"""

from __future__ import annotations

import zlib
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple, NewType

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import ServerId

FinderChecksum = NewType("FinderChecksum", int)  # of a node's name, 1 to 65535
UNKNOWN_FINDER: Final = FinderChecksum(0)  # in reports of older builds; each counts as another node
MAX_REPORT_AGE_S: Final = 2.0  # time for which the report of a node counts; it reports again when it finds more


class Finding(NamedTuple):
    """The latest ends of the backoffs that nodes apply to a server after failures of their own, as monotonic times."""

    latest: float
    second: float = float("-inf")  # second latest, of another node
    finder: FinderChecksum = UNKNOWN_FINDER
    second_finder: FinderChecksum = UNKNOWN_FINDER

    def join(self, other: Finding) -> Finding:
        """Merge findings; those of one node, which may arrive over two relays, count as one."""
        ends = sorted((*self._list_ends(), *other._list_ends()), reverse=True)
        latest, finder = ends[0]
        others = (end for end in ends[1:] if finder == UNKNOWN_FINDER or end[1] != finder)
        second, second_finder = next(others, (float("-inf"), UNKNOWN_FINDER))
        return Finding(latest, second, finder, second_finder)

    def _list_ends(self) -> tuple[tuple[float, FinderChecksum], tuple[float, FinderChecksum]]:
        return (self.latest, self.finder), (self.second, self.second_finder)


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


def compute_finder(vm: VmId) -> FinderChecksum:
    """Compute the checksum of a node; two nodes with the same one count as one, which delays a confirmation."""
    return FinderChecksum(zlib.crc32(vm.encode()) % 0xFFFF + 1)


def _join(parts: Iterable[Findings]) -> dict[ServerId, Finding]:
    joined: defaultdict[ServerId, Finding] = defaultdict(lambda: Finding(float("-inf")))
    for findings in parts:
        for server, finding in findings.items():
            joined[server] = joined[server].join(finding)
    return dict(joined)


__all__ = ["UNKNOWN_FINDER", "FinderChecksum", "Finding", "Findings", "LossBoard", "compute_finder"]
