"""Reads the epoch of the store, which rises each time the store is restored from an older copy of its data."""

from __future__ import annotations

from typing import Final

from vaneturn_core.faults import Fault
from vaneturn_node.http1.messages import Headers

EPOCH: Final = b"store-era"
MAX_EPOCH_DIGITS: Final = 4


def read_epoch(headers: Headers) -> int | Fault | None:
    """Read the epoch from the headers of a response; None if the store states no epoch."""
    values = [value.strip() for name, value in headers if name == EPOCH]
    if not values:
        return None
    if len(values) > 1 or not values[0].isdigit() or len(values[0]) > MAX_EPOCH_DIGITS:
        return Fault("Store-Era", f"one whole number of at most {MAX_EPOCH_DIGITS} digits")
    return int(values[0])


__all__ = ["read_epoch"]
