"""Retry budget: limits retries to a share of first tries, so that retries do not amplify an overload."""

from __future__ import annotations

from typing import Final

SHARE: Final = 0.1  # retries earned by each first try
RESERVE: Final = 10.0  # retries available at the start, and the most that can be saved


class RetryBudget:
    """A budget that first tries fill and retries use up."""

    def __init__(self) -> None:
        self._saved = RESERVE

    def earn(self) -> None:
        """Count a first try."""
        self._saved = min(RESERVE, self._saved + SHARE)

    def spend(self) -> bool:
        """Take a retry from the budget; False if it is used up."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


__all__ = ["RetryBudget"]
