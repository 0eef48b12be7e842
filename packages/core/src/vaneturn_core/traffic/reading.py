"""The time in which the servers of a chain read a prompt, and the passes that they run meanwhile."""

from __future__ import annotations

import math
from typing import Final

from vaneturn_core.traffic.configuration import EngineProfile, ServerKind
from vaneturn_core.traffic.servers import BackendServer

MIN_CHUNKS: Final = 1


class PromptReading:
    """The work of reading one prompt."""

    def __init__(self, engine: EngineProfile, prompt: float) -> None:
        """Prepare the estimates for a prompt.

        :param prompt: length in tokens.
        """
        self._engine = engine
        self.chunks = (
            MIN_CHUNKS if engine.chunk_tokens is None else max(MIN_CHUNKS, math.ceil(prompt / engine.chunk_tokens))
        )
        self.seconds = _compute_seconds(engine, prompt)  # for all layers with read factor 1; none if it is unknown

    def estimate(self, kind: ServerKind, layers: int) -> float:
        """Estimate the seconds in which a server reads the prompt through some layers, when it does nothing else."""
        return 0.0 if self.seconds is None else self.seconds * get_read_factor(kind) * layers / self._engine.layers


def get_read_factor(kind: ServerKind) -> float:
    """Return the factor on reading; without one, a kind reads as much slower as it runs steps."""
    return kind.step_factor if kind.read_factor is None else kind.read_factor


def compute_pass(engine: EngineProfile, server: BackendServer) -> tuple[float, float]:
    """Compute the seconds of a pass through all layers of a server, and what each token times layer there adds."""
    held = 0
    for layers in server.layers:
        held += layers.end - layers.first
    factor = engine.pass_steps * engine.kinds[server.kind or ""].step_factor / engine.layers
    return factor * engine.step * held, factor * engine.step_growth


def estimate_pass(engine: EngineProfile, server: BackendServer, used: float) -> float:
    """Estimate the seconds of one pass of a server over the requests in progress there; 0 without any.

    :param used: tokens times layers of the requests in progress.
    """
    if used <= 0:
        return 0.0
    pass_s, growth_s = compute_pass(engine, server)
    return pass_s + growth_s * used


def _compute_seconds(engine: EngineProfile, prompt: float) -> float | None:
    if engine.read_rate is None:
        return None
    pairs = prompt * max(0.0, prompt - 1) / 2
    return prompt / engine.read_rate + engine.pair_time * pairs


__all__ = ["PromptReading", "compute_pass", "estimate_pass", "get_read_factor"]
