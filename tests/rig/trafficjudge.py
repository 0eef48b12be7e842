"""Judges whether the guarantees allow that a stream was cut after its response had begun."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

SHORT_SILENCE_S = 1.0  # seconds; servers that are unresponsive for less than this may not cut a stream
MERGE_GAP_S = 0.2  # seconds; a periodic probe may get no response within a shorter gap between two silences
HEALTHY_TIME_S = 3.0  # seconds before a request; faults of its node and servers count from then on
KEYS_VALID_S = 4.2  # seconds after the last confirmation by the store; no request is sent to another server then
LONG_OUTAGE_S = 3.0  # seconds; after a longer outage of the store the API keys may be too old for a retry


class Span(NamedTuple):
    """A time span on the monotonic clock, in seconds."""

    start: float
    end: float

    def overlaps(self, other: Span) -> bool:
        return self.start <= other.end and other.start <= self.end


class Cut(NamedTuple):
    """A stream that was cut after its response had begun."""

    request: str
    path: str
    node: int
    cause: str
    sent_at: float
    cut_at: float
    store_age: float = 0.0  # seconds since the store had last confirmed the keys to the node, by its log


@dataclass
class Troubles:
    """Faults by node or server during a run; servers are identified by their addresses."""

    nodes: defaultdict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # killed or frozen
    stores: defaultdict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # unreachable, by node
    paths: defaultdict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # to servers, cut, by node
    silences: defaultdict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))  # unresponsive, by server
    stalls: defaultdict[int, list[Span]] = field(
        default_factory=lambda: defaultdict(list)
    )  # waiting for a processor, by node
    lost_at: dict[str, float] = field(default_factory=dict)  # crashes, by server
    node_count: int = 0
    waits: dict[int, list[Span]] = field(default_factory=dict)  # of data queued on the link of each node
    pauses: list[Span] = field(default_factory=list)  # of the process of the stand-ins: all of them were unresponsive

    def find_excuse(self, cut: Cut, servers: Iterable[str]) -> str | None:
        """Return the fault that may have cut a stream; None if its node and servers were healthy.

        :param servers: addresses of all servers that the stream used.
        """
        servers = set(servers)
        relevant = Span(cut.sent_at - HEALTHY_TIME_S, cut.cut_at)
        if any(span.overlaps(relevant) for span in self.nodes[cut.node]):
            return "node killed or frozen"
        if any(span.end - span.start >= LONG_OUTAGE_S and span.overlaps(relevant) for span in self.stores[cut.node]):
            return "store long out of reach"
        if cut.store_age >= KEYS_VALID_S and self._sum_outages(cut) >= LONG_OUTAGE_S:
            return "store out of reach again and again"
        if any(self.lost_at.get(server, cut.cut_at) < cut.cut_at for server in servers):
            return "server ended"
        return "no path to the servers" if self._has_lost_path(cut) else self._find_silence(cut, servers, relevant)

    def _sum_outages(self, cut: Cut) -> float:
        """Sum the outages of the store for a node since it last confirmed the keys to it."""
        since = cut.cut_at - cut.store_age
        outages = merge_spans(self.stores[cut.node])
        return sum(max(0.0, min(span.end, cut.cut_at) - max(span.start, since)) for span in outages)

    def _find_silence(self, cut: Cut, servers: set[str], relevant: Span) -> str | None:
        stalls = merge_spans(self.stalls[cut.node])
        if any(span.end - span.start >= SHORT_SILENCE_S and span.overlaps(relevant) for span in stalls):
            return "node without a processor"
        spans = [
            *self.pauses,
            *self.waits.get(cut.node, ()),
            *(silence for address in servers for silence in self.silences[address]),
        ]
        if any(span.end - span.start >= SHORT_SILENCE_S and span.overlaps(relevant) for span in merge_spans(spans)):
            return "long silence"
        return None

    def _has_lost_path(self, cut: Cut) -> bool:
        """Tell whether a stream was cut because no node that could resume it reached the servers.

        Only streams on a resumable route are resumed over another node.
        """
        during = Span(cut.sent_at, cut.cut_at)
        own = [span for span in self.paths[cut.node] if span.overlaps(during)]
        if not own or cut.path.startswith("/notice/"):
            return bool(own)
        others = [number for number in range(self.node_count) if number != cut.node]
        return all(
            any(span.overlaps(each) for span in (*self.paths[number], *self.nodes[number]) for each in own)
            for number in others
        )


def merge_spans(spans: Iterable[Span]) -> list[Span]:
    """Merge spans that overlap or are less than MERGE_GAP_S apart."""
    merged: list[Span] = []
    for span in sorted(spans):
        if merged and span.start - merged[-1].end < MERGE_GAP_S:
            merged[-1] = Span(merged[-1].start, max(merged[-1].end, span.end))
        else:
            merged.append(span)
    return merged


def find_pauses(times: Iterable[float], limit: float) -> list[Span]:
    """Return the gaps of at least `limit` seconds between consecutive readings of the clock."""
    return [Span(start, end) for start, end in itertools.pairwise(times) if end - start >= limit]


__all__ = ["Cut", "Span", "Troubles", "find_pauses", "merge_spans"]
