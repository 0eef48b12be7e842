"""Generation of one answer, token by token, with recovery from the loss of any of its stages."""

from __future__ import annotations

import logging
from collections.abc import AsyncGenerator, Sequence
from dataclasses import replace
from typing import Final

import anyio

from vaneturn_core.engine.messages import TOKEN_BYTES, Done, Step
from vaneturn_core.engine.tokens import count_tokens, encode_token
from vaneturn_core.outcomes import NotRun, Reason, Unknown
from vaneturn_core.routing.hops import Hop, Route
from vaneturn_core.routing.recovery import Method
from vaneturn_node.answers.answerroute import AnswerRoute
from vaneturn_node.answers.moving import CHECK_INTERVAL_S, Mover
from vaneturn_node.answers.placement import Placement
from vaneturn_node.answers.request import AnswerRequest, GeneratedToken, GenerationItem, GenerationState
from vaneturn_node.answers.resume import ResumePoint, count_generated, digest_prompt
from vaneturn_node.answers.stagerun import HopFailure, StageRun
from vaneturn_node.clock import read_clock
from vaneturn_node.metrics import Metrics

MAX_CHUNK_POSITIONS: Final = 256  # of a prompt in one step
ROUTE_RETRY_INTERVAL_S: Final = 0.1  # between two searches for a route while an answer has none
FIRST_ROUTE_TIMEOUT_S: Final = 2.0  # for which a new request waits for a route before it is refused

logger = logging.getLogger(__name__)


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
        self._route = AnswerRoute(placement)
        self._first_route_deadline = read_clock() + FIRST_ROUTE_TIMEOUT_S
        self._recovery_started_at: float | None = None
        self._method = Method.REBUILD
        self._checked_at = read_clock()
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
        self._route.lacking.clear()

    @property
    def routes(self) -> list[str]:
        """Return every route so far, newest last, for operators."""
        return self._route.history

    def make_resume_point(self, *, is_finished: bool) -> ResumePoint:
        """Describe the answer so that another node can resume it."""
        request = self._request
        return ResumePoint(
            request.customer,
            request.pipeline.name,
            request.pipeline.version,
            request.session,
            digest_prompt(request.prompt),
            request.seed,
            request.resumed.resumes + 1 if request.resumed else 0,
            bytes(self._tokens[len(request.prompt) :]),
            [(hop.vm, hop.first, hop.end) for hop in self._route.hops],
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
            if result.is_superseded:
                self._run.keep_caches()
                return Unknown(Reason.SUPERSEDED)
            self._replace(result)

    async def _find_route(self) -> bool:
        """Wait for a route: for FIRST_ROUTE_TIMEOUT_S before the first step, until the deadline afterwards."""
        until = self._request.deadline if self._run.may_have_run else self._first_route_deadline
        while read_clock() < until:
            if self._route.current is not None:
                return True
            if self._generated == 0:
                self._choose_version()
            self._switch_route(self._route.choose(self._request))
            if self._route.current is None:
                self._route.clear_avoided()
                await anyio.sleep(ROUTE_RETRY_INTERVAL_S)
        return False

    def _choose_version(self) -> None:
        """Choose the version to serve; called only before the first token, after which the version is fixed.

        Until then servers that the answer has not reached yet may drop the version; steps that ran are abandoned.
        """
        pipeline = self._placement.choose_version(self._request.pipeline, self._request.affinity)
        if pipeline.version != self._request.pipeline.version:
            self._run.close()
            self._route.forget_failed()
        self._request = self._run.request = replace(self._request, pipeline=pipeline)

    async def _move_if_better(self) -> None:
        """Move away from a server that is leaving or has become slow; keep the route if no other is better."""
        route = self._route.current
        if route is None or self._route.lacking or read_clock() < self._checked_at + CHECK_INTERVAL_S:
            return
        self._checked_at = read_clock()
        suggestion = self._mover.suggest_move(route)
        if suggestion is None:
            return
        request = self._request
        new = self._route.replace_hop(request, suggestion.index)
        if new is None or not self._mover.is_improvement(suggestion, route, new):
            return
        self._recovery_started_at = read_clock()
        self._run.attempt += 1
        self._method = await self._mover.move_cache(request, route, new, suggestion.index, self._held)
        self._switch_route(new)
        if self._method is Method.IMPORT:
            self._route.lacking.clear()
        for hop in route.hops:
            if hop not in new.hops:
                self._run.close_at(hop.vm)

    async def _run_new(self) -> Done | HopFailure:
        while True:
            result = await self._run_chunk(self._route.hops, self._held, count_tokens(self._tokens), rebuild=False)
            if not isinstance(result, Done):
                return result
            if result.position != self._held:
                raise AssertionError(f"position {result.position} ran instead of {self._held}")
            self._held += result.count
            if self._held == count_tokens(self._tokens):
                return result

    async def _rebuild(self) -> HopFailure | None:
        """Rerun the held positions on the leading hops, up to the last hop that lacks them."""
        leading = self._route.list_leading()
        if not leading:
            return None
        position = 0
        while position < self._held:
            result = await self._run_chunk(leading, position, self._held, rebuild=True)
            if not isinstance(result, Done):
                return result
            position += result.count
            self._metrics.rebuilt.inc(result.count)
        self._route.lacking.clear()
        return None

    async def _run_chunk(self, hops: Sequence[Hop], position: int, end: int, *, rebuild: bool) -> Done | HopFailure:
        count = min(MAX_CHUNK_POSITIONS, end - position)
        inputs = bytes(self._tokens[position * TOKEN_BYTES : (position + count) * TOKEN_BYTES])
        request = self._request
        step = Step(request.session, self._run.attempt, position, count, inputs, request.seed, rebuild)
        return await self._run.run_hops(hops, step)

    def _replace(self, failure: HopFailure) -> None:
        """Replace the server of the failed hop; keep it if only its cache was lost."""
        self._recovery_started_at = self._recovery_started_at or read_clock()
        self._method = Method.REBUILD
        self._run.attempt += 1
        self.recoveries += 1
        hop = self._route.hops[failure.index]
        logger.info(
            "hop failed",
            extra={"request": self._request.id, "server": hop.vm, "cause": str(failure.cause), "held": self._held},
        )
        if failure.is_cache_lost:
            self._route.lacking.add(hop)
            return
        self._route.fail_hop(failure.index, is_lost=failure.is_lost)
        self._switch_route(self._route.choose(self._request))

    def _switch_route(self, route: Route | None) -> None:
        """Switch to another route, which may be none."""
        self._route.switch(route)
        self._run.switch_route(route)

    def _record_recovery(self) -> None:
        if self._recovery_started_at is None:
            return
        self._metrics.recovery.labels(self._method.value).observe(read_clock() - self._recovery_started_at)
        self._recovery_started_at = None

    def _give_up(self, reason: Reason) -> NotRun | Unknown:
        return Unknown(reason) if self._run.may_have_run else NotRun(reason)


__all__ = ["MAX_CHUNK_POSITIONS", "Generation"]
