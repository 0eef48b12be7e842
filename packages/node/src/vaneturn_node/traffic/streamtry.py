"""One try to get a stream over one chain: reserve, send, relay events, repair the chain when a part of it stalls."""

from __future__ import annotations

import time
from typing import Final

from vaneturn_core.traffic.chains import Chain, ChainChooser, Part
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.servers import BackendServer, ServerAddress
from vaneturn_node.http1.caller import Failed
from vaneturn_node.http1.link import AnswerHead, HttpLink, LinkError
from vaneturn_node.http1.server import ClientAnswer
from vaneturn_node.platform.headers import build_client_headers, build_server_headers, read_answer_facts
from vaneturn_node.platform.servers import OrderOutcome
from vaneturn_node.traffic.events import EventSplitter
from vaneturn_node.traffic.exchange import TrafficParts
from vaneturn_node.traffic.outcomes import Answered, MayHaveRun, NotRun
from vaneturn_node.traffic.requests import RequestInProgress

TryEnd = NotRun | MayHaveRun | Answered

SUCCESS: Final = range(200, 300)
OVERDUE: Final = 0.3  # seconds without an event after which the first server is asked; events come some 60 ms apart
ASK_AGAIN: Final = 0.25  # seconds between questions while nothing comes; reports lag by 0.2 s
GIVE_UP_FIRST: Final = 1.2  # seconds without a byte or a report after which the first server counts as lost


class Relay:
    """What the client has got of an answer, over all tries."""

    def __init__(self, answer: ClientAnswer, last_event: str | None) -> None:
        self._answer = answer
        self.last_event = last_event
        self.is_begun = False
        self.longest_pause = 0.0  # seconds between two events
        self._passed_at: float | None = None

    async def begin(self, head: AnswerHead) -> None:
        """Pass the head on, once: what follows belongs to the answer of the first server."""
        if not self.is_begun:
            self.is_begun = True
            await self._answer.begin(head.status, build_client_headers(head.headers))

    async def pass_on(self, splitter: EventSplitter, data: bytes) -> None:
        """Pass whole events on."""
        events = splitter.split(data)
        if not events:
            return
        now = time.monotonic()
        if self._passed_at is not None:
            self.longest_pause = max(self.longest_pause, now - self._passed_at)
        self._passed_at = now
        await self._answer.send_part(b"".join(event.data for event in events))
        for event in events:
            self.last_event = event.id if event.id is not None else self.last_event

    async def end(self, splitter: EventSplitter) -> None:
        """End the answer as whole."""
        if splitter.rest:
            await self._answer.send_part(splitter.rest)
        await self._answer.end()


class StreamTry:
    """One send of a request."""

    def __init__(
        self,
        *,
        parts: TrafficParts,
        work: RequestInProgress,
        engine: EngineProfile,
        chooser: ChainChooser,
        chain: Chain,
        relay: Relay,
    ) -> None:
        self._parts = parts
        self._work = work
        self._engine = engine
        self._chooser = chooser
        self._chain = chain
        self._relay = relay
        self._tokens = chooser.tokens
        self._asked_at = 0.0
        self._heard_at = 0.0  # when the server was last known to live

    @property
    def _first(self) -> BackendServer:
        return self._chain.first

    async def run(self) -> TryEnd | None:
        """Get the answer over the chain; none when it has ended in full."""
        work = self._work
        work.sends += 1
        work.note("over " + " ".join(f"{part.server.id}[{part.first},{part.end})" for part in self._chain.parts))
        self._reserve(self._chain, 1)
        started = time.monotonic()
        link: HttpLink | None = None
        end: TryEnd | None = MayHaveRun("cancelled")
        try:
            link = await self._parts.pool.take(self._first.address)
            end = await self._converse(link, started)
        except LinkError as error:
            end = self._note_lost(error)
        finally:
            self._reserve(self._chain, -1)
            if link is not None:
                is_whole = end is None or isinstance(end, Answered | NotRun)
                await self._parts.release(link, self._first.address, is_whole=is_whole)
        if end is not None and not isinstance(end, Answered):
            work.note(end.cause)
        return end

    def _reserve(self, chain: Chain, sign: int) -> None:
        for part in chain.parts:
            belief = self._parts.beliefs[part.server.id]
            belief.in_progress += sign
            belief.reserved += sign * self._tokens * (part.end - part.first)

    def _note_lost(self, error: LinkError) -> TryEnd:
        """Decide what a lost connection says of the first server, and of the request."""
        belief = self._parts.beliefs[self._first.id]
        belief.record_failure(time.monotonic())
        self._work.avoided.add(self._first.id)
        if not error.was_sent:
            return NotRun(error.cause, is_silent=True)
        self._work.runs += 1
        return MayHaveRun(error.cause)

    async def _converse(self, link: HttpLink, started: float) -> TryEnd | None:
        work = self._work
        if not work.may_send():
            return NotRun("keys too old")
        dispatch = work.make_dispatch(self._first.id, self._chain, self._relay.last_event)
        headers = build_server_headers(work.request.headers, dispatch)
        await link.send(work.request.method, work.request.target, headers, work.request.body, work.left)
        self._heard_at = time.monotonic()
        head = await self._await(link, is_head=True)
        if not isinstance(head, AnswerHead):
            return head if isinstance(head, NotRun | MayHaveRun) else MayHaveRun("no head")
        facts = read_answer_facts(head.status, head.headers)
        if facts.id is not None and facts.id != work.facts.id:
            raise LinkError("answer to another request", was_sent=True)
        if head.status not in SUCCESS:
            return await self._take_failure(link, head)
        if not facts.is_sealed:
            raise LinkError("unsealed answer", was_sent=True)
        work.runs += 1
        self._parts.beliefs[self._first.id].record_success(time.monotonic() - started)
        return await self._relay_events(link, head)

    async def _relay_events(self, link: HttpLink, head: AnswerHead) -> TryEnd | None:
        work = self._work
        splitter = EventSplitter()
        await self._relay.begin(head)
        while True:
            data = await self._await(link, is_head=False)
            if data is None:
                await self._relay.end(splitter)
                return None
            if not isinstance(data, bytes):
                work.avoided.add(self._first.id)
                return data if isinstance(data, NotRun | MayHaveRun) else MayHaveRun("no data")
            await self._relay.pass_on(splitter, data)

    async def _await(self, link: HttpLink, *, is_head: bool) -> AnswerHead | bytes | TryEnd | None:
        """Wait for the head or for data; while nothing comes, look for the part that stalls.

        :raises LinkError: the connection was lost.
        """
        wait = OVERDUE
        quiet_since = time.monotonic()
        while True:
            try:
                return await (link.read_head(wait) if is_head else link.read_data(wait))
            except LinkError as error:
                if not error.is_silence:
                    if not is_head:
                        self._work.runs -= 1  # counted at the head already
                    raise
            if self._work.left <= 0:
                return MayHaveRun("time is up")
            end = await self._look_for_stall(quiet_since)
            if end is not None:
                if is_head:
                    self._work.runs += 1
                return end
            wait = ASK_AGAIN

    async def _look_for_stall(self, quiet_since: float) -> TryEnd | None:
        """Ask the first server what the request waits for; gives an end when this chain cannot go on."""
        report = await self._parts.reports.read(self._first)
        now = time.monotonic()
        if isinstance(report, Failed):
            if now - max(quiet_since, self._heard_at) < GIVE_UP_FIRST:
                return None
            self._parts.beliefs[self._first.id].record_failure(now)
            self._work.avoided.add(self._first.id)
            return MayHaveRun(f"first server silent: {report.cause}")
        self._heard_at = now
        address = report.stalled.get(self._work.facts.id) if self._work.facts.id is not None else None
        if address is None:
            return None
        return await self._replace_stalled(address)

    async def _replace_stalled(self, address: ServerAddress) -> TryEnd | None:
        """Take the request over another server in place of the one that stalls it."""
        work = self._work
        lost = next((part for part in self._chain.parts if part.server.address == address), None)
        if lost is None:
            return None  # replaced already; the report lags
        self._parts.beliefs[lost.server.id].record_failure(time.monotonic())
        work.avoided.add(lost.server.id)
        work.note(f"{lost.server.id} stalls")
        if lost is self._chain.parts[0]:
            return MayHaveRun("first server stalls")
        chain = self._find_detour(lost)
        if chain is None:
            return MayHaveRun("no server in place of the stalled one")
        assert work.facts.id is not None  # noqa: S101 # without an id no report names the request
        outcome = await self._parts.calls.replace_parts(self._first, work.facts.id, list(chain.parts))
        work.note(
            f"detour over {[part.server.id for part in chain.parts if part not in self._chain.parts]} {outcome.value}"
        )
        if outcome is not OrderOutcome.TAKEN:
            return MayHaveRun(f"detour {outcome.value}")
        self._reserve(self._chain, -1)
        self._chain = chain
        self._reserve(self._chain, 1)
        return None

    def _find_detour(self, lost: Part) -> Chain | None:
        servers = self._parts.view.list_servers(self._work.service)
        choosable = self._parts.beliefs.list_choosable(servers, self._work.avoided, time.monotonic())
        kept = [part for part in self._chain.parts if part is not lost]
        replacement = self._chooser.choose_replacement(choosable, kept, lost)
        if not replacement:
            return None
        index = self._chain.parts.index(lost)
        parts = (*self._chain.parts[:index], *replacement, *self._chain.parts[index + 1 :])
        return Chain(self._chain.layers, parts, self._chain.crowding)

    async def _take_failure(self, link: HttpLink, head: AnswerHead) -> TryEnd:
        """Take an answer that is no success: a refusal names the part of the chain at fault."""
        work = self._work
        body = []
        while (data := await link.read_data(max(0.05, work.left))) is not None:
            body.append(data)
        facts = read_answer_facts(head.status, head.headers)
        if not facts.was_refused:
            work.runs += 1
            work.avoided.add(self._first.id)
            self._parts.beliefs[self._first.id].record_error(time.monotonic())
            if facts.is_sealed:
                return Answered(head.status, head.headers, b"".join(body))
            return MayHaveRun(f"unsealed answer {head.status}")
        faulty = self._first if facts.faulty is None else self._find_part(facts.faulty)
        work.avoided.add(faulty.id)
        belief = self._parts.beliefs[faulty.id]
        if facts.is_wrong_server and facts.faulty is None:
            belief.is_replaced = True
        elif facts.is_wrong_server:
            belief.record_failure(time.monotonic())
        return NotRun(f"refused with {head.status} at {faulty.id}", facts.faulty)

    def _find_part(self, address: ServerAddress) -> BackendServer:
        return next((part.server for part in self._chain.parts if part.server.address == address), self._first)


__all__ = ["Relay", "StreamTry", "TryEnd"]
