"""Splits the bytes of a stream into whole events."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

from vaneturn_core.traffic.completeness import BodyEnd

MAX_EVENT_BYTES: Final = 2**20
MAX_PARTIAL_END: Final = 2  # bytes of an event's end that may have arrived without the rest
_EVENT_END: Final = re.compile(rb"\n\r?\n|\r\r")  # a blank line; lines end with LF, CRLF or CR
_FIELD: Final = re.compile(rb"(?:^|[\r\n])[^:\r\n]")  # a line that is neither blank nor a comment
_EVENT_ID: Final = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
_NUMBER: Final = re.compile(r"[0-9]{1,100}")  # longer ones are costly to convert


@dataclass(frozen=True, slots=True)
class Event:
    """The bytes of one event, including its terminator."""

    data: bytes
    id: str | None
    has_fields: bool  # a comment has none


class EventSplitter:
    """Buffers the bytes of an incomplete event."""

    def __init__(self, repeated: str | None = None) -> None:
        """Begin a body.

        :param repeated: id of an event that the reader has already: this one and those before it are left out, and the
            body counts as empty until it has arrived.
        """
        self._remainder = bytearray()
        self._repeated = repeated
        self._has_event = False
        self.has_passed = False  # a later event has arrived in place of the repeated one

    @property
    def body_end(self) -> BodyEnd:
        """Tell where the body ends if no more bytes arrive."""
        if _FIELD.search(self._remainder):
            return BodyEnd.INSIDE_EVENT
        return BodyEnd.AFTER_EVENT if self._has_event else BodyEnd.EMPTY

    @property
    def is_too_long(self) -> bool:
        """Tell whether the bytes of the incomplete event are more than an event may have."""
        return len(self._remainder) > MAX_EVENT_BYTES

    @property
    def remainder(self) -> bytes:
        """Give the bytes after the last complete event."""
        return bytes(self._remainder)

    def split(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that are now complete."""
        searched = max(0, len(self._remainder) - MAX_PARTIAL_END)
        self._remainder += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._remainder, searched):
            event = bytes(self._remainder[start : match.end()])
            ids = _EVENT_ID.findall(event)
            has_fields = _FIELD.search(event) is not None
            event_id = ids[-1].decode("latin-1") if ids else None
            start = match.end()
            if self._repeated is not None:
                if event_id != self._repeated:
                    self.has_passed = self.has_passed or _is_later(event_id, self._repeated)
                    continue
                self._repeated = None
                self._has_event = True
                continue
            self._has_event = self._has_event or has_fields
            events.append(Event(event, event_id, has_fields))
        del self._remainder[:start]
        return events


def _is_later(event_id: str | None, other: str) -> bool:
    """Tell whether an event comes after another one; ids rise, but only those that are numbers can be compared."""
    if event_id is None or not _NUMBER.fullmatch(event_id) or not _NUMBER.fullmatch(other):
        return False
    return int(event_id) > int(other)


__all__ = ["MAX_EVENT_BYTES", "Event", "EventSplitter"]
