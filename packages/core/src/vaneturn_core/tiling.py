"""The invariant of every path of a token: each layer once, and in order."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class Range(Protocol):
    """The layers [first, end)."""

    @property
    def first(self) -> int:
        """Give the first layer."""

    @property
    def end(self) -> int:
        """Give the layer after the last one."""


def assert_tiling(ranges: Sequence[Range], layers: int) -> None:
    """Stop the process on a gap, an overlap or a missing layer.

    :raises AssertionError: the invariant is broken.
    """
    boundary = 0
    for one in ranges:
        if one.first != boundary or one.end <= one.first:
            raise AssertionError(f"layers break at {boundary}: {ranges}")
        boundary = one.end
    if boundary != layers:
        raise AssertionError(f"layers end at {boundary} of {layers}: {ranges}")


__all__ = ["Range", "assert_tiling"]
