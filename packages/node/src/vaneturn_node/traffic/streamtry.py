"""One try to get a stream over one chain: reserve, send, relay events, repair the chain when a part of it stalls."""

from __future__ import annotations

import time
from typing import Final

from vaneturn_core.traffic.chain import Chain, Part
from vaneturn_core.traffic.chains import ChainChooser
from vaneturn_core.traffic.servers import BackendServer, ServerAddress
from vaneturn_node.http1.link import AnswerHead, HttpLink, LinkError
from vaneturn_node.platform.headers import build_server_headers, read_answer_facts
from vaneturn_node.platform.servers import OrderOutcome
from vaneturn_node.traffic.events import EventSplitter
from vaneturn_node.traffic.exchange import TrafficParts
from vaneturn_node.traffic.lossfinding import LossFinder
from vaneturn_node.traffic.outcomes import Answered, MayHaveRun, NotRun
from vaneturn_node.traffic.relay import Relay
from vaneturn_node.traffic.requests import RequestInProgress

TryEnd = NotRun | MayHaveRun | Answered

SUCCESS: Final = range(200, 300)
OVERDUE: Final = 0.1  # seconds without an event after which the parts are asked; a pause should not exceed 0.2 s
OVERDUE_PAUSES: Final = 2.5  # the same, in usual pauses of this answer
HEAD_OVERDUE: Final = 0.2  # seconds without the first event; most come in 0.16 s, and should in 0.5 s
ASK_AGAIN: Final = 0.1  # seconds between questions while nothing comes
MAX_DETOURS: Final = 3


class StreamTry:
    """One send of a request."""

    def __init__(
        self,
        *,
        parts: TrafficParts,
        work: RequestInProgress,
        chooser: ChainChooser,
        chain: Chain,
        relay: Relay,
    ) -> None:
        self._parts = parts
        self._work = work
        self._chooser = chooser
        self._chain = chain
        self._relay = relay
        self._tokens = chooser.tokens
        self._is_counted = False  # as a run
        self._is_gone = False  # the first server has ended, or is cut off
        self._finder = LossFinder(parts, work)

    @property
    def _first(self) -> BackendServer:
        return self._chain.first

    async def run(self) -> TryEnd | None:
        """Get the answer over the chain; none when it has ended in full."""
        work = self._work
        work.sends += 1
        over = " ".join(f"{part.server.id}[{part.first},{part.end})" for part in self._chain.parts)
        work.note(f"over {over}, fullest {self._chooser.estimate_fullness(self._chain):.2f}")
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
        work.may_have_run = work.may_have_run or isinstance(end, MayHaveRun)
        if end is not None and not isinstance(end, Answered):
            work.note(end.cause)
        return end

    def _reserve(self, chain: Chain, sign: int) -> None:
        for part in chain.parts:
            belief = self._parts.beliefs[part.server.id]
            belief.in_progress += sign
            belief.leading += sign * (part is chain.parts[0])
            belief.reserved += sign * self._tokens * (part.end - part.first)

    def _count_run(self) -> None:
        """Count that the request may have run on the first server, once for each try."""
        if not self._is_counted:
            self._is_counted = True
            self._work.runs += 1

    def _note_heard(self) -> None:
        """Take note that every part of the chain has just worked."""
        now = time.monotonic()
        for part in self._chain.parts:
            self._parts.beliefs[part.server.id].record_token(now)

    def _note_lost(self, error: LinkError) -> TryEnd:
        """Decide what a lost connection says of the first server, and of the request."""
        self._parts.note_lost(self._first.id)
        self._work.avoided.add(self._first.id)
        if not error.was_sent:
            return NotRun(error.cause, is_silent=True)
        self._count_run()
        return MayHaveRun(error.cause)

    async def _converse(self, link: HttpLink, started: float) -> TryEnd | None:
        work = self._work
        if not work.may_send():
            return NotRun("keys too old")
        dispatch = work.make_dispatch(
            self._first.id, self._chain, self._relay.last_event, is_resumed=self._relay.is_begun
        )
        headers = build_server_headers(work.request.headers, dispatch)
        await link.send(work.request.method, work.request.target, headers, work.request.body, work.left)
        head = await self._await(link, is_head=True)
        if not isinstance(head, AnswerHead):
            return head if isinstance(head, NotRun | MayHaveRun) else MayHaveRun("no head")
        facts = read_answer_facts(head.status, head.headers)
        if facts.load is not None:
            self._parts.beliefs[self._first.id].take_load(facts.load[0] + facts.load[1], time.monotonic())
        if facts.id is not None and facts.id != work.facts.id:
            raise LinkError("answer to another request", was_sent=True)
        if head.status not in SUCCESS:
            return await self._take_failure(link, head)
        if not facts.is_sealed:
            raise LinkError("unsealed answer", was_sent=True)
        self._count_run()
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
            if await self._relay.pass_on(splitter, data):
                self._note_heard()

    async def _await(self, link: HttpLink, *, is_head: bool) -> AnswerHead | bytes | TryEnd | None:
        """Wait for the head or for data; while nothing comes, look for the part that is lost.

        :raises LinkError: the connection was lost.
        """
        wait = HEAD_OVERDUE if is_head else max(OVERDUE, OVERDUE_PAUSES * self._relay.usual_pause)
        while True:
            try:
                return await (link.read_head(wait) if is_head else link.read_data(wait))
            except LinkError as error:
                if not error.is_silence:
                    raise
            if self._work.left <= 0:
                return MayHaveRun("time is up")
            end = await self._look_for_loss()
            if end is not None:
                if not self._is_gone:
                    self._count_run()
                return end
            wait = ASK_AGAIN

    async def _look_for_loss(self) -> TryEnd | None:
        """Look for lost parts, and go round them; gives an end when this chain cannot go on."""
        work = self._work
        losses = await self._finder.find(self._chain, usual_pause=self._relay.usual_pause)
        if losses.is_first_gone:
            self._parts.note_lost(self._first.id)
            work.avoided.add(self._first.id)
            self._is_gone = True
            if self._is_counted:
                work.runs -= 1  # runs on servers that have ended do not count
            return MayHaveRun("first server lost")
        if self._chain.parts[0] in losses.parts:
            work.avoided.add(self._first.id)
            return MayHaveRun("first server stalls") if self._may_move() else None
        return await self._replace(losses.parts) if losses.parts else None

    async def _replace(self, lost: list[Part]) -> TryEnd | None:
        """Take the request over other servers in place of the lost ones."""
        work = self._work
        for part in lost:
            self._parts.note_lost(part.server.id)
            work.avoided.add(part.server.id)
        work.note(f"lost {[part.server.id for part in lost]}")
        for _ in range(MAX_DETOURS):
            chain = self._find_detour()
            if chain is None:
                return self._end_or_wait("no server in place of the lost one")
            if self._may_move() and chain.count_crossings() > self._chain.count_crossings():
                return MayHaveRun("another hall reads the prompt sooner than it crosses the pipe")
            assert work.facts.id is not None  # noqa: S101 # without an id a request is not let in
            outcome = await self._parts.calls.replace_parts(self._first, work.facts.id, list(chain.parts))
            added = [part.server.id for part in chain.parts if part not in self._chain.parts]
            work.note(f"detour over {added} {outcome.value}")
            if outcome is OrderOutcome.TAKEN:
                self._reserve(self._chain, -1)
                self._chain = chain
                self._reserve(self._chain, 1)
                return None
            if outcome is not OrderOutcome.CONFLICT:
                break
            work.avoided.update(added)  # one of them has no room, or does not hold its part any more
        return self._end_or_wait("no detour")

    def _end_or_wait(self, cause: str) -> TryEnd | None:
        """End the try if the request may run elsewhere; else the first server still waits a while for a detour."""
        if self._may_move():
            return MayHaveRun(cause)
        self._work.note(f"{cause}; waits")
        return None

    def _may_move(self) -> bool:
        """Tell whether the request may run on one more server."""
        work = self._work
        runs = work.runs + (not self._is_counted)
        return work.route.may_repeat and runs < work.route.max_attempts

    def _find_detour(self) -> Chain | None:
        """Find a chain with other servers for the parts on avoided ones."""
        choosable = self._parts.list_choosable(self._work.service, self._work.avoided)
        kept = [part for part in self._chain.parts if part.server.id not in self._work.avoided]
        parts: list[Part] = []
        for part in self._chain.parts:
            if part in kept:
                parts.append(part)
                continue
            others = [*kept, *(one for one in parts if one not in kept)]
            replacement = self._chooser.choose_replacement(choosable, others, part)
            if not replacement:
                return None
            parts += replacement
        return Chain(self._chain.layers, tuple(parts))

    async def _take_failure(self, link: HttpLink, head: AnswerHead) -> TryEnd:
        """Take an answer that is no success: a refusal names the part of the chain at fault."""
        work = self._work
        body = []
        while (data := await link.read_data(max(0.05, work.left))) is not None:
            body.append(data)
        facts = read_answer_facts(head.status, head.headers)
        if not facts.was_refused:
            self._count_run()
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
        elif facts.faulty is not None:  # dead, without the layers, or full: the next requests need not find out again
            fullness = self._chooser.estimate_server(faulty, is_first=faulty is self._first)
            self._parts.note_refusal(faulty.id, fullness)
        return NotRun(f"refused with {head.status} at {faulty.id}")

    def _find_part(self, address: ServerAddress) -> BackendServer:
        return next((part.server for part in self._chain.parts if part.server.address == address), self._first)


__all__ = ["StreamTry", "TryEnd"]
