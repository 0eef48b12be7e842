"""What it costs a request that others are in progress on a server already."""

from __future__ import annotations

from typing import Final

CROWDING_TIME: Final = 0.006  # seconds that a half-full server counts as slower
FULL: Final = 0.97  # of a server's memory; beyond it, requests are put back
FULL_TIME: Final = 10.0  # seconds that a full server counts as slower: it is taken only if no other is left


def estimate_crowding(share: float) -> float:
    """Estimate the seconds that a server counts as slower when so much of its memory, or of its places, is taken."""
    return FULL_TIME * share if share >= FULL else CROWDING_TIME * share / (1 - share)


__all__ = ["FULL_TIME", "estimate_crowding"]
