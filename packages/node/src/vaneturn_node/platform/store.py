"""Calls to the platform's metadata store; each has its own timeout and a typed outcome."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final
from urllib.parse import urlencode

import msgspec

from vaneturn_core.traffic.servers import ServerAddress
from vaneturn_node.http1.caller import BodyArrival, Caller, Failed, Reply
from vaneturn_node.platform.epochs import EpochTracker, StoreState, get_number, make_state
from vaneturn_node.platform.storemessages import (
    Granted,
    Item,
    NotDone,
    Page,
    Rejection,
    StoreItem,
    StorePage,
    UnusableWatch,
    Written,
    convert_item,
    convert_page,
    decode_reply,
)

TIMEOUT_S: Final = 1.0  # default for a call; a healthy store answers in milliseconds
WATCH_MARGIN_S: Final = 0.5  # beyond the wait of a watch until the head of the response is due
MAX_SILENCE_S: Final = 0.5  # the longest pause within the body of a response
BODY_EXTRA_TIME_S: Final = 0.6  # added for the body of a watch's response; the longest value takes 0.56 s at 20 Mbit/s
_EMPTY_PREFIX: Final = "vaneturn/none/"  # of no key
_NO_LEASE: Final = 404
_NO_KEY: Final = 404
_CONFLICT: Final = 412
_HISTORY_GONE: Final = 410
_OK: Final = 200
_SERVER_ERROR: Final = 500
_NOT_DONE_STATUSES: Final = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease and the seconds for which it is valid from the arrival of the call."""

    id: int
    duration_s: float
    epoch: int = 0  # in which it was granted or renewed; in a later one, its number may belong to another lease


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer keeps the changes since the given revision."""


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """A key had another revision, so nothing was written."""


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """The lease no longer exists."""


@dataclass(frozen=True, slots=True)
class MaybeDone:
    """No response: the store may have done it already, or may do it seconds later."""

    cause: str
    rejection: Rejection | None = None  # why the response cannot be used; None without one
    received: int = 0  # bytes of the response


class PlatformStore:
    """The platform's metadata store."""

    def __init__(self, caller: Caller, address: ServerAddress) -> None:
        self._caller = caller
        self._address = address
        self._epochs = EpochTracker()

    @property
    def epoch(self) -> int:
        """The newest epoch that the store has stated in a response; 0 if it states none."""
        return self._epochs.current

    async def read_range(self, prefix: str, after: str = "") -> StorePage | NotDone:
        """Read a page of the items under a prefix, beginning after a key."""
        query: dict[str, str | int] = {"path_prefix": prefix}
        if after:
            query["since_rev"] = after  # a key here, not a revision
        reply = await self._read(f"/api/kv-range?{urlencode(query)}")
        if not isinstance(reply, Reply):
            return NotDone(reply.cause)
        page = decode_reply(reply, Page)
        return page if isinstance(page, NotDone) else convert_page(page, page.entries, self.epoch)

    async def read_state(self) -> StoreState | NotDone:
        """Read the state of the store, without any items."""
        page = await self.read_range(_EMPTY_PREFIX)
        return page if isinstance(page, NotDone) else page.revision

    async def read_key(self, key: str) -> StoreItem | NotDone:
        """Read one key; for an absent key the value is None."""
        reply = await self._read(f"/api/kv-key?{urlencode({'key': key})}")
        if not isinstance(reply, Reply):
            return NotDone(reply.cause)
        if reply.status == _NO_KEY:
            return StoreItem(key, None, make_state(self.epoch, 0))
        item = decode_reply(reply, Item)
        return item if isinstance(item, NotDone) else convert_item(item, self.epoch)

    async def watch(
        self, prefix: str, since: StoreState, wait: float, arrival: BodyArrival | None = None
    ) -> StorePage | HistoryGone | UnusableWatch | NotDone:
        """Wait up to some seconds for changes after a state; the arrival is updated while a long response comes in.

        The response holds every version since that state, so that it may be far longer than the newest values alone.
        A response of a later epoch may lack changes, since the store takes the number for one of that epoch.
        """
        query = urlencode({"path_prefix": prefix, "since_rev": get_number(since), "wait_ms": int(wait * 1000)})
        reply = await self._call("GET", f"/api/kv-watch?{query}", wait + WATCH_MARGIN_S, arrival=arrival)
        if isinstance(reply, MaybeDone):
            if reply.rejection is not None:
                return UnusableWatch(reply.rejection, reply.cause, reply.received)
            return NotDone(reply.cause, reply.received)
        if isinstance(reply, NotDone):
            return reply
        return HistoryGone() if reply.status == _HISTORY_GONE else self._read_changes(reply)

    def _read_changes(self, reply: Reply) -> StorePage | UnusableWatch | NotDone:
        page = decode_reply(reply, Page)
        if not isinstance(page, NotDone):
            return convert_page(page, page.events, self.epoch)
        if reply.status >= _SERVER_ERROR:
            return page
        rejection = Rejection.MALFORMED if reply.status == _OK else Rejection.REFUSED
        return UnusableWatch(rejection, page.cause, len(reply.body))

    async def write(
        self, key: str, value: bytes, expected: StoreState | None, lease: int = 0
    ) -> StoreState | StoreConflict | LeaseExpired | NotDone | MaybeDone:
        """Write a key if it has the expected revision (NO_STATE: absent), and return the state after the write."""
        put = [{"key": key, "value": value, "lease": lease}]
        rows = [] if expected is None else [{"key": key, "revision": get_number(expected)}]
        body = msgspec.json.encode({"expected_rev": rows, "put": put, "remove": []})
        reply = await self._call("POST", "/api/kv-txn", body=body)
        if not isinstance(reply, Reply):
            return reply
        if reply.status == _CONFLICT:
            return StoreConflict()
        if reply.status == _NO_LEASE:
            return LeaseExpired()
        written = decode_reply(reply, Written)
        return written if isinstance(written, NotDone) else make_state(self.epoch, written.revision)

    async def grant_lease(self, ttl_s: float) -> Lease | NotDone | MaybeDone:
        """Request a lease of some seconds."""
        reply = await self._call("POST", "/api/kv-lease", body=msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)}))
        if not isinstance(reply, Reply):
            return reply
        granted = decode_reply(reply, Granted)
        return granted if isinstance(granted, NotDone) else Lease(granted.lease, granted.ttl_ms / 1000, self.epoch)

    async def renew_lease(self, lease: int) -> Lease | LeaseExpired | NotDone | MaybeDone:
        """Renew a lease."""
        reply = await self._call("POST", f"/api/kv-keep/{lease}", body=b"{}")
        if not isinstance(reply, Reply):
            return reply
        if reply.status == _NO_LEASE:
            return LeaseExpired()
        granted = decode_reply(reply, Granted)
        return granted if isinstance(granted, NotDone) else Lease(lease, granted.ttl_ms / 1000, self.epoch)

    async def end_lease(self, lease: int) -> None:
        """End a lease; if the call gets no response, the lease runs out by itself."""
        await self._call("DELETE", f"/api/kv-lease-end/{lease}")

    async def _read(self, target: str) -> Reply | NotDone | MaybeDone:
        """Read values without a total timeout while bytes arrive, since no shorter response could replace them."""
        return await self._call("GET", target, arrival=BodyArrival(math.inf, MAX_SILENCE_S))

    async def _call(
        self, method: str, target: str, limit: float = TIMEOUT_S, body: bytes = b"", arrival: BodyArrival | None = None
    ) -> Reply | NotDone | MaybeDone:
        reply = await self._caller.call(self._address, method, target, limit, body=body, arrival=arrival)
        if isinstance(reply, Failed):
            if not reply.was_sent:
                return NotDone(reply.cause)
            return MaybeDone(reply.cause, _find_rejection(reply), reply.received)
        fault = self._epochs.check(reply.headers)
        if fault is not None:
            return MaybeDone(str(fault))
        if reply.status in _NOT_DONE_STATUSES:
            return NotDone(f"status {reply.status}")
        return reply


def _find_rejection(failed: Failed) -> Rejection | None:
    """Find why a response cannot be used; None if there was none, or it was cut or fell silent."""
    if failed.has_no_memory:
        return Rejection.NO_MEMORY
    if failed.is_too_long:
        return Rejection.TOO_LONG
    return Rejection.UNFINISHED if failed.is_unfinished else None


__all__ = [
    "BODY_EXTRA_TIME_S",
    "MAX_SILENCE_S",
    "WATCH_MARGIN_S",
    "HistoryGone",
    "Lease",
    "LeaseExpired",
    "MaybeDone",
    "NotDone",
    "PlatformStore",
    "Rejection",
    "StoreConflict",
    "StoreItem",
    "StorePage",
    "UnusableWatch",
]
