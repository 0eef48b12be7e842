"""The expected duration of a whole answer, from the figures of the engine."""

from __future__ import annotations

from collections.abc import Iterable

from vaneturn_core.traffic.admission.capacity import DEFAULT_DURATION_S, USABLE_SHARE
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.layermap import HOP_TIME_S
from vaneturn_core.traffic.servers import BackendServer


def expect_duration(engine: EngineProfile, servers: Iterable[BackendServer]) -> float:
    """Expect the seconds of an answer of usual length while the usable memory of the servers is in use.

    A token step passes all layers once, so it takes the mean over the layers that the servers hold, and a hop for each
    server of a chain. `compute_expected_duration` gives the same without load. Until answers have ended, an expectation
    that is several times too long makes nodes refuse requests that there is room for: a node of a large fleet sees the
    end of one answer in several seconds.
    """
    layers = holders = 0
    seconds = 0.0  # of a token step, times layers
    for server in servers:
        kind = engine.kinds.get(server.kind or "")
        held = sum(len(one) for one in server.layers)
        if kind is None or not held:
            continue
        tokens = USABLE_SHARE * server.compute_room(engine) / held
        layers += held
        holders += 1
        seconds += held * kind.step_factor * (engine.step + engine.step_growth * tokens)
    if not layers:
        return DEFAULT_DURATION_S
    return engine.usual_answer * (seconds / layers + HOP_TIME_S * engine.layers * holders / layers)


__all__ = ["expect_duration"]
