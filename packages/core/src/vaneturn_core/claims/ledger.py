"""The in-memory ledger of a slot's owner: the keys claimed since it took over the slot.

The ledger is lost with its owner. A key contains its creation time (UUID version 7), so a new owner can tell which
keys its predecessor may have accepted: those created before the takeover. It accepts only later ones.
"""

from __future__ import annotations

import uuid
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from msgspec import Struct

from vaneturn_core.identifiers import CustomerName, RepeatKey

CLOCK_MARGIN_S: Final = 2.0  # greatest difference allowed between the clocks of callers and nodes
KEY_RETENTION_S: Final = 3600.0  # how long a key is kept; older keys are rejected
CLAIMS_PER_CLEANUP: Final = 1024  # claims between two removals of expired keys
_TIMESTAMP_SHIFT: Final = 80  # bits after the milliseconds in a UUID version 7


class Verdict(Enum):
    """The owner's answer to a claim."""

    WON = "won"
    CLAIMED = "claimed"  # by another claim; the request may have run
    TOO_OLD = "too_old"  # created before the period covered by the ledger; the request may have run
    FROM_THE_FUTURE = "from_the_future"  # the caller's clock is ahead; not run
    NOT_OWNER = "not_owner"  # not run here; another node owns the slot, or ownership could not be confirmed


def read_key_time(repeat_key: RepeatKey) -> float | None:
    """Read the creation time of a key in seconds since the epoch; None for a key that is not a UUID version 7."""
    try:
        key = uuid.UUID(repeat_key)
    except ValueError:
        return None
    return (key.int >> _TIMESTAMP_SHIFT) / 1000 if key.version == 7 else None  # noqa: PLR2004 # has a timestamp


class LedgerEntry(Struct, frozen=True, array_like=True):
    """One claim."""

    customer: CustomerName
    repeat_key: RepeatKey
    claim: str


@dataclass
class SlotLedger:
    """The claims of one slot."""

    taken_at: float  # seconds since the epoch at which the takeover of the slot was final
    _claims: dict[tuple[CustomerName, RepeatKey], str] = field(default_factory=dict)
    _claims_since_cleanup: int = 0

    def claim(
        self, customer: CustomerName, repeat_key: RepeatKey, claim_id: str, created_at: float, now: float
    ) -> Verdict:
        """Accept a claim or give the reason for rejecting it; a repeat with the same claim id gets the same verdict.

        :param created_at: creation time of the key, in seconds since the epoch.
        :param now: seconds since the epoch, read before the owner confirmed that it still owns the slot.
        """
        if created_at > now + CLOCK_MARGIN_S:
            return Verdict.FROM_THE_FUTURE
        if created_at <= self.taken_at + CLOCK_MARGIN_S or created_at < now - KEY_RETENTION_S:
            return Verdict.TOO_OLD
        holder = self._claims.setdefault((customer, repeat_key), claim_id)
        self._claims_since_cleanup += 1
        if self._claims_since_cleanup >= CLAIMS_PER_CLEANUP:
            self._remove_expired(now)
        return Verdict.WON if holder == claim_id else Verdict.CLAIMED

    def release(self, customer: CustomerName, repeat_key: RepeatKey, claim_id: str) -> None:
        """Remove a claim whose request was not run."""
        if self._claims.get((customer, repeat_key)) == claim_id:
            del self._claims[customer, repeat_key]

    def list_claims(self) -> list[LedgerEntry]:
        """List all claims, for the next owner."""
        return [LedgerEntry(customer, key, claim) for (customer, key), claim in self._claims.items()]

    def take_over(self, taken_at: float, entries: Iterable[LedgerEntry]) -> None:
        """Continue the ledger of a previous owner that has handed over all its claims and accepts no more."""
        self.taken_at = min(self.taken_at, taken_at)
        for entry in entries:
            self._claims.setdefault((entry.customer, entry.repeat_key), entry.claim)

    def _remove_expired(self, now: float) -> None:
        self._claims_since_cleanup = 0
        for customer, key in list(self._claims):
            created_at = read_key_time(key)
            if created_at is None or created_at < now - KEY_RETENTION_S - CLOCK_MARGIN_S:
                del self._claims[customer, key]

    def __len__(self) -> int:
        return len(self._claims)


__all__ = ["CLOCK_MARGIN_S", "KEY_RETENTION_S", "LedgerEntry", "SlotLedger", "Verdict", "read_key_time"]
