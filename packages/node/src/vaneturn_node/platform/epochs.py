"""The state of the store: an epoch, which rises each time it is restored from an older copy, and a revision in it.

A restored store gives out again the revisions that it had given out after the copy, so a number alone does not identify
a state.
"""

from __future__ import annotations

import logging
from typing import Final, NewType

from vaneturn_core.faults import Fault
from vaneturn_node.http1.messages import Headers

# The epoch in the upper bits, the revision number in the lower ones: later states compare greater. In a store that
# states no epoch, the state is the number alone.
StoreState = NewType("StoreState", int)

EPOCH: Final = b"store-era"
NUMBER_BITS: Final = 40
MAX_NUMBER: Final = (1 << NUMBER_BITS) - 1
MAX_EPOCH_DIGITS: Final = 15
MAX_FENCE: Final = (1 << 63) - 1

NO_STATE: Final = StoreState(0)

logger = logging.getLogger(__name__)


def make_state(epoch: int, number: int) -> StoreState:
    """Combine an epoch and a revision number."""
    return StoreState(epoch << NUMBER_BITS | number)


def is_state(number: int) -> bool:
    """Tell whether a number that another node has sent can be a state."""
    return 0 <= number <= make_state(10**MAX_EPOCH_DIGITS - 1, MAX_NUMBER)


def get_epoch(state: StoreState) -> int:
    """Return the epoch of a state."""
    return state >> NUMBER_BITS


def get_number(state: StoreState) -> int:
    """Return the revision number of a state, which is unique only within its epoch."""
    return state & MAX_NUMBER


def move_to_epoch(state: StoreState, epoch: int) -> StoreState:
    """Return the state with the same number in another epoch: the item was part of the copy."""
    return make_state(epoch, get_number(state))


def make_fence(state: StoreState) -> int:
    """Return the fence for orders of the node whose record was written at a state.

    Servers take 64 bits. In a store with a larger epoch, fences are bare numbers, which fall with a restore.
    """
    return state if state <= MAX_FENCE else get_number(state)


class EpochTracker:
    """Keeps the newest epoch that the store has stated, and rejects responses of older ones."""

    def __init__(self) -> None:
        self.current = 0  # also if the store states none
        self._logged = ""

    def check(self, headers: Headers) -> Fault | None:
        """Take the epoch of a response; return a fault if it is malformed or older than the newest one."""
        epoch = _read_epoch(headers)
        if epoch is None:
            return None
        if isinstance(epoch, int) and epoch >= self.current:
            self.current = epoch
            self._logged = ""
            return None
        fault = epoch if isinstance(epoch, Fault) else Fault("Store-Era", f"at least {self.current}, not {epoch}")
        if str(fault) != self._logged:
            self._logged = str(fault)
            logger.warning("response of the store rejected", extra={"fault": str(fault), "epoch": self.current})
        return fault


def _read_epoch(headers: Headers) -> int | Fault | None:
    """Read the epoch from the headers of a response; None if the store states no epoch."""
    values = [value.strip() for name, value in headers if name == EPOCH]
    if not values:
        return None
    if len(values) > 1 or not values[0].isdigit() or len(values[0]) > MAX_EPOCH_DIGITS:
        return Fault("Store-Era", f"one whole number of at most {MAX_EPOCH_DIGITS} digits")
    return int(values[0])


__all__ = [
    "MAX_NUMBER",
    "NO_STATE",
    "EpochTracker",
    "StoreState",
    "get_epoch",
    "get_number",
    "is_state",
    "make_fence",
    "make_state",
    "move_to_epoch",
]
