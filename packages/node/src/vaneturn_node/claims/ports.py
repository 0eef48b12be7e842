"""What request handlers need of claims."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from vaneturn_core.identifiers import CustomerName, RepeatKey, StoreVersion
from vaneturn_core.outcomes import NotRun, Unknown


@dataclass(frozen=True)
class Claim:
    """A claim that was won: its holder alone may run the request, once."""

    id: str
    customer: CustomerName
    repeat_key: RepeatKey
    version: StoreVersion | None = None  # of the claim's own key, where it has one


class Claims(Protocol):
    """Claims on requests that must run at most once over all nodes."""

    async def claim(self, customer: CustomerName, repeat_key: RepeatKey) -> Claim | NotRun | Unknown:
        """Claim a request, or say why it is not run."""

    async def release(self, claim: Claim) -> None:
        """Give up a claim whose request was not run, so that the caller may try again."""


__all__ = ["Claim", "Claims"]
