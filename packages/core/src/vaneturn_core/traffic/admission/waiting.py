"""The queue in which a node lets requests of one service wait for capacity."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

from vaneturn_core.identifiers import CustomerName
from vaneturn_core.limits.fairqueue import FairQueue, QueueEntry

MAX_WAITING: Final = 64
MAX_WAIT_SHARE: Final = 0.25  # of the objective; the rest is for the answer
END_WINDOW_S: Final = 5.0  # in which ends are counted
MIN_END_WINDOW_S: Final = 0.01
MAX_ENDS: Final = 64  # newest ends that are kept

T = TypeVar("T")


@dataclass(frozen=True, slots=True, eq=False)
class WaitingRequest(Generic[T]):
    """A request in the queue."""

    item: T  # of the caller, to wake the request
    route: str
    priority: int
    customer: CustomerName | None
    until: float  # when it must be admitted or refused


class WaitingQueue(Generic[T]):
    """Requests that wait, by priority and then fairly among customers; time is the caller's monotonic clock."""

    def __init__(self) -> None:
        self._queues: dict[int, FairQueue[WaitingRequest[T]]] = {}  # by priority; never empty ones
        self._entries: dict[WaitingRequest[T], QueueEntry[WaitingRequest[T]]] = {}
        self._ends: deque[float] = deque(maxlen=MAX_ENDS)

    def __len__(self) -> int:
        return len(self._entries)

    def count(self, priority: int) -> int:
        """Count the waiting requests of a priority."""
        queue = self._queues.get(priority)
        return 0 if queue is None else len(queue)

    def record_end(self, now: float) -> None:
        """Record that a request of this node ended; the caller then offers the place."""
        self._ends.append(now)

    def estimate_wait(self, priority: int, customer: CustomerName | None, now: float) -> float:
        """Estimate the seconds that a new request would wait, from the rate at which requests end on this node."""
        while self._ends and self._ends[0] < now - END_WINDOW_S:
            self._ends.popleft()
        if not self._ends:
            return math.inf
        ahead = sum(len(queue) for other, queue in self._queues.items() if other < priority)
        if priority in self._queues:
            ahead += self._queues[priority].count_ahead(customer or "")
        window = END_WINDOW_S if len(self._ends) < MAX_ENDS else max(now - self._ends[0], MIN_END_WINDOW_S)
        return (ahead + 1) * window / len(self._ends)

    def push(
        self, item: T, *, route: str, priority: int, customer: CustomerName | None, objective: float, now: float
    ) -> WaitingRequest[T] | None:
        """Let a request wait; none if it must be refused at once.

        :param objective: of the route, in seconds; 0 for none.
        """
        longest = MAX_WAIT_SHARE * objective
        if len(self) >= MAX_WAITING or longest <= 0 or self.estimate_wait(priority, customer, now) > longest:
            return None
        request = WaitingRequest(item, route, priority, customer, now + longest)
        self._entries[request] = self._queues.setdefault(priority, FairQueue()).push(customer or "", 1.0, request)
        return request

    def offer(self, now: float, is_admitted: Callable[[WaitingRequest[T]], bool]) -> list[WaitingRequest[T]]:
        """Remove and return the requests that are admitted now, the most urgent ones first.

        :param is_admitted: the decision about a request; the next one of its priority is asked about after it was
            admitted, so it must count what it admits.
        """
        admitted: list[WaitingRequest[T]] = []
        for priority in sorted(self._queues):
            while (request := self._find_next(priority, now)) is not None and is_admitted(request):
                self.remove(request)
                admitted.append(request)
        return admitted

    def remove(self, request: WaitingRequest[T]) -> bool:
        """Remove a request whose client has left or whose time is over; False if it no longer waits."""
        entry = self._entries.pop(request, None)
        if entry is None:
            return False
        queue = self._queues[request.priority]
        queue.remove(entry)
        if not queue:  # its tags of customers would stay for good
            del self._queues[request.priority]
        return True

    def remove_dropped(self, is_kept: Callable[[WaitingRequest[T]], bool]) -> list[WaitingRequest[T]]:
        """Remove and return the requests that a new configuration no longer serves."""
        dropped = [request for request in self._entries if not is_kept(request)]
        for request in dropped:
            self.remove(request)
        return dropped

    def _find_next(self, priority: int, now: float) -> WaitingRequest[T] | None:
        entries = [entry for request, entry in self._entries.items() if request.priority == priority]
        waiting = [entry for entry in entries if entry.item.until > now]
        return min(waiting).item if waiting else None


__all__ = ["MAX_WAITING", "MAX_WAIT_SHARE", "WaitingQueue", "WaitingRequest"]
