"""Events counted by key over a sliding window, with memory that does not grow with the number of events."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Hashable, Iterator
from typing import Final, Generic, TypeVar

WINDOW_S: Final = 2.0
SLOT_S: Final = 0.25  # events of one slot leave the window together, so it covers 2 to 2.25 s

_Key = TypeVar("_Key", bound=Hashable)


class WindowedCounts(Generic[_Key]):
    """Counts events by key; keys without an event in the window take no memory."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._slots: deque[tuple[int, Counter[_Key]]] = deque()  # number of the slot and its events
        self._totals: Counter[_Key] = Counter()

    def record(self, key: _Key) -> None:
        """Record an event."""
        slot = self._expire()
        if not self._slots or self._slots[-1][0] != slot:
            self._slots.append((slot, Counter()))
        self._slots[-1][1][key] += 1
        self._totals[key] += 1

    def list_rates(self) -> dict[_Key, float]:
        """List the events per second of each key, as the mean over the window."""
        slot = self._expire()
        covered = WINDOW_S + self._clock() - slot * SLOT_S
        return {key: count / covered for key, count in self._totals.items()}

    def keep(self, is_kept: Callable[[_Key], bool]) -> None:
        """Drop the events of all other keys."""
        self._slots = deque((slot, _filter(counts, is_kept)) for slot, counts in self._slots)
        self._totals = _filter(self._totals, is_kept)

    def __iter__(self) -> Iterator[_Key]:
        self._expire()
        return iter(self._totals)

    def _expire(self) -> int:
        """Remove the slots before the window; return the number of the current slot."""
        current = int(self._clock() // SLOT_S)
        oldest = current - round(WINDOW_S / SLOT_S)
        while self._slots and self._slots[0][0] < oldest:
            for key, count in self._slots.popleft()[1].items():
                self._totals[key] -= count
                if not self._totals[key]:
                    del self._totals[key]
        return current


def _filter(counts: Counter[_Key], is_kept: Callable[[_Key], bool]) -> Counter[_Key]:
    return Counter({key: count for key, count in counts.items() if is_kept(key)})


__all__ = ["SLOT_S", "WINDOW_S", "WindowedCounts"]
