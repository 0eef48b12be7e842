"""What all connections of a process share while they read requests."""

from __future__ import annotations

from dataclasses import dataclass, field

from vaneturn_node.bytebudget import ByteBudget
from vaneturn_node.http1.parsingturns import ParsingTurns


@dataclass(frozen=True, slots=True)
class SharedResources:
    """Memory and time of the event loop."""

    budget: ByteBudget
    turns: ParsingTurns = field(default_factory=ParsingTurns)


__all__ = ["SharedResources"]
