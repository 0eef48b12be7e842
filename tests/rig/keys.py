"""Makes keys for requests that must run at most once."""

from __future__ import annotations

import time
import uuid

from vaneturn_core.identifiers import RepeatKey


def make_key(made_at: float | None = None, number: int | None = None) -> RepeatKey:
    """Make a UUID of version 7 from a creation time (default: now) and a number (default: random)."""
    milliseconds = int((time.time() if made_at is None else made_at) * 1000)
    low = uuid.uuid4().int & ((1 << 62) - 1) if number is None else number
    return RepeatKey(str(uuid.UUID(int=(milliseconds << 80) | (7 << 76) | (2 << 62) | low)))


__all__ = ["make_key"]
