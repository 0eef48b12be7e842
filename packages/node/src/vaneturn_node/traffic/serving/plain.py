"""Requests to plain services: one whole answer each."""

from __future__ import annotations

import random
from typing import Final

import anyio

from vaneturn_core.traffic.configuration import Repeatability
from vaneturn_core.traffic.crashes import Suspicion
from vaneturn_core.traffic.servers import BackendServer
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import HttpLink, LinkError
from vaneturn_node.http1.pool import MAX_IDLE_S
from vaneturn_node.platform.headers import build_server_headers, read_answer_facts
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.outcomes import Answered, MayHaveRun, NotRun, OwnAnswer, Reason, TryOutcome, refuse
from vaneturn_node.traffic.serving.requests import RequestInProgress

MAX_SENDS: Final = 3  # of one request, those that servers turned away included
FIRST_TRY_SHARE: Final = 0.6  # of the objective, after which a repeatable request goes to a second server
FIRST_TRY_LEFT: Final = 0.4  # of the time left, if that is longer
FIRST_LATENCY: Final = 0.05  # seconds of a server that has not answered yet; most answer in 0.05 to 0.1 s
UNSAFE_IDLE: Final = 1.0  # seconds a kept connection may have been idle to carry what must not run twice
RETRY_AFTER: Final = 0.15  # seconds, full jitter on top
SERVER_FAULT: Final = 500
LOAD_MEMORY: Final = 1.0  # seconds for which a told load counts


class PlainForwarder:
    """Sends a request to one server after another until one has answered."""

    def __init__(self, parts: TrafficParts) -> None:
        self._parts = parts

    async def forward(self, work: RequestInProgress) -> Answered | OwnAnswer:
        """Get an answer."""
        budget = self._parts.find_budget(work.service)
        last: TryOutcome | None = None
        failure: Answered | None = None  # a server's own failure, given if nothing better comes
        while work.sends < MAX_SENDS and work.left > 0:
            server = self._choose(work)
            if server is None or not work.may_send():
                break
            if work.sends and not budget.spend():
                work.note("retry budget used up")
                break
            if not work.sends:
                budget.record_first()
            if not await self._parts.permits.obtain(server.id):
                budget.take_back(is_first=not work.sends)
                work.note(f"{server.id} has no room by its rate limit")
                continue
            last = await self._try(work, server)
            if isinstance(last, Answered):
                self._parts.crash_watch.note_sound(server, work.content)
                if last.status < SERVER_FAULT or not work.may_run_again:
                    return last
                failure = last
            elif isinstance(last, MayHaveRun) and not work.may_run_again:
                break
            work.avoided.add(server.id)
        if failure is not None:
            return failure
        return self._give_up(work, last)

    def _give_up(self, work: RequestInProgress, last: TryOutcome | None) -> OwnAnswer:
        if work.may_have_run:
            return work.give_up_run(last.cause if isinstance(last, MayHaveRun | NotRun) else "")
        wait = self._parts.compute_wait(work.service)
        retry_after = wait + RETRY_AFTER * (1 + random.random())
        if not work.may_send():
            return refuse(Reason.KEYS_TOO_OLD, retry_after)
        if isinstance(last, NotRun):
            return refuse(Reason.NOT_RUN, retry_after, last.cause)
        return refuse(Reason.SERVERS_LIMITED if wait else Reason.NO_SERVER, retry_after)

    def _choose(self, work: RequestInProgress) -> BackendServer | None:
        """Choose the server that would answer soonest."""
        choosable = self._parts.list_accepting(work.service, work.avoided)
        if not choosable:
            return None
        random.shuffle(choosable)
        return min(choosable, key=self._estimate_wait)

    def _estimate_wait(self, server: BackendServer) -> float:
        belief = self._parts.beliefs[server.id]
        others = belief.told_load if read_clock() - belief.told_at < LOAD_MEMORY else 0
        busy = max(belief.in_progress, others)
        return (belief.latency or FIRST_LATENCY) * (1 + busy / max(1, server.slots))

    async def _try(self, work: RequestInProgress, server: BackendServer) -> TryOutcome:
        belief = self._parts.beliefs[server.id]
        started = read_clock()
        limit = self._limit_try(work)
        work.sends += 1
        belief.in_progress += 1
        try:
            outcome = await self._exchange(work, server, limit)
        finally:
            belief.in_progress -= 1
        work.may_have_run = work.may_have_run or isinstance(outcome, MayHaveRun)
        seconds = read_clock() - started
        if isinstance(outcome, Answered):
            work.note(f"{server.id} answered {outcome.status}")
            if outcome.status >= SERVER_FAULT:
                belief.record_error(read_clock())
            else:
                belief.record_success(seconds)
        else:
            work.note(f"{server.id} {outcome.cause}")
            if isinstance(outcome, MayHaveRun) or outcome.is_silent:
                belief.latency = max(belief.latency, seconds)
                if await self._parts.hears_others({server.id}, started):
                    belief.record_failure(read_clock())
        return outcome

    def _limit_try(self, work: RequestInProgress) -> float:
        """Give the seconds of a try: a repeatable request leaves time for a second one."""
        if work.route.repeatability is Repeatability.SAFE and work.runs + 1 < work.route.max_attempts:
            return min(work.left, max(FIRST_TRY_SHARE * work.route.objective, FIRST_TRY_LEFT * work.left))
        return work.left

    async def _exchange(self, work: RequestInProgress, server: BackendServer, limit: float) -> TryOutcome:
        link: HttpLink | None = None
        is_whole = False
        try:
            with anyio.fail_after(limit):
                longest = MAX_IDLE_S if work.route.may_repeat else UNSAFE_IDLE
                link = await self._parts.pool.acquire(server.address, longest)
                obstacle = work.find_obstacle(self._parts.beliefs[server.id])
                if obstacle is not None:
                    return NotRun(obstacle)
                outcome = await self._converse(work, server, link, limit)
                is_whole = isinstance(outcome, Answered | NotRun)
                return outcome
        except TimeoutError:
            if link is None:
                return NotRun("no connection in time", is_silent=True)
            work.runs += 1
            return MayHaveRun("no answer in time")
        except LinkError as error:
            if not error.was_sent:
                return NotRun(error.cause, is_silent=True)
            work.runs += 1
            if not error.is_unresponsive:
                await self._parts.crash_watch.note_cut(server, work.content, Suspicion.UNHEARD)
            return MayHaveRun(error.cause)
        finally:
            if link is not None:
                await self._parts.release(link, server.address, is_whole=is_whole)

    async def _converse(
        self, work: RequestInProgress, server: BackendServer, link: HttpLink, limit: float
    ) -> TryOutcome:
        request = work.request
        headers = build_server_headers(request.headers, work.make_dispatch(server.name))
        sent_at = read_clock()
        await link.send(request.method, request.target, headers, request.body, limit)
        head = await link.read_head(limit)
        facts = read_answer_facts(head.status, head.headers)
        parts = []
        while (data := await link.read_data(limit)) is not None:
            parts.append(data)
        belief = self._parts.beliefs[server.id]
        if facts.load is not None:
            belief.take_load(facts.load[0] + facts.load[1], read_clock())
        if facts.id is not None and facts.id != work.facts.id:
            raise LinkError("answer to another request", was_sent=True)
        if not facts.is_wrong_server:
            self._parts.directives.take(server, facts.directives, sent_at)
        if facts.was_refused:
            belief.is_replaced = belief.is_replaced or facts.is_wrong_server
            return NotRun(f"refused with {head.status}")
        work.runs += 1
        if facts.is_sealed:
            return Answered(head.status, head.headers, b"".join(parts))
        return MayHaveRun(f"unsealed answer {head.status}")


__all__ = ["PlainForwarder"]
