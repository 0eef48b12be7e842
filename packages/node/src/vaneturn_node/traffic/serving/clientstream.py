"""What a client has got of a streamed answer, over all tries."""

from __future__ import annotations

from collections.abc import Callable

from vaneturn_core.traffic.pace import Pause, StreamPace
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import AnswerHead
from vaneturn_node.http1.server import ClientAnswer
from vaneturn_node.platform.headers import build_client_headers
from vaneturn_node.traffic.serving.events import EventSplitter


class ClientStream:
    """Passes whole events on, and knows the last one."""

    def __init__(self, answer: ClientAnswer, last_event: str | None, on_pause: Callable[[Pause], None]) -> None:
        """Begin.

        :param on_pause: called with each pause between two events once it is over.
        """
        self._answer = answer
        self._on_pause = on_pause
        self.last_event = last_event
        self.is_begun = False  # the client has a part of it
        self._head: AnswerHead | None = None  # of the newest try, until the first event
        self.first_at: float | None = None  # when the first event was passed on, steady time
        self.pace = StreamPace()

    def take_head(self, head: AnswerHead) -> None:
        """Keep the head of a try; it is passed on with the first event, and what follows belongs to that answer.

        Where a server ended between its head and its first event, clients saw a closed connection in place of a status.
        """
        self._head = head

    async def _begin(self) -> None:
        if self.is_begun or self._head is None:
            return
        self.is_begun = True
        await self._answer.begin(self._head.status, build_client_headers(self._head.headers))

    async def pass_on(self, splitter: EventSplitter, data: bytes) -> int:
        """Pass whole events on; gives how many there were."""
        events = splitter.split(data)
        if not events:
            return 0
        now = read_clock()
        if self.first_at is None:
            self.first_at = now
        pause = self.pace.record_event(now)
        if pause is not None:
            self._on_pause(pause)
        await self._begin()
        await self._answer.send_part(b"".join(event.data for event in events))
        for event in events:
            self.last_event = event.id if event.id is not None else self.last_event
        return len(events)

    async def end(self, splitter: EventSplitter) -> None:
        """End the answer as whole."""
        await self._begin()
        if splitter.rest:
            await self._answer.send_part(splitter.rest)
        await self._answer.end()


__all__ = ["ClientStream"]
