"""The newest changes of the store as this node has heard of them, kept for the nodes that ask it."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Final

import anyio
from msgspec import Struct

from vaneturn_node.platform.store import StoreItem

KEPT_CHANGES: Final = 512  # about 0.4 KB each; a node asks again within 1.3 s
MAX_VALUE_BYTES: Final = 1 << 20  # that the store keeps for a key
PACKED_FROM: Final = 1024  # bytes of a value; shorter ones gain nothing by being packed
MAX_RELAYED_BYTES: Final = 16384  # of a value as it is sent: 48 nodes take 1.0 MB, 0.8 s over a link of 10 Mbit/s;
# longer ones are read from the store by each node


class Change(Struct, frozen=True):
    """A key as it was written; without a value it was removed, or is to be read from the store."""

    key: str
    revision: int
    value: bytes | None
    is_left_out: bool = False  # the value is too long to be passed on
    is_packed: bool = False  # the value is compressed

    def unpack(self) -> bytes | None:
        """Give the value as it stands in the store.

        :raises ValueError: it is no compressed value, or longer than the store keeps.
        """
        if not self.is_packed or self.value is None:
            return self.value
        unpacker = zlib.decompressobj()
        try:
            value = unpacker.decompress(self.value, MAX_VALUE_BYTES)
        except zlib.error as error:
            raise ValueError(f"not a compressed value: {error}") from error
        if not unpacker.eof:
            raise ValueError(f"a value over {MAX_VALUE_BYTES} bytes, or not all of it")
        return value


class ChangeLog:
    """Changes in the order of their revisions, the newest one of each key."""

    def __init__(self) -> None:
        self._changes: dict[str, StoreItem] = {}  # by key
        self._told: dict[str, Change] = {}  # by key, as it is passed on; made when the first node asks
        self._state: dict[str, int] = {}  # the revision of each key that the store holds
        self._long: dict[str, StoreItem] = {}  # by key, what may be left out of the changes
        self._complete_after: int | None = None  # every change after this revision is here
        self.revision = 0
        self._heard = anyio.Event()

    def replace(self, items: Iterable[StoreItem], revision: int) -> None:
        """Take the whole state at a revision: what differs from the state before is logged as changes.

        Nodes that ask this one go on from where they were. When the log began anew after the store had forgotten its
        history, each of them read the whole state from the store, with two calls.
        """
        state = {item.key: item for item in items}
        if self._complete_after is None:
            self._complete_after = revision
            self._state = {item.key: item.revision for item in state.values()}
            self._long = {item.key: item for item in state.values() if _is_long(item)}
        else:
            changed = [item for item in state.values() if self._state.get(item.key) != item.revision]
            gone = [StoreItem(key, None, revision) for key in self._state if key not in state]
            self._log([*sorted(changed, key=lambda item: item.revision), *gone])
        self.revision = max(self.revision, revision)
        self.wake()

    def append(self, items: Iterable[StoreItem], revision: int) -> None:
        """Take the changes up to a revision; none when the store has only confirmed that nothing has changed."""
        self._log(items)
        self.revision = max(self.revision, revision)
        self.wake()

    def list_since(self, revision: int) -> list[Change] | None:
        """List the changes after a revision; none when some of them are not kept any more."""
        if self._complete_after is None or revision < self._complete_after:
            return None
        return [self._tell(item) for item in self._changes.values() if item.revision > revision]

    def find_long(self, key: str) -> StoreItem | None:
        """Find the newest value of a key that is too long for the changes."""
        return self._long.get(key)

    async def wait(self) -> None:
        """Wait until the store was heard of again."""
        await self._heard.wait()

    def wake(self) -> None:
        """Wake those who wait: the store was heard of, or could not be reached."""
        self._heard.set()
        self._heard = anyio.Event()

    def _log(self, items: Iterable[StoreItem]) -> None:
        for item in items:
            for known in (self._changes, self._told, self._state, self._long):
                known.pop(item.key, None)
            self._changes[item.key] = item
            if _is_long(item):
                self._long[item.key] = item
            if item.value is not None:
                self._state[item.key] = item.revision
        while len(self._changes) > KEPT_CHANGES:
            oldest = next(iter(self._changes))
            self._told.pop(oldest, None)
            self._complete_after = max(self._complete_after or 0, self._changes.pop(oldest).revision)

    def _tell(self, item: StoreItem) -> Change:
        change = self._told.get(item.key)
        if change is None:
            change = self._told[item.key] = _make_change(item)
        return change


def _is_long(item: StoreItem) -> bool:
    return item.value is not None and len(item.value) > MAX_RELAYED_BYTES


def _make_change(item: StoreItem) -> Change:
    if item.value is None or len(item.value) < PACKED_FROM:
        return Change(item.key, item.revision, item.value)
    packed = zlib.compress(item.value, level=1)
    if len(packed) > MAX_RELAYED_BYTES:
        return Change(item.key, item.revision, None, is_left_out=True)
    return Change(item.key, item.revision, packed, is_packed=True)


__all__ = ["KEPT_CHANGES", "MAX_RELAYED_BYTES", "MAX_VALUE_BYTES", "Change", "ChangeLog"]
