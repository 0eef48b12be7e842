"""Judges whether the guarantees allow that a stream was cut after its response had begun."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

SHORT_SILENCE = 1.0  # seconds; servers that are unresponsive for less than this may not cut a stream
JOINED = 0.2  # seconds; a node that probes periodically may get no response within a shorter gap between two silences
SOUND_TIME = 3.0  # seconds before a request; faults of its node and servers count from then on
OUTAGE = 3.0  # seconds; after a longer outage of the store the API keys may be too old for a retry


class Span(NamedTuple):
    """A time span on the monotonic clock, in seconds."""

    start: float
    end: float

    def meets(self, other: Span) -> bool:
        return self.start <= other.end and other.start <= self.end


class Cut(NamedTuple):
    """A stream that was cut after its response had begun."""

    request: str
    path: str
    node: int
    cause: str
    sent_at: float
    cut_at: float


@dataclass
class Troubles:
    """Faults by node or server during a run; servers are identified by their addresses."""

    nodes: defaultdict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # killed or frozen
    stores: defaultdict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # unreachable, by node
    silences: defaultdict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))  # unresponsive, by server
    stalls: defaultdict[int, list[Span]] = field(
        default_factory=lambda: defaultdict(list)
    )  # waiting for a processor, by node
    lost_at: dict[str, float] = field(default_factory=dict)  # crashes, by server
    waits: dict[int, list[Span]] = field(default_factory=dict)  # of data queued on the link of each node
    pauses: list[Span] = field(default_factory=list)  # of the process of the stand-ins: all of them were unresponsive

    def find_excuse(self, cut: Cut, servers: Iterable[str]) -> str | None:
        """Return the fault that may have cut a stream; None if its node and servers were healthy.

        :param servers: addresses of all servers that the stream used.
        """
        servers = set(servers)
        looked_at = Span(cut.sent_at - SOUND_TIME, cut.cut_at)
        if any(span.meets(looked_at) for span in self.nodes[cut.node]):
            return "node killed or frozen"
        if any(span.end - span.start >= OUTAGE and span.meets(looked_at) for span in self.stores[cut.node]):
            return "store long out of reach"
        if any(self.lost_at.get(server, cut.cut_at) < cut.cut_at for server in servers):
            return "server ended"
        stalls = join(self.stalls[cut.node])
        if any(span.end - span.start >= SHORT_SILENCE and span.meets(looked_at) for span in stalls):
            return "node without a processor"
        spans = [*self.pauses, *self.waits.get(cut.node, ()), *(one for each in servers for one in self.silences[each])]
        if any(span.end - span.start >= SHORT_SILENCE and span.meets(looked_at) for span in join(spans)):
            return "long silence"
        return None


def join(spans: Iterable[Span]) -> list[Span]:
    """Merge spans that overlap or are less than JOINED apart."""
    joined: list[Span] = []
    for span in sorted(spans):
        if joined and span.start - joined[-1].end < JOINED:
            joined[-1] = Span(joined[-1].start, max(joined[-1].end, span.end))
        else:
            joined.append(span)
    return joined


def find_pauses(times: Iterable[float], limit: float) -> list[Span]:
    """Return the gaps of at least `limit` seconds between consecutive readings of the clock."""
    return [Span(one, other) for one, other in itertools.pairwise(times) if other - one >= limit]


__all__ = ["Cut", "Span", "Troubles", "find_pauses", "join"]
