"""The newest changes of the store as this node has heard of them, kept for the nodes that ask it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Final

import anyio
from msgspec import Struct

from vaneturn_node.platform.store import StoreItem

KEPT_CHANGES: Final = 512  # about 0.4 KB each; a node asks again within 1.3 s
MAX_RELAYED_BYTES: Final = (
    4096  # of a value; longer ones are asked for by those who cannot read the store, to spare small links
)


class Change(Struct, frozen=True):
    """A key as it was written; without a value it was removed, or is to be read from the store."""

    key: str
    revision: int
    value: bytes | None
    is_left_out: bool = False  # the value is too long to be passed on


class ChangeLog:
    """Changes in the order of their revisions."""

    def __init__(self) -> None:
        self._changes: deque[Change] = deque()
        self._long: dict[str, StoreItem] = {}  # by key, what is left out of the changes
        self._complete_after: int | None = None  # every change after this revision is here
        self.revision = 0
        self._heard = anyio.Event()

    def reset(self, items: Iterable[StoreItem], revision: int) -> None:
        """Begin anew with the whole state at a revision."""
        self._changes.clear()
        self._long = {item.key: item for item in items if _is_long(item)}
        self._complete_after = self.revision = revision
        self.wake()

    def append(self, items: Iterable[StoreItem], revision: int) -> None:
        """Take the changes up to a revision; none when the store has only confirmed that nothing has changed."""
        for item in items:
            self._changes.append(
                Change(item.key, item.revision, None if _is_long(item) else item.value, _is_long(item))
            )
            self._long.pop(item.key, None)
            if _is_long(item):
                self._long[item.key] = item
        while len(self._changes) > KEPT_CHANGES:
            self._complete_after = self._changes.popleft().revision
        self.revision = max(self.revision, revision)
        self.wake()

    def list_since(self, revision: int) -> list[Change] | None:
        """List the changes after a revision; none when some of them are not kept any more."""
        if self._complete_after is None or revision < self._complete_after:
            return None
        return [change for change in self._changes if change.revision > revision]

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


def _is_long(item: StoreItem) -> bool:
    return item.value is not None and len(item.value) > MAX_RELAYED_BYTES


__all__ = ["KEPT_CHANGES", "MAX_RELAYED_BYTES", "Change", "ChangeLog"]
