"""Choice of how a stage's KV cache is moved to another server: import from the old server or rebuild."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from vaneturn_core.configuration.schema import Link, Preference
from vaneturn_core.identifiers import DataHall

DEFAULT_LATENCY_S: Final = 0.0005  # one way, for data halls without a declared link
DEFAULT_BANDWIDTH: Final = 1e9  # bytes per second
MIN_STEP_TIMEOUT: Final = {Preference.THROUGHPUT: 2.0, Preference.RECOVERY: 0.75}  # seconds


class Method(Enum):
    """How the new server gets the cache."""

    IMPORT = "import"
    REBUILD = "rebuild"


class LinkTable:
    """Links between data halls; measured bandwidth is used where known, the declared one otherwise."""

    def __init__(self) -> None:
        self._declared_links: dict[frozenset[DataHall], Link] = {}
        self._measured_bandwidths: dict[frozenset[DataHall], float] = {}

    def declare(self, links: Iterable[Link]) -> None:
        """Replace the declared links."""
        self._declared_links = {frozenset(link.halls): link for link in links}

    def record_transfer(self, first: DataHall, second: DataHall, size: int, seconds: float) -> None:
        """Record the bandwidth of a finished transfer."""
        self._measured_bandwidths[frozenset((first, second))] = size / max(seconds, 1e-6)

    def estimate_transfer(self, first: DataHall, second: DataHall, size: float) -> float:
        """Estimate the seconds that a transfer takes."""
        halls = frozenset((first, second))
        link = self._declared_links.get(halls)
        latency = link.latency if link else DEFAULT_LATENCY_S
        bandwidth = self._measured_bandwidths.get(halls) or (link.bandwidth if link else DEFAULT_BANDWIDTH)
        return latency + size / bandwidth


@dataclass(frozen=True)
class Move:
    """A cache that has to move to another server."""

    positions: int
    layers: int  # of the moved hop
    cache_bytes: int  # per position and layer
    old_hall: DataHall
    new_hall: DataHall
    node_hall: DataHall  # the cache passes through the node


def estimate_import(move: Move, links: LinkTable) -> float:
    """Estimate the seconds to export, transfer and import the cache."""
    size = float(move.positions * move.layers * move.cache_bytes)
    export_time = links.estimate_transfer(move.old_hall, move.node_hall, size)
    return export_time + links.estimate_transfer(move.node_hall, move.new_hall, size)


def estimate_rebuild(positions: int, position_seconds: Sequence[float]) -> float:
    """Estimate the seconds to run the positions again on each of the leading hops, one after another."""
    return sum(positions * seconds for seconds in position_seconds)


def choose_method(estimates: Mapping[Method, float]) -> Method:
    """Choose the method with the shortest estimate."""
    return min(estimates, key=lambda method: estimates[method])


__all__ = [
    "MIN_STEP_TIMEOUT",
    "LinkTable",
    "Method",
    "Move",
    "choose_method",
    "estimate_import",
    "estimate_rebuild",
]
