"""Splits the bytes of a stream into whole events."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID: Final = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclass(frozen=True, slots=True)
class Event:
    """The bytes of one event, including its terminator."""

    data: bytes
    id: str | None


class EventSplitter:
    """Buffers the bytes of an incomplete event."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Give the bytes after the last complete event."""
        return self._rest

    def split(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that are now complete."""
        rest = self._rest + data
        events = []
        start = 0
        for match in _END.finditer(rest):
            piece = rest[start : match.end()]
            named = _ID.findall(piece)
            events.append(Event(piece, named[-1].decode("latin-1") if named else None))
            start = match.end()
        self._rest = rest[start:]
        return events


__all__ = ["Event", "EventSplitter"]
