"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class Exit(IntEnum):
    """Exit codes; docs/operators.md documents them."""

    DONE = 0
    DIFFERENT_OR_UNKNOWN = 1  # diff found differences, or the given change or request is unknown
    INVALID_INPUT = 2  # invalid arguments, files or query
    OVERTAKEN = 3  # another change was applied first
    NO_ANSWER = 4  # no node answered, or the key-value service is down; nothing was changed
    UNSETTLED = 5  # not known yet whether the change took effect; look it up by its id


__all__ = ["Exit"]
