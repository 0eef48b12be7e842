"""How long a stream may pause before its servers are probed.

When a server stops responding under a stream, the caller sees a pause that consists of the time before the probe, the
probe, the choice of other servers, and the time in which these read the prompt and produce an event. The longest pause
that a caller accepts is set in its route, and the time to resume an answer is measured here. The difference is the time
before the probe, but it is never shorter than a normal pause of the answer, nor than nearly all pauses on this node in
which no server was lost.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from vaneturn_core.traffic.pace import Pause, StreamPace

MAX_SILENCE_S: Final = 0.1  # at the usual pace and whatever the caller accepts: a loss shows in less
MAX_SILENCE_PAUSES: Final = 2.5  # the same in usual pauses of the answer, since slow chains pause for longer
MIN_SILENCE_S: Final = 0.04  # an earlier probe of a chain finds only servers that are busy with a pass
MAX_RESUME_TIMES: Final = 32  # newest resume times that are kept, over all answers of a node
MIN_RESUME_TIMES: Final = 4  # with fewer, ASSUMED_RESUME_S is used
# seconds; 9 in 10 of 345 resumes on 64 nodes took no longer, and a single node sees too few to learn this soon. It
# consists of a probe of 0.03 s, reading the prompt together with those of the other streams over the lost server, and
# producing an event
ASSUMED_RESUME_S: Final = 0.17
RESUME_QUANTILE: Final = 0.9  # share of resumes that should fit into the time left for them
FIRST_ORDINARY_PAUSE_S: Final = 0.06  # initial estimate of the longest ordinary pause
# share of the pauses without a loss that may cause a probe, since each probe goes to the whole chain and costs a server
# 5.5 ms. By the pace of single answers alone, a day had 3,950 probes in place of 189
NEEDLESS_PROBE_SHARE: Final = 0.003
LEARNING_STEP_S: Final = 0.003  # scales how far a longer pause raises the estimate and a shorter one lowers it


class ProbeDelay:
    """Computes when to probe; one instance per node, which learns from all of its answers."""

    def __init__(self) -> None:
        self._resume_times: deque[float] = deque(maxlen=MAX_RESUME_TIMES)
        self._ordinary_pause_s = FIRST_ORDINARY_PAUSE_S  # seconds; nearly all pauses without a loss are shorter

    def record_pause(self, pause: Pause) -> None:
        """Learn the time to resume an answer, and the length of ordinary pauses."""
        if pause.looked and pause.went_on:
            self._resume_times.append(pause.length - pause.looked)
        if not pause.found and not pause.went_on:
            is_longer = pause.length > self._ordinary_pause_s
            self._ordinary_pause_s += LEARNING_STEP_S * (
                (1 - NEEDLESS_PROBE_SHARE) if is_longer else -NEEDLESS_PROBE_SHARE
            )

    def estimate_resume_time(self) -> float:
        """Estimate the seconds from the probe until the answer resumes, if a server was lost."""
        if len(self._resume_times) < MIN_RESUME_TIMES:
            return ASSUMED_RESUME_S
        return sorted(self._resume_times)[int(RESUME_QUANTILE * (len(self._resume_times) - 1))]

    def compute(self, pace: StreamPace, objective: float | None) -> float:
        """Compute the seconds without an event after which the servers are probed.

        :param objective: longest pause that the caller accepts, in seconds; none when the route does not set it.
        """
        longest = max(MAX_SILENCE_S, MAX_SILENCE_PAUSES * pace.usual)
        normal_pause = pace.estimate_normal_pause()
        if objective is None or normal_pause is None:
            return longest
        return min(
            longest, max(MIN_SILENCE_S, normal_pause, self._ordinary_pause_s, objective - self.estimate_resume_time())
        )


__all__ = [
    "ASSUMED_RESUME_S",
    "FIRST_ORDINARY_PAUSE_S",
    "MAX_SILENCE_S",
    "MIN_SILENCE_S",
    "NEEDLESS_PROBE_SHARE",
    "ProbeDelay",
]
