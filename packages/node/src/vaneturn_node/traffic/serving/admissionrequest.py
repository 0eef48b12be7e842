"""A request that asks for admission, and the place that it gets."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

import anyio

from vaneturn_core.identifiers import CustomerName, DataHall
from vaneturn_core.traffic.admission.demand import DemandKey
from vaneturn_core.traffic.admission.threshold import Decision, fix_draw
from vaneturn_node.clock import read_clock
from vaneturn_node.traffic.serving.requests import RequestContext

RESUMED_PRIORITY: Final = -1  # in the queue: work that was begun goes ahead of all new requests
RESUMED_DRAW: Final = 0.0  # within any share


class Place:
    """The place of an admitted request among those in progress; it is released exactly once."""

    def __init__(self, on_release: Callable[[float | None], None] | None) -> None:
        """Take a place.

        :param on_release: called with the seconds to the end of the answer, or None if it was not whole.
        """
        self._on_release = on_release
        self._taken_at = read_clock()

    def release(self, *, is_whole: bool) -> None:
        """Release the place; later calls do nothing."""
        on_release, self._on_release = self._on_release, None
        if on_release is not None:
            on_release(read_clock() - self._taken_at if is_whole else None)


UNCOUNTED_PLACE: Final = Place(None)  # of requests that are not subject to admission control


class AdmissionRequest:
    """A request to a prioritized service that asks for admission."""

    def __init__(self, context: RequestContext, hall: DataHall) -> None:
        self.context = context
        # a client that sends the id of its last event continues an answer that was admitted before
        self.is_resumed = context.facts.last_event_id is not None
        self.key = DemandKey(context.service, hall, context.priority)
        self.decision: Decision | None = None  # of its arrival
        # clients that repeat a request at once get the same draw
        self.draw = RESUMED_DRAW if self.is_resumed else fix_draw(context.fingerprint.content, time.time())
        self.expected_wait: float | None = None  # seconds
        self.waits_since: float | None = None  # monotonic time
        self.place: Place | None = None  # once it is admitted
        self.is_dropped = False  # a new configuration no longer serves it in this way
        self._woken = anyio.Event()

    @property
    def customer(self) -> CustomerName | None:
        """Return the customer whose share it uses; none for a resumed stream, which was counted when it was new."""
        customer = self.context.customer
        return customer.name if customer is not None and not self.is_resumed else None

    @property
    def queue_priority(self) -> int:
        """Return its priority in the queue."""
        return RESUMED_PRIORITY if self.is_resumed else self.key.priority

    @property
    def waited(self) -> float:
        """Return the seconds for which it has waited."""
        return 0.0 if self.waits_since is None else read_clock() - self.waits_since

    def admit(self, place: Place) -> None:
        """End its wait with a place."""
        self.place = place
        self._woken.set()

    def drop(self) -> None:
        """End its wait without a place."""
        self.is_dropped = True
        self._woken.set()

    async def wait(self, seconds: float) -> None:
        """Wait until it is admitted or dropped, or the time is over."""
        with anyio.move_on_after(seconds):
            await self._woken.wait()


__all__ = ["UNCOUNTED_PLACE", "AdmissionRequest", "Place"]
