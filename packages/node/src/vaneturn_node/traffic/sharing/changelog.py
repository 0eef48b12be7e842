"""The latest changes of the store as this node knows them, kept for the nodes that ask it."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Final

import anyio
from msgspec import Struct

from vaneturn_node.clock import read_clock
from vaneturn_node.platform.epochs import NO_STATE, StoreState, get_epoch, get_number, move_to_epoch
from vaneturn_node.platform.store import StoreItem
from vaneturn_node.traffic.sharing.difference import MAX_VALUE_BYTES, compute_difference, compute_digest, pack, unpack

MAX_CHANGES: Final = 512  # about 0.4 KB each; a node asks again within 1.3 s
MIN_PACKED_BYTES: Final = 1024  # shorter values gain nothing from compression
# Longest value, as sent, that is included in the changes: for 48 nodes it takes 0.26 MB, 0.1 s over a 20 Mbit/s link.
# For a longer value the difference from the previous version is sent instead, if it fits in this size.
MAX_RELAYED_BYTES: Final = 4096
MAX_BASES: Final = 4  # older versions of a long value, 0.4 MB each, for nodes that do not know the latest one yet
BASE_AGE_S: Final = 5.0  # time for which these versions are kept; a node asks again within 1.8 s
MAX_EPOCHS: Final = 8  # earlier epochs from which nodes may continue


class Change(Struct, frozen=True, omit_defaults=True):
    """A written key; without a value it was removed, or its value is to be built from the difference or read whole."""

    key: str
    revision: int  # a StoreState, as is the base
    value: bytes | None
    is_left_out: bool = False  # the value is too long to be included
    is_packed: bool = False  # the value is compressed
    base: int | None = None  # revision of the version that the difference applies to
    difference: bytes | None = None
    digest: bytes = b""  # of the value that results from applying the difference

    def unpack(self) -> bytes | None:
        """Return the value as it is in the store.

        :raises ValueError: the value is not validly compressed, or longer than the store allows.
        """
        if not self.is_packed or self.value is None:
            return self.value
        return unpack(self.value)


class ChangeLog:
    """The latest change of each key, in the order of states of the store."""

    def __init__(self) -> None:
        self._changes: dict[str, StoreItem] = {}  # by key
        self._prepared: dict[str, dict[int | None, Change]] = {}  # by key and base revision, made on first request
        self._bases: dict[str, list[tuple[float, StoreItem]]] = {}  # by key, older long versions and when replaced
        self._state: dict[str, tuple[int, int]] = {}  # revision number and hash of each value that the store holds
        self._long: dict[str, StoreItem] = {}  # by key, values that may be too long for the changes
        self._complete_after: StoreState | None = None  # every change after this state is kept
        self._last_states: dict[int, StoreState] = {}  # by epoch, the last state of each earlier one
        self.revision = NO_STATE
        self.newest_known = (
            NO_STATE  # of all changes and readings; a watch may state a later one, and leave out changes
        )
        self._updated = anyio.Event()

    def replace(self, items: Iterable[StoreItem], revision: StoreState) -> None:
        """Apply the whole state at a revision; differences from the previous state are logged as changes.

        This lets the nodes that ask this one continue from their revision. If the log were cleared instead, e.g. when
        the store has dropped its history, each of them would read the whole state from the store, with two calls.
        Values are compared too, as a restored store gives out the same number for another value.
        """
        state = {item.key: item for item in items}
        if revision < self.revision:
            self._clear()
        self._enter_epoch(revision)
        if self._complete_after is None:
            self._complete_after = revision
            self._state = {item.key: _identify(item) for item in state.values()}
            self._long = {item.key: item for item in state.values() if _is_long(item)}
        else:
            changed = [item for item in state.values() if self._state.get(item.key) != _identify(item)]
            gone = [StoreItem(key, None, revision) for key in self._state if key not in state]
            self._log([*sorted(changed, key=lambda item: item.revision), *gone])
        self.revision = max(self.revision, revision)
        self.newest_known = max(self.newest_known, revision)
        self.wake()

    def append(self, items: Iterable[StoreItem], revision: StoreState) -> None:
        """Append the changes up to a revision; there are none if the store only confirmed that nothing has changed."""
        self._enter_epoch(revision)
        self._log(items)
        self._drop_old_bases()
        self.revision = max(self.revision, revision)
        self.wake()

    def list_since(self, revision: StoreState) -> list[Change] | None:
        """List the changes after a revision; None if some of them are no longer kept, or were never known here."""
        if self._complete_after is None or revision < self._complete_after:
            return None
        epoch = get_epoch(revision)
        if epoch != get_epoch(self.revision) and revision > self._last_states.get(epoch, NO_STATE):
            return None  # the asking node knows changes that the restored store may have lost, and this node does not
        return [self._prepare_change(item, revision) for item in self._changes.values() if item.revision > revision]

    def find_long_value(self, key: str) -> StoreItem | None:
        """Return the latest value of a key if it may be too long for the changes."""
        return self._long.get(key)

    async def wait(self) -> None:
        """Wait for the next update or confirmation from the store, or for a failure to reach it."""
        await self._updated.wait()

    def wake(self) -> None:
        """Wake the waiting tasks: the store has responded, or could not be reached."""
        self._updated.set()
        self._updated = anyio.Event()

    def _clear(self) -> None:
        """Forget all changes, since the store has gone back without stating an epoch."""
        for by_key in (self._changes, self._prepared, self._bases, self._state, self._long):
            by_key.clear()
        self._complete_after = None
        self.revision = self.newest_known = NO_STATE

    def _enter_epoch(self, revision: StoreState) -> None:
        """Carry what is kept over to a later epoch, before its first changes."""
        epoch = get_epoch(revision)
        if self._complete_after is None or epoch <= get_epoch(self.revision):
            return
        self._last_states[get_epoch(self.revision)] = self.revision
        for oldest in list(self._last_states)[:-MAX_EPOCHS]:
            del self._last_states[oldest]
        self._long = {
            key: dataclasses.replace(item, revision=move_to_epoch(item.revision, epoch))
            for key, item in self._long.items()
        }

    def _log(self, items: Iterable[StoreItem]) -> None:
        for item in items:
            self._keep_base(item)
            self.newest_known = max(self.newest_known, item.revision)
            for by_key in (self._changes, self._prepared, self._state, self._long):
                by_key.pop(item.key, None)
            self._changes[item.key] = item
            if _is_long(item):
                self._long[item.key] = item
            if item.value is not None:
                self._state[item.key] = _identify(item)
        while len(self._changes) > MAX_CHANGES:
            oldest = next(iter(self._changes))
            self._prepared.pop(oldest, None)
            self._complete_after = max(self._complete_after or NO_STATE, self._changes.pop(oldest).revision)

    def _keep_base(self, item: StoreItem) -> None:
        """Keep the version that an item replaces, if both are long."""
        previous = self._long.get(item.key)
        if previous is None or not _is_long(item):
            self._bases.pop(item.key, None)
        elif previous.revision != item.revision:
            kept = self._bases.get(item.key, [])
            self._bases[item.key] = [*kept, (read_clock(), previous)][-MAX_BASES:]

    def _drop_old_bases(self) -> None:
        oldest = read_clock() - BASE_AGE_S
        for key, kept in list(self._bases.items()):
            self._bases[key] = [(at, item) for at, item in kept if at > oldest]

    def _prepare_change(self, item: StoreItem, since: StoreState) -> Change:
        """Return an item as a change for a node that knows the state up to a revision."""
        kept = [base for _, base in self._bases.get(item.key, []) if base.revision <= since]
        base = kept[-1] if kept else None
        prepared = self._prepared.setdefault(item.key, {})
        base_revision = base.revision if base is not None else None
        if base_revision not in prepared:
            prepared[base_revision] = _make_change(item, base)
        return prepared[base_revision]


def _identify(item: StoreItem) -> tuple[int, int]:
    return get_number(item.revision), hash(item.value)


def _is_long(item: StoreItem) -> bool:
    return item.value is not None and len(item.value) > MAX_RELAYED_BYTES


def _make_change(item: StoreItem, base: StoreItem | None) -> Change:
    if item.value is None or len(item.value) < MIN_PACKED_BYTES:
        return Change(item.key, item.revision, item.value)
    if base is not None and base.value is not None:
        difference = compute_difference(base.value, item.value)
        if len(difference) <= MAX_RELAYED_BYTES:
            digest = compute_digest(item.value)
            return Change(
                item.key,
                item.revision,
                None,
                is_left_out=True,
                base=base.revision,
                difference=difference,
                digest=digest,
            )
    packed = pack(item.value)
    if len(packed) > MAX_RELAYED_BYTES:
        return Change(item.key, item.revision, None, is_left_out=True)
    return Change(item.key, item.revision, packed, is_packed=True)


__all__ = ["MAX_CHANGES", "MAX_RELAYED_BYTES", "MAX_VALUE_BYTES", "Change", "ChangeLog"]
