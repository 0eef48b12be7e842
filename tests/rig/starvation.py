"""Records when the main thread of this process was starved of a processor, and when it had no idle time.

The scheduler counts both for each thread: a thread that is runnable but does not run waits, and one that neither waits
nor runs is idle. So a test that failed as its own process did not run can be told from one that found a fault.
"""

from __future__ import annotations

import contextlib
import os
import threading
import time
from dataclasses import dataclass
from types import TracebackType
from typing import NamedTuple, Self

READ_INTERVAL_S = 0.02  # seconds between readings
MIN_SPAN_S = 0.1  # seconds; shorter spans are only counted in the totals
SLACK_S = 0.005  # seconds; the scheduler's figures of a running thread are that old at most
MAX_LISTED = 50  # spans in a report


class Times(NamedTuple):
    """What a thread has done since it started, in seconds."""

    ran: float
    waited: float


@dataclass
class Span:
    """A span of the monotonic clock."""

    start: float
    end: float

    @property
    def length(self) -> float:
        return self.end - self.start


class ThreadTimes:
    """Reads from the scheduler what the thread that makes it has done; zeros if the kernel does not count it."""

    def __init__(self) -> None:
        self._file: int | None = None
        with contextlib.suppress(OSError):
            self._file = os.open(f"/proc/self/task/{threading.get_native_id()}/schedstat", os.O_RDONLY | os.O_CLOEXEC)

    def read(self) -> Times:
        if self._file is None:
            return Times(0.0, 0.0)
        ran, waited, _ = os.pread(self._file, 100, 0).split()
        return Times(int(ran) / 1e9, int(waited) / 1e9)

    def close(self) -> None:
        if self._file is not None:
            os.close(self._file)


class StarvationRecord:
    """Sums up readings of one thread.

    :ivar waits: spans between readings in which the thread waited for a processor for at least `MIN_SPAN_S`.
    :ivar busy: spans of at least `MIN_SPAN_S` in which the thread ran or waited for a processor all the time.
    """

    def __init__(self, now: float, times: Times) -> None:
        self._began = self._last = now
        self._first = self._times = times
        self._latest_busy = Span(now, now)
        self._longest_wait = 0.0
        self._longest_gap = 0.0
        self.waits: list[Span] = []
        self.busy: list[Span] = []

    def add(self, now: float, times: Times) -> None:
        """Add a reading. A wait is counted only once it has ended, so it may have begun before the previous reading."""
        waited = times.waited - self._times.waited
        occupied = waited + times.ran - self._times.ran
        self._longest_gap = max(self._longest_gap, now - self._last)
        self._last, self._times = now, times
        self._longest_wait = max(self._longest_wait, waited)
        if waited >= MIN_SPAN_S:
            self.waits.append(Span(now - waited, now))
        start = max(self._began, now - occupied)
        if start <= self._latest_busy.end + SLACK_S:
            self._latest_busy = Span(min(start, self._latest_busy.start), now)
        else:
            self._latest_busy = Span(start, now)
        self._keep_busy()

    def _keep_busy(self) -> None:
        while self.busy and self.busy[-1].start >= self._latest_busy.start:
            self.busy.pop()
        if self._latest_busy.length >= MIN_SPAN_S:
            self.busy.append(self._latest_busy)

    def describe(self) -> str:
        """Describe the whole record in one line."""
        waited, ran = self._times.waited - self._first.waited, self._times.ran - self._first.ran
        busy = [span.length for span in self.busy]
        return (
            f"the test's process waited {waited:.2f} s of {self._last - self._began:.2f} s for a processor, longest"
            f" {self._longest_wait:.2f} s; it ran {ran:.2f} s and had no idle time, so that its event loop was held up,"
            f" for {sum(busy):.2f} s, longest {max(busy, default=0.0):.2f} s;"
            f" longest gap between readings {self._longest_gap:.2f} s"
        )

    def list_spans(self) -> list[str]:
        """List the longest spans in the order of their starts, in seconds from the first reading."""
        named = [(span, "waited for a processor") for span in self.waits] + [(s, "no idle time") for s in self.busy]
        longest = sorted(named, key=lambda entry: -entry[0].length)[:MAX_LISTED]
        return [
            f"{span.start - self._began:.2f} to {span.end - self._began:.2f} s: {name}"
            for span, name in sorted(longest, key=lambda entry: entry[0].start)
        ]


class StarvationWatch:
    """Watches the thread that makes it, from a thread of its own, until it is closed."""

    def __init__(self) -> None:
        self._times = ThreadTimes()
        self._record = StarvationRecord(time.monotonic(), self._times.read())
        self._lock = threading.Lock()
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, name="starvation watch", daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._is_over.set()
        self._thread.join()
        self._times.close()

    def describe(self) -> list[str]:
        """Describe the time until now: one line for all of it, then its spans."""
        self._add()
        with self._lock:
            return [self._record.describe(), *self._record.list_spans()]

    def _run(self) -> None:
        while not self._is_over.wait(READ_INTERVAL_S):
            self._add()

    def _add(self) -> None:
        with self._lock:
            times = self._times.read()
            self._record.add(time.monotonic(), times)


__all__ = ["StarvationRecord", "StarvationWatch", "Times"]
