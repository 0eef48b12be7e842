"""Responses of the platform's metadata store, and what they are converted to."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Final, TypeVar

from msgspec import Meta, Struct

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_node.http1.caller import Reply
from vaneturn_node.platform.epochs import MAX_NUMBER, StoreState, make_state

_OK: Final = 200

Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A version of a key; a value of None means that the key was removed."""

    key: str
    value: bytes | None
    revision: StoreState


@dataclass(frozen=True, slots=True)
class StorePage:
    """Items, and the state of the store at the time of the response."""

    items: tuple[StoreItem, ...]
    revision: StoreState
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class NotDone:
    """The store did nothing."""

    cause: str
    received: int = 0  # bytes of a response that ended early


class Rejection(Enum):
    """Why a response cannot be used; the values appear in logs and metrics."""

    UNFINISHED = "unfinished"  # it was still arriving at its timeout
    TOO_LONG = "too long"  # for any response
    NO_MEMORY = "no memory"
    MALFORMED = "malformed"
    REFUSED = "refused"  # the store does not accept the call


@dataclass(frozen=True, slots=True)
class UnusableWatch:
    """The store answered a watch with what cannot be used.

    Do not repeat the call, since the next response would be the same or a longer one; read the newest values instead.
    """

    rejection: Rejection
    cause: str
    received: int  # bytes


class Item(Struct):
    """An item of a response."""

    key: str
    revision: Number
    value: bytes | None = None  # standard base64 on the wire
    gone: bool = False


class Page(Struct):
    """Items or changes, and the revision of the store."""

    at: Number
    entries: list[Item] = []
    events: list[Item] = []
    more: bool = False


class Written(Struct):
    """The revision of a write."""

    revision: Number


class Granted(Struct):
    """A lease that was granted or renewed."""

    ttl_ms: float
    lease: int = 0


def convert_page(page: Page, items: Sequence[Item], epoch: int) -> StorePage:
    """Convert a page that was read in an epoch."""
    return StorePage(tuple(convert_item(item, epoch) for item in items), make_state(epoch, page.at), page.more)


def convert_item(item: Item, epoch: int) -> StoreItem:
    """Convert an item that was read in an epoch."""
    return StoreItem(item.key, None if item.gone else item.value or b"", make_state(epoch, item.revision))


T = TypeVar("T")


def decode_reply(reply: Reply, type_: type[T]) -> T | NotDone:
    """Decode a response; NotDone if it is no success or malformed."""
    if reply.status != _OK:
        return NotDone(f"status {reply.status}")
    try:
        return decode_json(reply.body, type_)
    except MalformedError as error:
        return NotDone(f"malformed response: {error}")


__all__ = [
    "Granted",
    "Item",
    "NotDone",
    "Page",
    "Rejection",
    "StoreItem",
    "StorePage",
    "UnusableWatch",
    "Written",
    "convert_item",
    "convert_page",
    "decode_reply",
]
