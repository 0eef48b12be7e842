"""Claims in the mode set by the configuration in force."""

from __future__ import annotations

from collections.abc import Callable

from vaneturn_core.configuration.schema import ClaimMode
from vaneturn_core.identifiers import CustomerName, RepeatKey
from vaneturn_core.outcomes import NotRun, Unknown
from vaneturn_node.claims.ports import Claim, Claims


class ClaimsByMode:
    """Delegates each claim to the mode in force.

    A release goes to the mode that made the claim: only claims by key have a version.
    """

    def __init__(self, by_mode: dict[ClaimMode, Claims], read_mode: Callable[[], ClaimMode]) -> None:
        self._by_mode = by_mode
        self._read_mode = read_mode

    async def claim(self, customer: CustomerName, repeat_key: RepeatKey) -> Claim | NotRun | Unknown:
        """Claim a request, or return why it is not run."""
        return await self._by_mode[self._read_mode()].claim(customer, repeat_key)

    async def release(self, claim: Claim) -> None:
        """Release the claim of a request that was not run."""
        mode = ClaimMode.BY_KEY if claim.version else ClaimMode.BY_SLOT
        await self._by_mode[mode].release(claim)


__all__ = ["ClaimsByMode"]
