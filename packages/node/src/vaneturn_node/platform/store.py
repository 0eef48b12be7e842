"""Calls on the platform's metadata store; each has its own timer and a typed outcome."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, TypeVar
from urllib.parse import urlencode

import msgspec
from msgspec import Struct

from vaneturn_core.traffic.servers import ServerAddress
from vaneturn_node.http1.caller import BodyArrival, Caller, Failed, Reply

CALL_TIME: Final = 1.0  # seconds; the store answers in milliseconds when it is sound
WATCH_MARGIN: Final = 0.5  # seconds beyond a watch's wait to the answer's head
SILENCE: Final = 0.5  # seconds between bytes of an answer's body
BODY_TIME: Final = 0.6  # seconds beyond its limit for a watch's body; the longest value takes 0.56 s over 20 Mbit/s
_OK: Final = 200
_NO_LEASE: Final = 404
_NO_KEY: Final = 404
_CONFLICT: Final = 412
_HISTORY_GONE: Final = 410
_NOTHING_DONE: Final = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key as it was written; without a value it was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class StorePage:
    """Items, and the store's revision when it answered."""

    items: tuple[StoreItem, ...]
    revision: int
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease and the seconds it holds from the arrival of the call."""

    id: int
    time: float


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store has forgotten the changes since the given revision."""


@dataclass(frozen=True, slots=True)
class WatchTooLong:
    """The answer was still arriving when its time was up; the newest values alone may be far shorter."""

    cause: str


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """A key had another revision, so nothing was written."""


@dataclass(frozen=True, slots=True)
class LeaseOver:
    """The lease does not exist any more."""


@dataclass(frozen=True, slots=True)
class NotDone:
    """Nothing was done."""

    cause: str


@dataclass(frozen=True, slots=True)
class MaybeDone:
    """No answer: it may have been done, or be done seconds later."""

    cause: str
    is_unfinished: bool = False  # the answer was arriving


class _Item(Struct):
    key: str
    revision: int
    value: bytes | None = None  # standard base64 on the wire
    gone: bool = False


class _Page(Struct):
    at: int
    entries: list[_Item] = []
    events: list[_Item] = []
    more: bool = False


class _Written(Struct):
    revision: int


class _Granted(Struct):
    ttl_ms: float
    lease: int = 0


class PlatformStore:
    """The platform's metadata store."""

    def __init__(self, caller: Caller, address: ServerAddress) -> None:
        self._caller = caller
        self._address = address

    async def read_range(self, prefix: str, after: str = "") -> StorePage | NotDone:
        """Read a page of the items under a prefix, after a key."""
        query: dict[str, str | int] = {"path_prefix": prefix}
        if after:
            query["since_rev"] = after  # a key here, not a revision
        reply = await self._read(f"/api/kv-range?{urlencode(query)}")
        if not isinstance(reply, Reply):
            return NotDone(reply.cause)
        page = _decode(reply, _Page)
        return page if isinstance(page, NotDone) else _convert_page(page, page.entries)

    async def read_key(self, key: str) -> StoreItem | NotDone:
        """Read one key; a key that is not there has no value."""
        reply = await self._read(f"/api/kv-key?{urlencode({'key': key})}")
        if not isinstance(reply, Reply):
            return NotDone(reply.cause)
        if reply.status == _NO_KEY:
            return StoreItem(key, None, 0)
        item = _decode(reply, _Item)
        return item if isinstance(item, NotDone) else _convert_item(item)

    async def watch(
        self, prefix: str, revision: int, wait: float, arrival: BodyArrival | None = None
    ) -> StorePage | HistoryGone | WatchTooLong | NotDone:
        """Wait for changes after a revision, at most some seconds; a long answer notes that it is arriving.

        The answer holds every version since the revision, so that asking again for one that is too long to arrive in
        time makes it longer still; the newest values are to be read then.
        """
        query = urlencode({"path_prefix": prefix, "since_rev": revision, "wait_ms": int(wait * 1000)})
        reply = await self._call("GET", f"/api/kv-watch?{query}", wait + WATCH_MARGIN, arrival=arrival)
        if isinstance(reply, MaybeDone) and reply.is_unfinished:
            return WatchTooLong(reply.cause)
        if not isinstance(reply, Reply):
            return NotDone(reply.cause)
        if reply.status == _HISTORY_GONE:
            return HistoryGone()
        page = _decode(reply, _Page)
        return page if isinstance(page, NotDone) else _convert_page(page, page.events)

    async def write(
        self, key: str, value: bytes, expected: int | None, lease: int = 0
    ) -> int | StoreConflict | LeaseOver | NotDone | MaybeDone:
        """Write a key, if it has the expected revision (0: absent); gives the revision of the write."""
        put = [{"key": key, "value": value, "lease": lease}]
        rows = [] if expected is None else [{"key": key, "revision": expected}]
        body = msgspec.json.encode({"expected_rev": rows, "put": put, "remove": []})
        reply = await self._call("POST", "/api/kv-txn", body=body)
        if not isinstance(reply, Reply):
            return reply
        if reply.status == _CONFLICT:
            return StoreConflict()
        if reply.status == _NO_LEASE:
            return LeaseOver()
        written = _decode(reply, _Written)
        return written if isinstance(written, NotDone) else written.revision

    async def grant_lease(self, time: float) -> Lease | NotDone | MaybeDone:
        """Begin a lease of some seconds."""
        reply = await self._call("POST", "/api/kv-lease", body=msgspec.json.encode({"ttl_ms": int(time * 1000)}))
        if not isinstance(reply, Reply):
            return reply
        granted = _decode(reply, _Granted)
        return granted if isinstance(granted, NotDone) else Lease(granted.lease, granted.ttl_ms / 1000)

    async def keep_lease(self, lease: int) -> Lease | LeaseOver | NotDone | MaybeDone:
        """Renew a lease."""
        reply = await self._call("POST", f"/api/kv-keep/{lease}", body=b"{}")
        if not isinstance(reply, Reply):
            return reply
        if reply.status == _NO_LEASE:
            return LeaseOver()
        granted = _decode(reply, _Granted)
        return granted if isinstance(granted, NotDone) else Lease(lease, granted.ttl_ms / 1000)

    async def end_lease(self, lease: int) -> None:
        """End a lease, at a planned stop; an unanswered call leaves it to run out."""
        await self._call("DELETE", f"/api/kv-lease-end/{lease}")

    async def _read(self, target: str) -> Reply | NotDone | MaybeDone:
        """Read values, for as long as they are arriving: there is nothing shorter to ask for in their place."""
        return await self._call("GET", target, arrival=BodyArrival(math.inf, SILENCE))

    async def _call(
        self, method: str, target: str, limit: float = CALL_TIME, body: bytes = b"", arrival: BodyArrival | None = None
    ) -> Reply | NotDone | MaybeDone:
        reply = await self._caller.call(self._address, method, target, limit, body=body, arrival=arrival)
        if isinstance(reply, Failed):
            return MaybeDone(reply.cause, reply.is_unfinished) if reply.was_sent else NotDone(reply.cause)
        if reply.status in _NOTHING_DONE:
            return NotDone(f"status {reply.status}")
        return reply


def _convert_page(page: _Page, items: Sequence[_Item]) -> StorePage:
    return StorePage(tuple(_convert_item(item) for item in items), page.at, page.more)


def _convert_item(item: _Item) -> StoreItem:
    return StoreItem(item.key, None if item.gone else item.value or b"", item.revision)


T = TypeVar("T")


def _decode(reply: Reply, type_: type[T]) -> T | NotDone:
    if reply.status != _OK:
        return NotDone(f"status {reply.status}")
    try:
        return msgspec.json.decode(reply.body, type=type_)
    except msgspec.DecodeError as error:
        return NotDone(f"answer not understood: {error}")


__all__ = [
    "BODY_TIME",
    "SILENCE",
    "HistoryGone",
    "Lease",
    "LeaseOver",
    "MaybeDone",
    "NotDone",
    "PlatformStore",
    "StoreConflict",
    "StoreItem",
    "StorePage",
    "WatchTooLong",
]
