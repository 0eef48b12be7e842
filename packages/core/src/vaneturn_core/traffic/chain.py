"""Chains: the backend servers that together run all layers of a model for one request."""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from vaneturn_core.tiling import assert_tiling
from vaneturn_core.traffic.layermap import Part
from vaneturn_core.traffic.servers import BackendServer


@dataclass(frozen=True, slots=True)
class Chain:
    """The servers of one request, in the order of the layers."""

    layers: int
    parts: tuple[Part, ...]

    def __post_init__(self) -> None:
        assert_chain(self.parts, self.layers)

    @property
    def first(self) -> BackendServer:
        """The server that receives the request and answers it."""
        return self.parts[0].server

    def count_crossings(self) -> int:
        """Count the neighbouring parts that are in different halls."""
        return sum(part.server.hall != following.server.hall for part, following in itertools.pairwise(self.parts))


def assert_chain(parts: Sequence[Part], layers: int) -> None:
    """Check that parts cover all layers exactly once, each on a different server.

    :raises AssertionError: they do not; nothing catches it, so the process stops.
    """
    assert_tiling(parts, layers)
    if len({part.server.address for part in parts}) != len(parts):
        raise AssertionError(f"a chain uses the same server more than once: {parts}")


__all__ = ["Chain", "Part", "assert_chain"]
