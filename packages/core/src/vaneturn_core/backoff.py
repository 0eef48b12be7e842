"""Delays that grow with each consecutive failure."""

from __future__ import annotations

from typing import Final

MAX_DOUBLINGS: Final = 64  # the power of two of a longer series of failures may be too large for a float


def compute_backoff(first: float, longest: float, failures: int) -> float:
    """Compute a delay in seconds, which doubles with each consecutive failure after the first.

    :param failures: before the newest one.
    """
    return min(longest, first * 2.0 ** min(failures, MAX_DOUBLINGS))


__all__ = ["compute_backoff"]
