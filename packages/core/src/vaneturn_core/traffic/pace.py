"""The pace of one streamed answer: the pauses between its events, and what was done during the longest one."""

from __future__ import annotations

from enum import Enum
from typing import Final

from msgspec import Struct

MEAN_WEIGHT: Final = 0.2  # of the newest pause in the moving average
DEVIATION_WEIGHT: Final = 0.2  # of the newest deviation from it
MAX_DEVIATIONS: Final = 4.0  # deviations above the mean that count as normal, as in TCP's retransmission timer
MIN_PAUSES: Final = 3  # of an answer before a normal pause can be estimated


class PauseStep(Enum):
    """The steps taken during a pause, in this order."""

    PROBED = "looked"  # the servers of the chain were probed
    FOUND = "found"  # one of them is known to be lost or stalled
    RESUMED = "went_on"  # another server was asked to resume the answer


class Pause(Struct, frozen=True):
    """A pause between two events; the time of each step is in seconds since its beginning, or 0 if not taken."""

    began: float  # monotonic time
    length: float
    looked: float = 0.0
    found: float = 0.0
    went_on: float = 0.0


class StreamPace:
    """Records the times of events, and of the steps taken during pauses."""

    def __init__(self) -> None:
        self.usual = 0.0  # seconds; moving average of the pauses
        self.longest = Pause(0.0, 0.0)
        self._deviation = 0.0  # seconds; moving average of the deviation from it
        self._pauses = 0
        self._newest: float | None = None  # monotonic time of the newest event
        self._step_times: dict[PauseStep, float] = {}

    def record_step(self, step: PauseStep, now: float) -> None:
        """Record a step of the current pause; only its first time counts."""
        if self._newest is not None:
            self._step_times.setdefault(step, now - self._newest)

    def get_step_time(self, step: PauseStep) -> float | None:
        """Return the seconds from the beginning of the current pause to a step; none when it was not taken."""
        return self._step_times.get(step)

    def record_event(self, now: float) -> Pause | None:
        """Record an event and return the pause before it; none for the first event."""
        began, self._newest = self._newest, now
        if began is None:
            return None
        pause = Pause(began, now - began, **{step.value: at for step, at in self._step_times.items()})
        self._step_times.clear()
        if pause.length > self.longest.length:
            self.longest = pause
        if not pause.found:  # pauses caused by a loss are not part of the pace
            self._learn(pause.length)
        return pause

    def _learn(self, length: float) -> None:
        self._pauses += 1
        if self._pauses == 1:
            self.usual, self._deviation = length, length / 2
            return
        self._deviation += DEVIATION_WEIGHT * (abs(length - self.usual) - self._deviation)
        self.usual += MEAN_WEIGHT * (length - self.usual)

    def estimate_normal_pause(self) -> float | None:
        """Return the longest normal pause in seconds, judging by the pauses so far; none while there are too few."""
        if self._pauses < MIN_PAUSES:
            return None
        return self.usual + MAX_DEVIATIONS * self._deviation


__all__ = ["Pause", "PauseStep", "StreamPace"]
