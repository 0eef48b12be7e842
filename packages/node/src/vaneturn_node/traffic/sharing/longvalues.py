"""Transfer of long values that the changes do not include: a relay sends them compressed, one after the other."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from typing import Final
from urllib.parse import urlencode

import anyio
import msgspec
from msgspec import Struct

from vaneturn_core.decoding import decode_msgpack
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.relays import rank_relays
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller, Reply
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.platform.epochs import StoreState, get_epoch, get_number, make_state
from vaneturn_node.platform.store import PlatformStore, StoreItem
from vaneturn_node.traffic.sharing.changelog import Change, ChangeLog
from vaneturn_node.traffic.sharing.difference import apply_difference, pack, unpack
from vaneturn_node.traffic.sharing.peerwords import OK

VALUE_PATH: Final = "/value"
MAX_BYTES_PER_S: Final = 2_000_000.0  # sent by a relay: four fifths of a 20 Mbit/s link
# Longest wait of a node for its turn, in seconds. It suffices for 29 values of 41 KB; other nodes ask elsewhere.
MAX_TURN_WAIT_S: Final = 0.6
RELAY_TIMEOUT_S: Final = 0.8  # time for one relay
ALL_RELAYS_TIMEOUT_S: Final = 1.0  # time for all relays; the store takes another 0.5 s, and the shortest bound is 2 s
_BUSY: Final = 503

logger = logging.getLogger(__name__)


class PackedValue(Struct):
    """A whole long value, compressed."""

    revision: int  # its number
    packed: bytes
    epoch: int = 0


class LongValueServer:
    """Sends long values at a limited rate, which leaves bandwidth for the relay's own streams."""

    def __init__(self, log: ChangeLog) -> None:
        self._log = log
        self._packed: dict[str, tuple[StoreItem, bytes]] = {}  # the latest by key, made on first request
        self._free_at = 0.0  # when all waiting nodes will have been served

    async def answer(self, key: str, answer: ClientAnswer) -> None:
        """Send a value when its turn has come, or refuse at once if the wait would be too long."""
        item = self._log.find_long_value(key)
        if item is None or item.value is None:
            await answer.send_whole(404, [], b"")
            return
        now = read_clock()
        turn_at = max(now, self._free_at)
        if turn_at - now > MAX_TURN_WAIT_S:
            await answer.send_whole(_BUSY, [], b"")
            return
        packed = PackedValue(get_number(item.revision), self._pack(item, item.value), get_epoch(item.revision))
        body = msgspec.msgpack.encode(packed)
        self._free_at = turn_at + len(body) / MAX_BYTES_PER_S
        await anyio.sleep(turn_at - now)
        await answer.send_whole(OK, [(b"content-type", b"application/msgpack")], body)

    def _pack(self, item: StoreItem, value: bytes) -> bytes:
        known = self._packed.get(item.key)
        if known is None or known[0] is not item:
            known = self._packed[item.key] = (item, pack(value))
        return known[1]


class LongValueReader:
    """Builds long values from differences, or fetches them from relays or else from the store."""

    def __init__(self, *, vm: VmId, store: PlatformStore, view: PlatformView, log: ChangeLog, caller: Caller) -> None:
        self._vm = vm
        self._store = store
        self._view = view
        self._log = log
        self._caller = caller

    async def read(self, change: Change, address: str) -> StoreItem | None:
        """Return the value of a change; if it has to be fetched whole, log its size and how long that took."""
        item = self._build_from_difference(change)
        if item is not None:
            return item
        started = read_clock()
        item, relay = await self._ask_relays(change, address)
        if item is None:
            fetched = await self._store.read_key(change.key)
            item = fetched if isinstance(fetched, StoreItem) and _fits(fetched, change) else None
        extra = {
            "key": change.key,
            "bytes": len(item.value or b"") if item is not None else None,
            "took": round(read_clock() - started, 3),
            "relay": relay,
        }
        logger.info("long value read", extra=extra)
        return item

    def _build_from_difference(self, change: Change) -> StoreItem | None:
        base = self._log.find_long_value(change.key)
        if change.difference is None or base is None or base.value is None or base.revision != change.base:
            return None
        try:
            value = apply_difference(base.value, change.difference, change.digest)
        except ValueError as error:
            logger.warning("difference from a relay not understood", extra={"key": change.key, "fault": str(error)})
            return None
        return StoreItem(change.key, value, StoreState(change.revision))

    async def _ask_relays(self, change: Change, address: str) -> tuple[StoreItem | None, str | None]:
        with anyio.move_on_after(ALL_RELAYS_TIMEOUT_S):
            for relay in self._list_relays(address):
                item = await self._ask(relay, change.key)
                if item is not None and _fits(item, change):
                    return item, relay
        return None, None

    def _list_relays(self, first: str) -> Iterator[str]:
        yield first
        for relay in rank_relays(self._vm, self._view.nodes):
            address = self._view.nodes[relay]
            if address is not None and address != first:
                yield address

    async def _ask(self, address: str, key: str) -> StoreItem | None:
        target = f"{VALUE_PATH}?{urlencode({'key': key})}"
        reply = await self._caller.call(address, "GET", target, RELAY_TIMEOUT_S)
        if not isinstance(reply, Reply) or reply.status != OK:
            return None
        try:
            found = decode_msgpack(reply.body, PackedValue)
            return StoreItem(key, unpack(found.packed), make_state(found.epoch, found.revision))
        except ValueError as error:
            logger.warning("value from a relay not understood", extra={"key": key, "fault": str(error)})
            return None


def split_changes(changes: Iterable[Change]) -> tuple[list[StoreItem], list[Change]]:
    """Split changes into the items that they include, and those whose values have to be obtained separately."""
    items: list[StoreItem] = []
    left_out: list[Change] = []
    for change in changes:
        item = _unpack(change)
        if item is not None:
            items.append(item)
        else:
            left_out.append(change)
    return items, left_out


def _unpack(change: Change) -> StoreItem | None:
    if change.is_left_out:
        return None
    try:
        return StoreItem(change.key, change.unpack(), StoreState(change.revision))
    except ValueError as error:
        logger.warning("value from a relay not understood", extra={"key": change.key, "fault": str(error)})
        return None


def _fits(item: StoreItem, change: Change) -> bool:
    """Check whether an item, or its absence, is the change or a newer one, in the epoch of the change."""
    revision = StoreState(change.revision)
    is_recent = item.value is None or item.revision >= revision
    return is_recent and get_epoch(item.revision) == get_epoch(revision)


__all__ = ["VALUE_PATH", "LongValueReader", "LongValueServer", "split_changes"]
