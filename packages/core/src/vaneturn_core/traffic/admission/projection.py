"""Projection of the requests in progress from the time of the figures, which are up to 3 s old, to the present."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from vaneturn_core.traffic.admission.capacity import CapacityEstimate
from vaneturn_core.traffic.admission.demand import ServiceDemand

STEP_S: Final = 0.1
WINDOW_S: Final = 2.0  # over which arrivals and refusals are averaged
MAX_AGE_S: Final = 3.0  # of the figures
EFFECT_S: Final = 3.0  # over which the effect is averaged
MIN_EFFECT: Final = 0.25  # clients that retry four times at once lower the effect to a fifth at most
MAX_EFFECT: Final = 1.25  # clients that return when their draw is small


@dataclass(frozen=True, slots=True)
class Projection:
    """What a node takes for granted about all nodes since the time of the figures."""

    in_progress: float = 0.0  # requests, at the time of the shares
    age: float = math.inf  # of the figures at that time
    past: tuple[tuple[float, float], ...] = ()  # seconds and share of the arrivals that was admitted, newest first
    effect: float = 1.0  # admitted requests over those that the shares mean to admit

    def extrapolate(self, demand: ServiceDemand, capacity: CapacityEstimate, share: float) -> float:
        """Return the requests in progress at the present age of the figures.

        Below the limit all arrivals are admitted; once it is reached, the share of them.
        """
        if math.isinf(demand.age) or math.isinf(self.age):
            return float(count_in_progress(demand))
        seconds = max(0.0, demand.age - self.age)
        arrivals = count_arrivals(demand)
        if self.in_progress >= capacity.limit:
            return _settle(self.in_progress, arrivals * min(1.0, share * self.effect), capacity.duration, seconds)
        return min(capacity.limit, _settle(self.in_progress, arrivals, capacity.duration, seconds))


def project(
    demand: ServiceDemand, capacity: CapacityEstimate, previous: Projection, share: float, elapsed: float
) -> Projection:
    """Project with new figures.

    :param share: of all arrivals that the previous shares admit.
    :param elapsed: seconds since the previous projection.
    """
    arrivals = count_arrivals(demand)
    past = _extend(previous, arrivals, capacity, share, elapsed)
    in_progress = float(count_in_progress(demand))
    if math.isinf(demand.age):
        return Projection(in_progress, demand.age, past, previous.effect)
    effect = _measure_effect(demand, previous.effect, past, elapsed)
    parts = _cut(past, 0.0, demand.age)
    missing = demand.age - sum(seconds for seconds, _ in parts)
    for seconds, admitted in ((missing, 1.0), *reversed(parts)):
        rate = arrivals * (min(1.0, admitted * effect) if admitted < 1 else 1.0)
        in_progress = _settle(in_progress, rate, capacity.duration, seconds)
    return Projection(in_progress, demand.age, past, effect)


def count_in_progress(demand: ServiceDemand) -> int:
    """Count the requests in progress at the time of the figures."""
    return sum(figures.in_progress for figures in demand.by_priority.values())


def count_arrivals(demand: ServiceDemand) -> float:
    """Return the arrivals per second at all priorities."""
    return sum(figures.arrivals for figures in demand.by_priority.values())


def _settle(in_progress: float, rate: float, duration: float, seconds: float) -> float:
    """Return the requests in progress after some seconds with a constant rate of admissions."""
    settled = rate * duration
    return settled + (in_progress - settled) * math.exp(-max(0.0, seconds) / duration)


def _extend(
    previous: Projection, arrivals: float, capacity: CapacityEstimate, share: float, elapsed: float
) -> tuple[tuple[float, float], ...]:
    """Add the time since the previous projection to the past."""
    in_progress = previous.in_progress
    left = min(elapsed, MAX_AGE_S + WINDOW_S)
    admitted = 0.0
    total = left
    while left > 0:
        seconds = min(STEP_S, left)
        part = 1.0 if in_progress < capacity.limit else share
        rate = arrivals * (min(1.0, part * previous.effect) if part < 1 else 1.0)
        in_progress = _settle(in_progress, rate, capacity.duration, seconds)
        admitted += part * seconds
        left -= seconds
    if total <= 0:
        return previous.past
    past = [(total, admitted / total), *previous.past]
    if len(past) > 1 and past[1][0] < STEP_S:  # a caller may project for every request
        both = past[0][0] + past[1][0]
        past[:2] = [(both, (past[0][0] * past[0][1] + past[1][0] * past[1][1]) / both)]
    return tuple(_cut(tuple(past), 0.0, MAX_AGE_S + WINDOW_S))


def _cut(past: tuple[tuple[float, float], ...], start: float, end: float) -> list[tuple[float, float]]:
    """Return the parts of the past from `start` to `end` seconds ago, newest first."""
    parts: list[tuple[float, float]] = []
    ago = 0.0
    for seconds, admitted in past:
        inside = min(end, ago + seconds) - max(start, ago)
        if inside > 0:
            parts.append((inside, admitted))
        ago += seconds
    return parts


def _measure_effect(
    demand: ServiceDemand, previous: float, past: tuple[tuple[float, float], ...], elapsed: float
) -> float:
    """Measure the effect of shares in the window of the figures."""
    parts = _cut(past, demand.age, demand.age + WINDOW_S)
    covered = sum(seconds for seconds, _ in parts)
    arrivals = count_arrivals(demand)
    if covered < WINDOW_S / 2 or arrivals <= 0:
        return previous
    meant = sum(seconds * admitted for seconds, admitted in parts) / covered
    admitted = 1 - sum(figures.refused for figures in demand.by_priority.values()) / arrivals
    seen = min(MAX_EFFECT, max(MIN_EFFECT, admitted / meant)) if 0 < meant < 1 else 1.0
    return previous + (seen - previous) * min(1.0, elapsed / EFFECT_S)


__all__ = ["Projection", "count_arrivals", "count_in_progress", "project"]
