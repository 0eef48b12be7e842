"""A chain of backend servers that runs all layers of one request."""

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
        """The server that takes the request and answers it."""
        return self.parts[0].server

    def count_crossings(self) -> int:
        """Count the parts whose tokens come from another hall."""
        return sum(one.server.hall != other.server.hall for one, other in itertools.pairwise(self.parts))


def assert_chain(parts: Sequence[Part], layers: int) -> None:
    """Stop the process on parts that do not tile all layers, or name a server twice.

    :raises AssertionError: the invariant is broken.
    """
    assert_tiling(parts, layers)
    if len({part.server.address for part in parts}) != len(parts):
        raise AssertionError(f"a server stands twice in a chain: {parts}")


__all__ = ["Chain", "Part", "assert_chain"]
