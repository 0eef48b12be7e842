"""Relays the answer to one try event by event, and probes the chain while nothing arrives."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final, NoReturn, TypeVar

from vaneturn_core.traffic.blame.crashes import STARTING_TIME_S
from vaneturn_core.traffic.completeness import BodyEnd, Ending
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import AnswerHead, HttpLink, LinkError
from vaneturn_node.http1.messages import find_header
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.lossfinding import SLOW_GAP_S
from vaneturn_node.traffic.serving.answerends import AnswerEnds
from vaneturn_node.traffic.serving.chainreservation import ChainReservation
from vaneturn_node.traffic.serving.clientstream import ClientStream
from vaneturn_node.traffic.serving.events import EventSplitter
from vaneturn_node.traffic.serving.outcomes import Answered, MayHaveRun
from vaneturn_node.traffic.serving.repair import ChainRepair, TryEndedError
from vaneturn_node.traffic.serving.requests import RequestContext

PROBE_INTERVAL_S: Final = 0.1  # between probes while nothing arrives
# the same after an inconclusive probe (the first server missed one response, or a part had just worked for another
# request): with 0.1 s here, the loss was found that much later in a third of the pauses
SHORT_PROBE_INTERVAL_S: Final = 0.025
EVENT_STREAM: Final = b"text/event-stream"

T = TypeVar("T")


class StreamRelay:
    """Relays one answer.

    :ivar events: number relayed so far.
    """

    def __init__(
        self,
        parts: TrafficParts,
        context: RequestContext,
        reservation: ChainReservation,
        client: ClientStream,
        repair: ChainRepair,
    ) -> None:
        self._parts = parts
        self._context = context
        self._reservation = reservation
        self._client = client
        self._repair = repair
        self._ends = AnswerEnds(parts, context)
        self.events = 0
        self._first_event_at = float("inf")  # monotonic time

    async def run(self, link: HttpLink, head: AnswerHead, repeated: str | None = None) -> None:
        """Relay the events of an answer, and its end.

        :param repeated: id of the newest event of the client, which the answer is to repeat.
        :raises LinkError: the connection was lost, or the answer is not whole.
        :raises TryEndedError: another try has replaced this one, or this one cannot continue.
        """
        splitter = EventSplitter(repeated)
        server = self._reservation.first_server
        is_resumed = self._client.is_resumed
        self._client.set_head(head)
        while True:
            overdue = self._parts.patience.compute(self._client.pace, self._context.route.pause_objective)
            try:
                data = await self.wait_for(link.read_data, overdue)
            except LinkError:
                self._ends.record_lost(link, find_body_end(head, splitter, is_resumed=is_resumed), server)
                raise
            if data is None:
                body_end = find_body_end(head, splitter, is_resumed=is_resumed)
                await self._ends.require_whole(link, body_end, server, may_be_empty=is_resumed)
                if body_end is BodyEnd.EMPTY:
                    if repeated is not None:
                        self._reject_repetition(repeated)
                    self._require_agreement(link, head, splitter)
                await self._client.end(splitter)
                if self.events:  # an answer resumed after its last event has none, so the server has not run it
                    self._parts.crash_watch.record_success(server, self._context.fingerprint)
                return
            await self._relay(splitter, data)
            if repeated is not None and splitter.has_passed:
                self._reject_repetition(repeated)
            if splitter.is_too_long:
                error = link.reject("event too long")
                self._ends.record_lost(link, find_body_end(head, splitter, is_resumed=is_resumed), server)
                raise error

    def _reject_repetition(self, repeated: str) -> NoReturn:
        """End a try whose answer lacks the event that it is to repeat, which shows nothing about the end.

        The next try resumes after the newest event, as another run may divide its answer into other events.

        :raises TryEndedError: always.
        """
        server = self._reservation.first_server.id
        self._client.empty_ends.clear()
        self._context.avoided.add(server)
        raise TryEndedError(MayHaveRun(f"{server} has not repeated event {repeated}"))

    def _require_agreement(self, link: HttpLink, head: AnswerHead, splitter: EventSplitter) -> None:
        """Return if an answer without events, like one of another server before, shows that the stream is over.

        Where the newest event can be repeated, a server that repeats it is to show that.

        :raises TryEndedError: another server is to be asked.
        """
        server = self._reservation.first_server.id
        is_stated = link.ending is Ending.FRAMED
        answer = Answered(head.status, head.headers, splitter.remainder) if is_stated else None
        if self._client.empty_ends.record(server, answer) and self._client.repeated_event is None:
            return
        self._context.avoided.add(server)
        raise TryEndedError(MayHaveRun(f"{server} has no event after the newest one"))

    async def _relay(self, splitter: EventSplitter, data: bytes) -> None:
        relayed = await self._client.relay(splitter, data)
        if not relayed:
            return
        self.events += relayed
        self._context.events += relayed
        self._reservation.record_working()
        self._record_running()
        if self._client.pace.usual >= SLOW_GAP_S:
            await self._repair.measure_slowness()

    def _record_running(self) -> None:
        """Record when the server has run the request for long enough to show that it does not crash servers."""
        now = read_clock()
        self._first_event_at = min(self._first_event_at, now)
        if not self._context.is_sound and now - self._first_event_at >= STARTING_TIME_S:
            self._context.is_sound = True
            self._parts.crash_watch.record_success(self._reservation.first_server, self._context.fingerprint)

    async def wait_for(self, read: Callable[[float], Awaitable[T]], delay_s: float) -> T:
        """Wait for the head or for data; while nothing arrives, probe for lost parts.

        :raises LinkError: the connection was lost.
        :raises TryEndedError: another try has replaced this one, or this one cannot continue.
        """
        while True:
            try:
                return await read(delay_s)
            except LinkError as error:
                if not error.is_unresponsive:
                    raise
            if self._context.time_left <= 0:
                self._reservation.count_run()
                raise TryEndedError(MayHaveRun("time is up"))
            await self._repair.repair_losses()
            delay_s = SHORT_PROBE_INTERVAL_S if self._repair.should_probe_soon else PROBE_INTERVAL_S


def find_body_end(head: AnswerHead, splitter: EventSplitter, *, is_resumed: bool) -> BodyEnd:
    """Find where a body ends if no more arrives; without a content type, it is taken for a stream of events.

    :param is_resumed: whether it continues a stream of events, whatever its own content type.
    """
    if is_resumed:
        return splitter.body_end
    content_type = find_header(head.headers, b"content-type") or EVENT_STREAM
    is_event_stream = content_type.partition(b";")[0].strip().lower() == EVENT_STREAM
    return splitter.body_end if is_event_stream else BodyEnd.UNKNOWN


__all__ = ["StreamRelay", "find_body_end"]
