"""Decides whether an answer is whole, from its framing, the end of its bytes and the end of its body."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Framing(Enum):
    """How an answer states where its body ends (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"  # the body ends with the connection


class Ending(Enum):
    """How the bytes of an answer ended."""

    FRAMED = "framed"  # the stated length was reached, or the last chunk arrived
    CLOSED = "closed"  # the other side closed the connection in an orderly way
    RESET = "reset"
    SILENT = "silent"  # no bytes arrived within the time limit
    INVALID = "invalid"  # bytes that cannot be a part of the answer


class BodyEnd(Enum):
    """Where in its content the body of an answer ended."""

    UNKNOWN = "unknown"  # the content has no structure that would tell
    NO_EVENT = "no event"  # a stream without any event
    AFTER_EVENT = "after event"
    INSIDE_EVENT = "inside event"


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The end of one answer."""

    framing: Framing
    ending: Ending
    body_end: BodyEnd


__all__ = ["AnswerEnd", "BodyEnd", "Ending", "Framing"]
