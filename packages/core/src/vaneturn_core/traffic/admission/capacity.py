"""Estimate of how many requests of a service can be in progress, from the memory and slots of its servers.

The computed value comes from the configuration and the list of servers only. Refusals by full servers lower the
estimate, so that a wrong configuration or an uneven load shows; loads that servers report are not used.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable
from typing import Final

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.servers import BackendServer, ServerState

USABLE_SHARE: Final = 0.9  # of the capacity: load figures are 1 to 2 s old and loads are uneven
MAX_RISE_PER_S: Final = 0.1  # of the computed value; servers that return get their load step by step
REFUSAL_STEP: Final = 0.05  # by which refusals lower the estimate
REFUSAL_INTERVAL_S: Final = 0.5  # one crowded moment brings several refusals
MIN_CORRECTION: Final = 0.5  # a false refusal costs no more than half of the capacity
RECOVERY_S: Final = 5.0  # without refusals, until the estimate equals the computed value again
MIN_DURATION_WEIGHT: Final = 0.02  # of the newest answer in the mean duration: about the last 50 answers count
INITIAL_DURATIONS: Final = 10  # answers for which the expected duration counts, since short answers end first
MIN_DURATION_S: Final = 0.01  # the rate is divided by the mean duration
DEFAULT_DURATION_S: Final = 3.0  # until answers have ended


def estimate_capacity(engine: EngineProfile, servers: Iterable[BackendServer]) -> float:
    """Estimate the requests that fit into the memory and slots of a service's servers, without those in backoff."""
    holders = [server for server in servers if server.state is ServerState.READY and server.layers]
    usual = max(1, engine.usual_prompt + engine.usual_answer)
    changes = [0.0] * (engine.layers + 1)  # of the requests that fit, from each layer to the next
    slots = 0
    for server in holders:
        held = sum(len(layers) for layers in server.layers)
        requests = server.compute_room(engine) / (usual * max(1, held))
        for layers in server.layers:
            changes[min(layers.first, engine.layers)] += requests
            changes[min(layers.end, engine.layers)] -= requests
        slots += server.slots if server.can_lead else 0
    by_layer = list(itertools.accumulate(changes[:-1]))
    return max(0.0, min([*by_layer, float(slots)]))


class CapacityEstimate:
    """The requests that a service may have in progress, and how many may begin per second."""

    def __init__(self, duration: float = DEFAULT_DURATION_S) -> None:
        """Create an estimate without a limit; the first update sets it.

        :param duration: expected seconds of a whole answer, until answers have ended.
        """
        self._computed: float | None = None
        self._estimate = math.inf
        self._updated_at = 0.0
        self._corrected = 1.0  # share of the computed value at the last refusal
        self._refused_at = -math.inf
        self._lowered_at = -math.inf
        self._duration = duration
        self._durations = INITIAL_DURATIONS

    def update(self, computed: float, now: float) -> None:
        """Take over a newly computed value; the estimate falls at once and rises slowly."""
        correction = self._compute_correction(now)
        ceiling = computed * correction
        if self._computed is None:
            self._estimate = ceiling
        else:
            recovery = (1 - self._corrected) / (RECOVERY_S - REFUSAL_INTERVAL_S)  # starts when refusals have stopped
            rise = max(MAX_RISE_PER_S, recovery) * max(0.0, now - self._updated_at)
            self._estimate = min(ceiling, self._estimate + rise * computed)
        if correction >= 1:
            self._corrected = 1.0
        self._computed = computed
        self._updated_at = now

    def record_refusal(self, in_progress: float, now: float) -> None:
        """Record that a server had no memory or slot while so many requests were in progress on all nodes."""
        if not self._computed or in_progress >= self.limit:
            return
        self.update(self._computed, now)
        if now - self._lowered_at >= REFUSAL_INTERVAL_S:
            least = min(self._estimate, MIN_CORRECTION * self._computed)
            self._estimate = max(least, (1 - REFUSAL_STEP) * self._estimate)
            self._lowered_at = now
        self._corrected = self._estimate / self._computed
        self._refused_at = now

    def record_duration(self, seconds: float) -> None:
        """Record the duration of a whole answer."""
        self._durations += 1
        weight = max(MIN_DURATION_WEIGHT, 1 / self._durations)
        self._duration += weight * (max(MIN_DURATION_S, seconds) - self._duration)

    @property
    def limit(self) -> float:
        """Return how many requests may be in progress; infinite before the first update."""
        return USABLE_SHARE * self._estimate

    @property
    def rate(self) -> float:
        """Return how many requests may begin per second: the limit over the mean duration (Little's law)."""
        return self.limit / self._duration

    @property
    def duration(self) -> float:
        """Return the mean seconds of a whole answer."""
        return self._duration

    def _compute_correction(self, now: float) -> float:
        recovering = now - self._refused_at - REFUSAL_INTERVAL_S
        recovered = min(1.0, max(0.0, recovering / (RECOVERY_S - REFUSAL_INTERVAL_S)))
        return self._corrected + (1 - self._corrected) * recovered


__all__ = ["USABLE_SHARE", "CapacityEstimate", "estimate_capacity"]
