"""The streamed answer to one client, which is relayed from one or more tries."""

from __future__ import annotations

from collections.abc import Callable

from vaneturn_core.traffic.pace import Pause, StreamPace
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.http1.link import AnswerHead
from vaneturn_node.platform.headers import build_client_headers
from vaneturn_node.traffic.serving.emptyends import EmptyEnds
from vaneturn_node.traffic.serving.events import EventSplitter


class ClientStream:
    """Relays complete events to the client, and keeps the id of the last one."""

    def __init__(
        self,
        answer: ClientAnswer,
        last_event: str | None,
        on_pause: Callable[[Pause], None],
        empty_ends: EmptyEnds | None = None,
    ) -> None:
        """Create the stream; nothing is sent to the client yet.

        :param on_pause: called with each pause between two events when it is over.
        :param empty_ends: what is known of its end; nothing by default.
        """
        self._answer = answer
        self._on_pause = on_pause
        self.last_event = last_event
        self.is_begun = False  # the client has received a part of the answer
        self._head: AnswerHead | None = None  # of the newest try; sent with the first event
        self.first_event_at: float | None = None  # monotonic time at which the first event was relayed
        self.last_event_at: float | None = None  # the same of the newest event
        self.pace = StreamPace()
        self.empty_ends = empty_ends or EmptyEnds()
        self._has_newest_id = True  # no event without an id came after the last one with one
        self._earlier_event: str | None = None  # id of the event before the newest one; None if that is the first
        self._has_earlier = False  # whether this is known

    @property
    def is_resumed(self) -> bool:
        """Tell whether the client has events of an earlier answer or try, which the next answer continues."""
        return self.is_begun or self.last_event is not None

    @property
    def can_resume(self) -> bool:
        """Tell whether another try can go on where the client is.

        It would repeat the events that came after the last id, so a client that has some cannot get the rest.
        """
        return self._has_newest_id

    @property
    def repeated_event(self) -> str | None:
        """Give the id of the newest event if the next try is to repeat it, to show whether the stream ends there.

        A server without events after the newest one proves nothing; one that repeats this event and ends its answer
        does. None while no server was without events, or if it is not known where such an answer is to begin.
        """
        return self.last_event if self._has_earlier and self.empty_ends.servers else None

    @property
    def resume_point(self) -> str | None:
        """Give the id of the event after which the next try resumes; None for the start of the stream."""
        return self.last_event if self.repeated_event is None else self._earlier_event

    def measure_progress(self) -> tuple[float, int]:
        """Return the progress: the time of the newest event, and the number of servers without a later one."""
        return self.last_event_at or 0.0, len(self.empty_ends.servers)

    def set_head(self, head: AnswerHead) -> None:
        """Keep the head of a try, to be sent with the first event; the heads of tries after that event are not sent.

        If the head was sent at once and its server crashed before the first event, the client would see a closed
        connection instead of a status.
        """
        self._head = head

    async def _begin(self) -> None:
        if self.is_begun or self._head is None:
            return
        self.is_begun = True
        await self._answer.begin(self._head.status, build_client_headers(self._head.headers))

    async def relay(self, splitter: EventSplitter, data: bytes) -> int:
        """Relay the events that are complete; return their number."""
        events = splitter.split(data)
        if not events:
            return 0
        now = read_clock()
        if self.first_event_at is None:
            self.first_event_at = now
        self.last_event_at = now
        pause = self.pace.record_event(now)
        if pause is not None:
            self._on_pause(pause)
        await self._begin()
        await self._answer.send_part(b"".join(event.data for event in events))
        if any(event.has_fields for event in events):
            self.empty_ends.clear()
        for event in events:
            if event.id:
                self._has_earlier = event.id != self.last_event
                self._earlier_event, self.last_event = self.last_event, event.id
            self._has_newest_id = bool(event.id) or (self._has_newest_id and not event.has_fields)
        return len(events)

    async def end(self, splitter: EventSplitter) -> None:
        """End the answer, which is complete."""
        await self._begin()
        if splitter.remainder:
            await self._answer.send_part(splitter.remainder)
        await self._answer.end()


__all__ = ["ClientStream"]
