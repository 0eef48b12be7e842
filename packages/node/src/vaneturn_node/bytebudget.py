"""The budget of bytes that the requests and answers of a process may hold at the same time."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final, Never

SMALL_BYTES: Final = 98_304  # of a small request: a body of 64 KiB and its head
SMALL_SHARE: Final = 0.25  # of the budget, which large requests never use
RETRY_AFTER_S: Final = 1
LOG_INTERVAL: Final = 100  # decisions of one kind between two that are logged, after the first of them

logger = logging.getLogger(__name__)


class BudgetUsedUpError(Exception):
    """A request or an answer would need more bytes than the budget has left, or was evicted from it."""


class ByteBudget:
    """One sum of bytes over all holders.

    A holder that needs room evicts the holder with the most bytes among those that are not complete and will become
    larger than itself; without any, it is refused. An answer evicts requests of any size, and no request that arrives
    evicts an answer: its request has run, and a caller that gets no answer cannot tell.

    :ivar held: bytes of all holders.
    :ivar evicted: number of holders that were evicted.
    :ivar refused: number of holders that were refused.
    """

    def __init__(self, limit_bytes: int, large_limit_bytes: int | None = None) -> None:
        """Create an empty budget.

        :param large_limit_bytes: of all large holders; none means all but SMALL_SHARE.
        """
        self.limit = limit_bytes
        self.held = 0
        self.evicted = 0
        self.refused = 0
        default_large_limit = int(limit_bytes * (1 - SMALL_SHARE))
        self._large_limit = default_large_limit if large_limit_bytes is None else large_limit_bytes
        self._large_held = 0
        self._evictable: dict[ByteHolder, None] = {}  # in the order in which they began

    def open(self, on_evict: Callable[[], object] | None = None, *, is_answer: bool = False) -> ByteHolder:
        """Open a holder without bytes.

        :param on_evict: called when the holder is evicted, after its bytes were released; it must drop them. Without
            it, the holder is never evicted.
        :param is_answer: whether it holds an answer.
        """
        return ByteHolder(self, on_evict, is_answer=is_answer)

    def expect(self, holder: ByteHolder, size: int) -> None:
        """Note the bytes that a holder will have; none are held before they arrive.

        :raises BudgetUsedUpError: they would not fit even alone.
        """
        if size > (self.limit if size <= SMALL_BYTES else self._large_limit):
            self._refuse(size)
        self._large_held -= holder.count_large()
        holder.expected = size
        self._large_held += holder.count_large()

    def resize(self, holder: ByteHolder, size: int) -> None:
        """Change the bytes of a holder.

        :raises BudgetUsedUpError: there is no room for it.
        """
        if size > holder.held:
            self._make_room(holder, size)
        self.held += size - holder.held
        self._large_held -= holder.count_large()
        holder.held = size
        self._large_held += holder.count_large()
        if size and holder.on_evict is not None:
            self._evictable[holder] = None
        else:
            self._evictable.pop(holder, None)

    def _make_room(self, asker: ByteHolder, size: int) -> None:
        while not self._has_room(asker, size):
            victim = self._find_victim(asker, size)
            if victim is None:
                self._refuse(size)
            else:
                self._evict(victim)

    def _refuse(self, size: int) -> Never:
        self.refused += 1
        self._log("refused for want of memory", self.refused, size)
        raise BudgetUsedUpError

    def _has_room(self, asker: ByteHolder, size: int) -> bool:
        return self.held - asker.held + size <= self.limit and self._has_large_room(asker, size)

    def _has_large_room(self, asker: ByteHolder, size: int) -> bool:
        if max(size, asker.expected) <= SMALL_BYTES:
            return True
        return self._large_held - asker.count_large() + size <= self._large_limit

    def _find_victim(self, asker: ByteHolder, size: int) -> ByteHolder | None:
        may_be_small = self._has_large_room(asker, size)
        others = (
            holder
            for holder in self._evictable
            if holder is not asker and asker.may_evict(holder, size) and (may_be_small or holder.count_large())
        )
        return max(others, key=lambda holder: holder.held, default=None)

    def _evict(self, victim: ByteHolder) -> None:
        on_evict, size = victim.on_evict, victim.held
        victim.is_evicted = True
        victim.release()
        self.evicted += 1
        self._log("evicted for want of memory", self.evicted, size)
        if on_evict is not None:
            on_evict()

    def _log(self, message: str, count: int, size: int) -> None:
        if count % LOG_INTERVAL == 1:
            logger.warning(message, extra={"bytes": size, "held": self.held, "limit": self.limit, "count": count})


class ByteHolder:
    """The bytes of one request or answer."""

    __slots__ = ("_budget", "expected", "held", "is_abandoned", "is_answer", "is_evicted", "on_evict")

    def __init__(self, budget: ByteBudget, on_evict: Callable[[], object] | None, *, is_answer: bool) -> None:
        self._budget = budget
        self.is_answer = is_answer
        self.held = 0
        self.expected = 0  # bytes that it will hold, as far as known
        self.is_abandoned: Callable[[], bool] | None = None
        self.is_evicted = False
        self.on_evict = on_evict

    def count_large(self) -> int:
        """Return the bytes that count as those of a large holder."""
        return self.held if max(self.held, self.expected) > SMALL_BYTES else 0

    def may_evict(self, other: ByteHolder, size: int) -> bool:
        """Tell whether another holder may be evicted so that this one holds this many bytes."""
        if other.is_abandoned is not None:
            return other.is_abandoned()
        is_arriving_request = self.on_evict is not None and not self.is_answer
        if other.is_answer and is_arriving_request:
            return False
        is_preferred = self.is_answer and not other.is_answer
        return is_preferred or max(other.held, other.expected) > max(size, self.expected)

    def expect(self, size: int) -> None:
        """Note the bytes that it will hold.

        :raises BudgetUsedUpError: they would not fit even alone.
        """
        self._budget.expect(self, size)

    def resize(self, size: int) -> None:
        """Hold this many bytes instead.

        :raises BudgetUsedUpError: there is no room for them, or the holder was evicted.
        """
        if self.is_evicted:
            raise BudgetUsedUpError
        self._budget.resize(self, size)

    def grow(self, size: int) -> None:
        """Hold at least this many bytes.

        :raises BudgetUsedUpError: there is no room for them, or the holder was evicted.
        """
        if size > self.held or self.is_evicted:
            self.resize(size)

    def complete(self) -> None:
        """Keep the bytes until they are released: the holder can't be evicted any more.

        :raises BudgetUsedUpError: it was evicted before.
        """
        self.on_evict = None
        self.resize(self.held)

    def yield_when(self, is_abandoned: Callable[[], bool], on_evict: Callable[[], object]) -> None:
        """Let any other holder evict this one, which is complete, while a condition holds."""
        self.is_abandoned, self.on_evict = is_abandoned, on_evict
        self.resize(self.held)

    def release(self) -> None:
        """Hold nothing."""
        self._budget.resize(self, 0)


__all__ = ["RETRY_AFTER_S", "BudgetUsedUpError", "ByteBudget", "ByteHolder"]
