"""Retry budget: limits retries to a share of first tries, so that retries do not amplify an overload."""

from __future__ import annotations

from typing import Final

RETRIES_PER_FIRST_TRY: Final = 0.1  # retries earned by each first try
MAX_SAVED_RETRIES: Final = 10.0  # retries available at the start, and the most that can be saved


class RetryBudget:
    """A budget that first tries fill and retries use up."""

    def __init__(self) -> None:
        self._balance = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count a first try."""
        self._balance = min(MAX_SAVED_RETRIES, self._balance + RETRIES_PER_FIRST_TRY)

    def spend(self) -> bool:
        """Take a retry from the budget; False if it is used up."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


__all__ = ["RetryBudget"]
