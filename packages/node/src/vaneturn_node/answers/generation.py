"""Generation of one answer, token by token, with recovery from the loss of any of its stages."""

from __future__ import annotations

import logging
from collections.abc import AsyncGenerator, Sequence
from dataclasses import dataclass, replace
from typing import Final

import anyio

from vaneturn_core.engine.messages import TOKEN_BYTES, Done, Refusal, Refused, Step
from vaneturn_core.engine.tokens import count_tokens, encode_token
from vaneturn_core.identifiers import CustomerName, PipelineName, RequestId, VmId
from vaneturn_core.outcomes import NotRun, Reason, Unknown
from vaneturn_core.routing.hops import Hop, Route
from vaneturn_core.routing.recovery import Method
from vaneturn_node.answers.moving import CHECK_INTERVAL_S, Mover
from vaneturn_node.answers.placement import Placement
from vaneturn_node.answers.request import AnswerRequest, GeneratedToken, GenerationItem
from vaneturn_node.answers.resume import ResumePoint, count_generated, digest_prompt
from vaneturn_node.answers.stagerun import HopFailure, StageRun
from vaneturn_node.clock import read_clock
from vaneturn_node.metrics import Metrics
from vaneturn_node.stages.steps import Lost

MAX_CHUNK_POSITIONS: Final = 256  # of a prompt in one step
ROUTE_RETRY_INTERVAL_S: Final = 0.1  # between two searches for a route while an answer has none
FIRST_ROUTE_TIMEOUT_S: Final = 2.0  # for which a new request waits for a route before it is refused
LOST_AVOIDANCE_S: Final = 30.0  # for which an answer avoids a server that did not reply
REFUSED_AVOIDANCE_S: Final = 1.0  # for which an answer avoids a server that refused a step

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class GenerationState:
    """An answer in progress, as shown to operators."""

    request: RequestId
    customer: CustomerName
    pipeline: PipelineName
    routes: tuple[str, ...]  # newest last
    recoveries: int


class Generation:
    """Generates one answer; holds its tokens, its route and the positions in the caches of the stages."""

    def __init__(
        self, request: AnswerRequest, run: StageRun, placement: Placement, mover: Mover, metrics: Metrics
    ) -> None:
        self._request = request
        self._run = run
        self._placement = placement
        self._mover = mover
        self._metrics = metrics
        self._tokens = bytearray(request.prompt)
        self._held = 0  # positions that ran through every layer
        self._lacking: set[Hop] = set()  # hops of the route whose cache lacks the held positions
        self._route: Route | None = None
        self._failed_route: tuple[Route, int] | None = None  # last route and its failed hop, while there is no route
        self._first_route_deadline = read_clock() + FIRST_ROUTE_TIMEOUT_S
        self._avoided: dict[VmId, float] = {}  # server -> time of read_clock() until which it is avoided
        self._recovery_started_at: float | None = None
        self._method = Method.REBUILD
        self._checked_at = read_clock()
        self.routes: list[str] = []  # every route so far, for operators
        self.recoveries = 0
        self._generated = 0
        if request.resumed is not None:
            self._resume_at(request.resumed)

    def _resume_at(self, point: ResumePoint) -> None:
        """Resume an answer of another node; a stage that lost its cache refuses the next step and is rebuilt."""
        self._tokens += point.tokens
        self._generated = count_generated(point)
        self._held = count_tokens(self._tokens) - 1
        self._run.attempt = point.first_attempt
        self._run.may_have_run = True
        self._switch_route(point.make_route(self._request.pipeline.layers))
        self._lacking.clear()

    def make_resume_point(self, *, is_finished: bool) -> ResumePoint:
        """Describe the answer so that another node can resume it."""
        request = self._request
        hops = self._route.hops if self._route else ()
        return ResumePoint(
            request.customer,
            request.pipeline.name,
            request.pipeline.version,
            request.session,
            digest_prompt(request.prompt),
            request.seed,
            request.resumed.resumes + 1 if request.resumed else 0,
            bytes(self._tokens[len(request.prompt) :]),
            [(hop.vm, hop.first, hop.end) for hop in hops],
            is_finished,
        )

    def describe(self) -> GenerationState:
        """Describe the answer for operators."""
        request = self._request
        return GenerationState(request.id, request.customer, request.pipeline.name, tuple(self.routes), self.recoveries)

    async def run(self) -> AsyncGenerator[GenerationItem, None]:
        """Yield each token once and in order; after a failure yield the outcome last."""
        try:
            while self._generated < self._request.max_tokens:
                result = await self._advance()
                if not isinstance(result, Done):
                    yield result
                    return
                yield self._append(result)
                if result.last:
                    return
        finally:
            self._run.close()

    def _append(self, reply: Done) -> GeneratedToken:
        if reply.token is None or reply.position + reply.count != count_tokens(self._tokens):
            raise AssertionError(f"token out of order after position {reply.position}")
        position = count_tokens(self._tokens)
        self._tokens += encode_token(reply.token)
        self._generated += 1
        self._metrics.tokens.inc()
        self._record_recovery()
        return GeneratedToken(
            position, reply.token, reply.text, last=reply.last or self._generated == self._request.max_tokens
        )

    async def _advance(self) -> Done | NotRun | Unknown:
        """Run all positions that are not held yet; the last reply contains the next token."""
        while True:
            if read_clock() >= self._request.deadline:
                return self._give_up(Reason.DEADLINE)
            if not await self._find_route():
                return self._give_up(Reason.NO_ROUTE)
            await self._move_if_better()
            result = await self._rebuild() or await self._run_new()
            if isinstance(result, Done):
                return result
            if _is_superseded(result.cause):
                self._run.keep_caches()
                return Unknown(Reason.SUPERSEDED)
            self._replace(result)

    async def _find_route(self) -> bool:
        """Wait for a route: for FIRST_ROUTE_TIMEOUT_S before the first step, until the deadline afterwards."""
        until = self._request.deadline if self._run.may_have_run else self._first_route_deadline
        while read_clock() < until:
            if self._route is not None:
                return True
            if self._generated == 0:
                self._choose_version()
            self._switch_route(self._choose_route())
            if self._route is None:
                self._avoided.clear()
                await anyio.sleep(ROUTE_RETRY_INTERVAL_S)
        return False

    def _choose_route(self) -> Route | None:
        """Choose a route: the failed one with its failed hop replaced, or else an entirely new one."""
        # The other hops are kept where possible, as their servers may accept no new session of this version.
        request, avoided = self._request, self._list_avoided_servers()
        if self._failed_route is not None:
            route, index = self._failed_route
            return self._placement.replace_hop(request.pipeline, route, index, request.affinity, avoided)
        return self._placement.find_route(request.pipeline, request.affinity, avoided)

    def _choose_version(self) -> None:
        """Choose the version to serve; called only before the first token, after which the version is fixed.

        Until then servers that the answer has not reached yet may drop the version; steps that ran are abandoned.
        """
        pipeline = self._placement.choose_version(self._request.pipeline, self._request.affinity)
        if pipeline.version != self._request.pipeline.version:
            self._run.close()
            self._failed_route = None
        self._request = self._run.request = replace(self._request, pipeline=pipeline)

    async def _move_if_better(self) -> None:
        """Move away from a server that is leaving or has become slow; keep the route if no other is better."""
        route = self._route
        if route is None or self._lacking or read_clock() < self._checked_at + CHECK_INTERVAL_S:
            return
        self._checked_at = read_clock()
        suggestion = self._mover.suggest_move(route)
        if suggestion is None:
            return
        request = self._request
        avoided = {*self._list_avoided_servers(), route.hops[suggestion.index].vm}
        new = self._placement.replace_hop(request.pipeline, route, suggestion.index, request.affinity, avoided)
        if new is None or not self._mover.is_improvement(suggestion, route, new):
            return
        self._recovery_started_at = read_clock()
        self._run.attempt += 1
        self._method = await self._mover.move_cache(request, route, new, suggestion.index, self._held)
        self._switch_route(new)
        if self._method is Method.IMPORT:
            self._lacking.clear()
        for hop in route.hops:
            if hop not in new.hops:
                self._run.close_at(hop.vm)

    async def _run_new(self) -> Done | HopFailure:
        hops = self._route.hops if self._route else ()
        while True:
            result = await self._run_chunk(hops, self._held, count_tokens(self._tokens), rebuild=False)
            if not isinstance(result, Done):
                return result
            if result.position != self._held:
                raise AssertionError(f"position {result.position} ran instead of {self._held}")
            self._held += result.count
            if self._held == count_tokens(self._tokens):
                return result

    async def _rebuild(self) -> HopFailure | None:
        """Rerun the held positions on the leading hops, up to the last hop that lacks them."""
        if self._route is None or not self._lacking:
            return None
        last = max(index for index, hop in enumerate(self._route.hops) if hop in self._lacking)
        leading = self._route.hops[: last + 1]
        position = 0
        while position < self._held:
            result = await self._run_chunk(leading, position, self._held, rebuild=True)
            if not isinstance(result, Done):
                return result
            position += result.count
            self._metrics.rebuilt.inc(result.count)
        self._lacking.clear()
        return None

    async def _run_chunk(self, hops: Sequence[Hop], position: int, end: int, *, rebuild: bool) -> Done | HopFailure:
        count = min(MAX_CHUNK_POSITIONS, end - position)
        inputs = bytes(self._tokens[position * TOKEN_BYTES : (position + count) * TOKEN_BYTES])
        request = self._request
        step = Step(request.session, self._run.attempt, position, count, inputs, request.seed, rebuild)
        return await self._run.run_hops(hops, step)

    def _replace(self, failure: HopFailure) -> None:
        """Replace the server of the failed hop; keep it if only its cache was lost."""
        route = self._route
        if route is None:
            raise AssertionError("no route to replace")
        self._recovery_started_at = self._recovery_started_at or read_clock()
        self._method = Method.REBUILD
        self._run.attempt += 1
        self.recoveries += 1
        hop = route.hops[failure.index]
        logger.info(
            "hop failed",
            extra={"request": self._request.id, "server": hop.vm, "cause": str(failure.cause), "held": self._held},
        )
        if _is_cache_lost(failure.cause):
            self._lacking.add(hop)
            return
        avoidance = LOST_AVOIDANCE_S if isinstance(failure.cause, Lost) else REFUSED_AVOIDANCE_S
        self._avoided[hop.vm] = read_clock() + avoidance
        self._failed_route = (route, failure.index)
        self._switch_route(self._choose_route())

    def _switch_route(self, route: Route | None) -> None:
        """Switch to another route; its hops that are not in the current route lack all held positions."""
        held = set(self._route.hops) - self._lacking if self._route else set()
        self._route = route
        self._run.switch_route(route)
        if route is None:
            return
        self._failed_route = None
        self._lacking = set(route.hops) - held
        self.routes.append(str(route))

    def _list_avoided_servers(self) -> set[VmId]:
        now = read_clock()
        return {vm for vm, until in self._avoided.items() if until > now}

    def _record_recovery(self) -> None:
        if self._recovery_started_at is None:
            return
        self._metrics.recovery.labels(self._method.value).observe(read_clock() - self._recovery_started_at)
        self._recovery_started_at = None

    def _give_up(self, reason: Reason) -> NotRun | Unknown:
        return Unknown(reason) if self._run.may_have_run else NotRun(reason)


def _is_superseded(cause: Refused | Lost) -> bool:
    """Tell whether another node has resumed the answer: no other can have opened a newer attempt."""
    return isinstance(cause, Refused) and cause.refusal is Refusal.ATTEMPT


def _is_cache_lost(cause: Refused | Lost) -> bool:
    return isinstance(cause, Refused) and cause.refusal in {Refusal.NO_SESSION, Refusal.POSITION}


__all__ = ["MAX_CHUNK_POSITIONS", "Generation", "GenerationState"]
