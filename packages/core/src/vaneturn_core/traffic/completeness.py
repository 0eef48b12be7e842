"""Decides whether an answer is whole, from its framing, the end of its bytes and the end of its body."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from vaneturn_core.decoding import MalformedError, decode_json


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
    NOT_NEEDED = "not needed"  # the head of the answer says all
    EMPTY = "empty"  # a stream without any event
    AFTER_EVENT = "after event"
    INSIDE_EVENT = "inside event"
    AFTER_DOCUMENT = "after document"  # of a kind whose parts are never documents themselves
    INSIDE_DOCUMENT = "inside document"


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The end of one answer."""

    framing: Framing
    ending: Ending
    body_end: BodyEnd


class Completeness(Enum):
    """Whether an answer is whole."""

    WHOLE = "whole"
    BROKEN_OFF = "broken off"
    # The connection of a server that ends is closed in an orderly way too, so its bytes can't tell. The answer is whole
    # if its server runs on.
    UNCONFIRMED = "unconfirmed"


def judge_end(end: AnswerEnd, *, may_be_empty: bool = False) -> Completeness:
    """Decide whether an answer is whole.

    :param may_be_empty: whether a stream may have no event, as one that is resumed after its last event.
    """
    is_orderly = end.ending is Ending.FRAMED or (end.ending is Ending.CLOSED and end.framing is Framing.CLOSE)
    if end.body_end is BodyEnd.NOT_NEEDED and is_orderly:
        return Completeness.WHOLE
    is_cut = end.body_end in {BodyEnd.INSIDE_EVENT, BodyEnd.INSIDE_DOCUMENT}
    if not is_orderly or is_cut or (end.body_end is BodyEnd.EMPTY and not may_be_empty):
        return Completeness.BROKEN_OFF
    if end.framing is Framing.CLOSE and end.body_end is not BodyEnd.AFTER_DOCUMENT:
        return Completeness.UNCONFIRMED
    return Completeness.WHOLE


def find_document_end(body: bytes) -> BodyEnd:
    """Find where a JSON body ends; only of an object or an array is no shorter part a document too."""
    try:
        is_document = isinstance(decode_json(body, object), dict | list)
    except MalformedError:
        is_document = False
    return BodyEnd.AFTER_DOCUMENT if is_document else BodyEnd.INSIDE_DOCUMENT


__all__ = ["AnswerEnd", "BodyEnd", "Completeness", "Ending", "Framing", "find_document_end", "judge_end"]
