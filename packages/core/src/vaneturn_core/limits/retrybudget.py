"""A budget of retries as a share of first tries, so that retries cannot multiply an overload."""

from __future__ import annotations

from typing import Final

SHARE: Final = 0.1  # of a retry for each first try
RESERVE: Final = 10.0  # retries that are always saved up to


class RetryBudget:
    """Earned by first tries, spent by retries."""

    def __init__(self) -> None:
        self._saved = RESERVE

    def earn(self) -> None:
        """Count a first try."""
        self._saved = min(RESERVE, self._saved + SHARE)

    def spend(self) -> bool:
        """Take a retry from the budget; false when it is used up."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


__all__ = ["RetryBudget"]
