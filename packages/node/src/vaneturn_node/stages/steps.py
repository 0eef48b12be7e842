"""Steps whose replies are awaited on a link, and how each of them ended."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from vaneturn_core.engine.messages import Done, Refused, Step
from vaneturn_core.identifiers import SessionId
from vaneturn_core.routing.hops import Hop

StepKey = tuple[SessionId, int, int, bool]


@dataclass(frozen=True)
class Lost:
    """No reply to a step."""

    sent: bool  # whether the step may have reached the server


StepResult = Done | Refused | Lost


@dataclass
class AwaitedStep:
    """A step whose reply is awaited."""

    step: Step
    hop: Hop
    done: anyio.Event
    result: StepResult = Lost(sent=False)


def name_step(step: Step) -> StepKey:
    """Name a step as its reply does."""
    return (step.session, step.attempt, step.position, step.rebuild)


def matches(reply: Done, awaited: AwaitedStep) -> bool:
    """Tell whether a reply is about the work that was asked for."""
    step, hop = awaited.step, awaited.hop
    return reply.count == step.count and reply.first == hop.first and reply.end == hop.end


__all__ = ["AwaitedStep", "Lost", "StepKey", "StepResult", "matches", "name_step"]
