"""The cost, for a new request, of the requests already in progress on a server."""

from __future__ import annotations

from typing import Final

# For a half-full server 0.0008 s, for one at 75% 0.005 s. Only a nearly full server is likely to refuse; a penalty that
# grows from the start sends streams to slow servers while the fast ones have most of their memory free.
MEMORY_PENALTY_S: Final = 0.003
SLOTS_PENALTY_S: Final = 0.006  # for a first server with half of its slots taken; spreads streams over first servers
FULL_SHARE: Final = 0.97  # of a server's memory; above that, the server puts requests back
FULL_PENALTY_S: Final = 10.0  # for a full server; so large that it is chosen only if no other is left


def estimate_crowding(share: float) -> float:
    """Estimate the time penalty for a server, in seconds, from the share of its memory in use."""
    return FULL_PENALTY_S * share if share >= FULL_SHARE else MEMORY_PENALTY_S * share**3 / (1 - share)


def estimate_slot_crowding(share: float) -> float:
    """Estimate the time penalty for a first server, in seconds, from the share of its slots taken."""
    return FULL_PENALTY_S * share if share >= FULL_SHARE else SLOTS_PENALTY_S * share / (1 - share)


__all__ = ["FULL_PENALTY_S", "FULL_SHARE", "estimate_crowding", "estimate_slot_crowding"]
