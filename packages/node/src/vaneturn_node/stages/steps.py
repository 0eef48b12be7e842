"""Steps whose replies are awaited on a link, and their results."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from vaneturn_core.engine.messages import Done, Refused, Step
from vaneturn_core.identifiers import SessionId
from vaneturn_core.routing.hops import Hop

StepKey = tuple[SessionId, int, int, bool]  # session, attempt, position, whether it is part of a rebuild


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


def compute_step_key(step: Step) -> StepKey:
    """Compute the key of a step, which its reply states as well."""
    return (step.session, step.attempt, step.position, step.rebuild)


def is_matching_reply(reply: Done, awaited: AwaitedStep) -> bool:
    """Tell whether a reply states the positions and layers of the step."""
    step, hop = awaited.step, awaited.hop
    return reply.count == step.count and reply.first == hop.first and reply.end == hop.end


__all__ = ["AwaitedStep", "Lost", "StepKey", "StepResult", "compute_step_key", "is_matching_reply"]
