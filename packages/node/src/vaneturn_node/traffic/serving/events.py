"""Splits the bytes of a stream into whole events."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

_EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID: Final = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclass(frozen=True, slots=True)
class Event:
    """The bytes of one event, including its terminator."""

    data: bytes
    id: str | None


class EventSplitter:
    """Buffers the bytes of an incomplete event."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Give the bytes after the last complete event."""
        return self._remainder

    def split(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that are now complete."""
        remainder = self._remainder + data
        events = []
        start = 0
        for match in _EVENT_END.finditer(remainder):
            event = remainder[start : match.end()]
            ids = _EVENT_ID.findall(event)
            events.append(Event(event, ids[-1].decode("latin-1") if ids else None))
            start = match.end()
        self._remainder = remainder[start:]
        return events


__all__ = ["Event", "EventSplitter"]
