"""The time of a chain to the first event and between events, compared with the objectives of the request."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, NamedTuple

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.layermap import HOP_TIME_S, Part
from vaneturn_core.traffic.pathsearch import OUTSIDE_HALLS, PathSearch
from vaneturn_core.traffic.reading import PromptReading, compute_pass, get_read_factor
from vaneturn_core.traffic.serverloads import EligibleLoads

PATIENT_FACTOR: Final = 1.5  # times the shortest objective of the service, from which a request leaves fast chains


@dataclass(frozen=True, slots=True)
class RequestObjectives:
    """The objectives of one request."""

    first_event: float | None = None  # seconds from its arrival; none if it has no such objective
    pause: float | None = None  # longest acceptable pause between two events, seconds
    elapsed: float = 0.0  # seconds since its arrival
    shortest: float | None = None  # shortest objective of the streams of a prioritized service; none for other services

    @property
    def time_left(self) -> float | None:
        """Return the seconds that are left to the first event; none without an objective, or when it has passed."""
        left = None if self.first_event is None else self.first_event - self.elapsed
        return left if left is not None and left > 0 else None

    @property
    def is_patient(self) -> bool:
        """Tell whether it leaves fast chains to more urgent requests of its service."""
        return (
            self.first_event is not None
            and self.shortest is not None
            and self.first_event >= PATIENT_FACTOR * self.shortest
        )


NO_OBJECTIVES: Final = RequestObjectives()


class ChainEstimate(NamedTuple):
    """The expected times of a chain."""

    first_event: float  # seconds from the send
    pause: float  # longest usual pause between two events, seconds


class ChainTimes:
    """Estimates the times of chains for one request; known only if the engine has reading figures."""

    def __init__(
        self, engine: EngineProfile, search: PathSearch, prompt: float, tokens: float, objectives: RequestObjectives
    ) -> None:
        self._engine = engine
        self._search = search
        self._tokens = tokens
        self._objectives = objectives
        self._reading = PromptReading(engine, prompt)
        # a pass of a stream waits at each server while that reads a chunk of another request's prompt
        self._other_chunk = PromptReading(engine, min(engine.usual_prompt, engine.chunk_tokens or engine.usual_prompt))
        self.is_known = self._reading.seconds is not None

    @property
    def is_patient(self) -> bool:
        """Tell whether the request leaves fast chains to more urgent ones."""
        return self.is_known and self._objectives.is_patient

    def estimate(self, parts: Sequence[Part], loads: EligibleLoads) -> ChainEstimate:
        """Estimate the times of a chain.

        The first event takes reading, a pass of what is in progress and a hop on each part, and transfers. Parts work
        on successive chunks at the same time, so each further chunk adds only a pass of the slowest part.
        A pause is one pass over the chain behind a chunk of another prompt on each part.
        """
        first_event = pause = longest_pass = 0.0
        hall, last_hall = OUTSIDE_HALLS, parts[-1].server.hall  # which sends each token to the first server
        for part in parts:
            server, length = part.server, part.end - part.first
            kind, load = self._engine.kinds[server.kind or ""], loads[server.id]
            pass_s, growth_s = compute_pass(self._engine, server)
            pass_s += growth_s * load.used
            wait_s = load.slowness * pass_s if load.used > 0 else 0.0
            longest_pass = max(longest_pass, wait_s)
            first_event += load.slowness * self._reading.estimate(kind, length) + wait_s + HOP_TIME_S
            first_event += self._search.find_delay(hall, server.hall)
            first_event += self._search.transfer_s if hall not in (OUTSIDE_HALLS, server.hall) else 0.0
            pass_s += growth_s * self._tokens * length + self._other_chunk.estimate(kind, length)
            pause += load.slowness * pass_s + HOP_TIME_S + self._search.find_delay(last_hall, server.hall)
            hall = last_hall = server.hall
        return ChainEstimate(first_event + (self._reading.chunks - 1) * longest_pass, pause)

    def keeps_objectives(self, parts: Sequence[Part], loads: EligibleLoads) -> bool:
        """Tell whether a chain is expected to keep the objectives; true if its times are unknown."""
        if not self.is_known:
            return True
        estimate, left, pause = self.estimate(parts, loads), self._objectives.time_left, self._objectives.pause
        return (left is None or estimate.first_event <= left) and (pause is None or estimate.pause <= pause)

    def may_be_kept(self) -> bool:
        """Tell whether a chain of the fastest kind alone could read the prompt in time."""
        left = self._objectives.time_left
        fastest = min(get_read_factor(kind) for kind in self._engine.kinds.values())
        return left is None or (self._reading.seconds or 0.0) * fastest < left


__all__ = ["NO_OBJECTIVES", "PATIENT_FACTOR", "ChainEstimate", "ChainTimes", "RequestObjectives"]
