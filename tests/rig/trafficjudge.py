"""Judges whether the promises allow that a stream which had begun did not come to its end."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

SHORT_SILENCE = 1.0  # seconds; a shorter silence of servers may not cut a stream
JOINED = 0.2  # seconds between two silences; over less, a node that looks now and then may hear nothing
SOUND_TIME = 3.0  # seconds before a request from which on its node and servers are looked at
OUTAGE = 3.0  # seconds; after a longer outage of the store keys may be too old for a second send


class Span(NamedTuple):
    """From when to when."""

    start: float
    end: float

    def meets(self, other: Span) -> bool:
        return self.start <= other.end and other.start <= self.end


class Cut(NamedTuple):
    """A stream whose answer had begun and did not come to its end."""

    request: str
    path: str
    node: int
    cause: str
    sent_at: float
    cut_at: float


@dataclass
class Troubles:
    """What went wrong with whom; servers go by their addresses."""

    nodes: defaultdict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # killed or frozen
    stores: defaultdict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # out of reach, by node
    silences: defaultdict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))  # of servers
    stalls: defaultdict[int, list[Span]] = field(
        default_factory=lambda: defaultdict(list)
    )  # without a processor, by node
    lost_at: dict[str, float] = field(default_factory=dict)  # servers that have ended
    waits: dict[int, list[Span]] = field(default_factory=dict)  # of what was sent over the link of each node
    pauses: list[Span] = field(default_factory=list)  # of the stand-ins: all were silent

    def find_excuse(self, cut: Cut, servers: Iterable[str]) -> str | None:
        """Find what may have cut a stream; none when its node and servers were sound.

        :param servers: all that it ran over.
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
    """Join spans that overlap or nearly do."""
    joined: list[Span] = []
    for span in sorted(spans):
        if joined and span.start - joined[-1].end < JOINED:
            joined[-1] = Span(joined[-1].start, max(joined[-1].end, span.end))
        else:
            joined.append(span)
    return joined


def find_pauses(times: Iterable[float], limit: float) -> list[Span]:
    """Find where a clock that was read often stood still."""
    return [Span(one, other) for one, other in itertools.pairwise(times) if other - one >= limit]


__all__ = ["Cut", "Span", "Troubles", "find_pauses", "join"]
