"""Execution of the steps of one session over the hops of its route."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from vaneturn_core.engine.messages import Close, Done, Open, Refusal, Refused, Step
from vaneturn_core.identifiers import VmId
from vaneturn_core.routing.health import ServerHealths
from vaneturn_core.routing.hops import Hop, Route
from vaneturn_core.routing.recovery import MIN_STEP_TIMEOUT
from vaneturn_core.tiling import assert_tiling
from vaneturn_node.answers.request import AnswerRequest
from vaneturn_node.stages.link import StageLink
from vaneturn_node.stages.pool import LinkPool
from vaneturn_node.stages.steps import Lost


@dataclass(frozen=True)
class HopFailure:
    """A hop that did not run its step, and why."""

    index: int
    cause: Refused | Lost

    @property
    def is_lost(self) -> bool:
        """Tell whether the server did not reply."""
        return isinstance(self.cause, Lost)

    @property
    def is_superseded(self) -> bool:
        """Tell whether another node has resumed the answer: no other can have opened a newer attempt."""
        return isinstance(self.cause, Refused) and self.cause.refusal is Refusal.ATTEMPT

    @property
    def is_cache_lost(self) -> bool:
        """Tell whether the server lacks the positions that it should hold."""
        return isinstance(self.cause, Refused) and self.cause.refusal in {Refusal.NO_SESSION, Refusal.POSITION}


class StageRun:
    """Sends the steps of one session; an attempt is never reused after a hop has been replaced."""

    def __init__(self, request: AnswerRequest, pool: LinkPool, healths: ServerHealths, call_timeout: float) -> None:
        self.request = request
        self._pool = pool
        self._healths = healths
        self._call_timeout = call_timeout
        self._opened_attempts: set[tuple[VmId, int]] = set()
        self._used_servers: set[VmId] = set()
        self._window_shares: list[tuple[StageLink, float]] = []  # links of the route and their shares
        self.attempt = 0
        self.may_have_run = False

    async def run_hops(self, hops: Sequence[Hop], step: Step) -> Done | HopFailure:
        """Run one step on each hop in order, with the outputs of each hop as the inputs of the next."""
        inputs = step.inputs
        reply: Done | None = None
        ran_hops: list[Hop] = []
        for index, hop in enumerate(hops):
            result = await self._run_hop(hop, step, inputs)
            if not isinstance(result, Done):
                return HopFailure(index, result)
            ran_hops.append(Hop(hop.vm, result.first, result.end))
            reply, inputs = result, result.outputs
        if reply is None:
            raise AssertionError("a step needs a hop")
        assert_tiling(ran_hops, hops[-1].end)
        return reply

    async def _run_hop(self, hop: Hop, step: Step, inputs: bytes) -> Done | Refused | Lost:
        link = self._pool[hop.vm]
        if link is None or not link.is_connected:
            return Lost(sent=False)
        if (hop.vm, self.attempt) not in self._opened_attempts:
            self._opened_attempts.add((hop.vm, self.attempt))
            self._used_servers.add(hop.vm)
            link.send(self._describe_session(hop))
        own = Step(step.session, self.attempt, step.position, step.count, inputs, step.seed, step.rebuild)
        shortest = MIN_STEP_TIMEOUT[self.request.pipeline.preference]
        timeout = self._healths[hop.vm].compute_timeout(step.count, shortest, self._call_timeout)
        result = await link.run_step(own, hop, timeout)
        if isinstance(result, Done) or (isinstance(result, Lost) and result.sent):
            self.may_have_run = True
        return result

    def _describe_session(self, hop: Hop) -> Open:
        request = self.request
        pipeline = request.pipeline
        return Open(
            request.session,
            self.attempt,
            pipeline.model,
            pipeline.version,
            pipeline.adapter,
            hop.first,
            hop.end,
            request.priority,
        )

    def switch_route(self, route: Route | None) -> None:
        """Move the answer's shares of step windows from the links of the previous route to those of a new one."""
        for expected_link, share in self._window_shares:
            expected_link.window.add_share(-share)
        hops = route.hops if route else ()
        links = [self._pool[hop.vm] for hop in hops]
        self._window_shares = [(link, 1 / len(hops)) for link in links if link is not None]
        for expected_link, share in self._window_shares:
            expected_link.window.add_share(share)

    def keep_caches(self) -> None:
        """Keep the caches when closing, as another node has resumed the session."""
        self._used_servers.clear()

    def close(self) -> None:
        """Close the session at every server that was used."""
        self.switch_route(None)
        for vm in self._used_servers:
            self.close_at(vm)
        self._used_servers.clear()
        self._opened_attempts.clear()

    def close_at(self, vm: VmId) -> None:
        """Close the session at one server."""
        link = self._pool[vm]
        if link is not None:
            link.send(Close(self.request.session))


__all__ = ["HopFailure", "StageRun"]
