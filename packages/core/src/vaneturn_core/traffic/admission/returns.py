"""Return times (`Retry-After`) for refused requests."""

from __future__ import annotations

from random import Random
from typing import Final

MAX_RETURN_SHARE: Final = 1 / 3  # of the time left: a client heeds a longer value no better than none
MIN_RETURN_S: Final = 0.1
EARLIEST_S: Final = 1.0  # before that, the draw of a request has hardly fallen, and it would be refused again
EARLIEST_SHARE: Final = 0.6  # of the longest value, if that is less


class ReturnSchedule:
    """The times at which refused clients return to one service through this node."""

    def __init__(self, random: Random) -> None:
        """Create an empty schedule with a source of jitter."""
        self._random = random
        self._next = 0.0  # first time that is not assigned yet

    def assign(self, now: float, room_rate: float, time_left: float) -> float:
        """Return the seconds after which a refused client shall return.

        :param room_rate: requests per second for which capacity becomes free, this node's share.
        :param time_left: seconds that the client has left.
        """
        longest = MAX_RETURN_SHARE * max(0.0, time_left)
        shortest = min(MIN_RETURN_S, longest)
        value = max(self._next - now, shortest, min(EARLIEST_S, EARLIEST_SHARE * longest))
        if room_rate <= 0 or value > longest:
            return self._random.uniform(max(shortest, longest / 2), longest)
        interval = 1 / room_rate
        self._next = now + value + interval
        return min(longest, value + self._random.uniform(0.0, min(interval, longest - value)))


__all__ = ["ReturnSchedule"]
