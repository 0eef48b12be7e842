"""The invariant of every route: a token passes each layer exactly once, in order."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class Range(Protocol):
    """The layers [first, end)."""

    @property
    def first(self) -> int:
        """The first layer."""

    @property
    def end(self) -> int:
        """The layer after the last one."""


def assert_tiling(ranges: Sequence[Range], layers: int) -> None:
    """Check that the ranges cover all layers in order, without a gap or overlap.

    :raises AssertionError: the ranges violate the invariant; this stops the process.
    """
    boundary = 0
    for layer_range in ranges:
        if layer_range.first != boundary or layer_range.end <= layer_range.first:
            raise AssertionError(f"layer ranges have a gap or overlap at {boundary}: {ranges}")
        boundary = layer_range.end
    if boundary != layers:
        raise AssertionError(f"layer ranges end at {boundary} instead of {layers}: {ranges}")


__all__ = ["Range", "assert_tiling"]
