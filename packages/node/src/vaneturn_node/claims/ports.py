"""Interface of claims for request handlers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from vaneturn_core.identifiers import CustomerName, RepeatKey, StoreVersion
from vaneturn_core.outcomes import NotRun, Unknown


@dataclass(frozen=True)
class Claim:
    """A won claim; only its holder may run the request, and only once."""

    id: str
    customer: CustomerName
    repeat_key: RepeatKey
    version: StoreVersion | None = None  # of the claim's key in the store; None for a claim by slot


class Claims(Protocol):
    """Claims on requests that must run at most once over all nodes."""

    async def claim(self, customer: CustomerName, repeat_key: RepeatKey) -> Claim | NotRun | Unknown:
        """Claim a request, or return why it is not run."""

    async def release(self, claim: Claim) -> None:
        """Release the claim of a request that was not run, so that the caller may retry."""


__all__ = ["Claim", "Claims"]
