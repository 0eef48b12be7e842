"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class Exit(IntEnum):
    """Documented in docs/operators.md."""

    DONE = 0
    DIFFERENT = 1  # diff found differences, or a change id is not known
    FAULTY = 2  # arguments, files or a query are wrong
    OVERTAKEN = 3  # another change came first
    NO_ANSWER = 4  # no node answered, or the key-value service is down: nothing was changed
    UNSETTLED = 5  # whether the change took effect is not known yet: ask for its id


__all__ = ["Exit"]
