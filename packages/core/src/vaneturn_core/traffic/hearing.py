"""Detection of whether this VM can reach others: an unanswered probe counts only if another probe got a prompt answer.

While the VM's own link is full, a node gets no answers: in a quarter of a second, 63 of 73 rounds of probes found all
of their servers unresponsive. Queued tokens still arrive then, but the answer to a later probe does not.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

PROMPT_ANSWER_S: Final = 0.02  # for the answer to a probe on a free link; healthy servers answer in 2 to 4 ms
SLOWEST_ANSWER_FACTOR: Final = 4.0  # of the slowest answer in a round; the limit for the other answers


def compute_probe_timeout(asked: int, answers: Sequence[float]) -> float | None:
    """Compute the seconds after which servers without an answer are unresponsive; none while too few have answered.

    When a few servers of a chain stop responding, the others still answer in 2 to 4 ms. A fixed wait of 0.06 s made up
    a quarter of the pause after a loss. An answer in the same round shows that the link is free at that moment, which
    older answers do not, since a node probes rarely.

    :param asked: number of servers that were probed together.
    :param answers: seconds that each answer so far has taken.
    """
    if 2 * len(answers) <= asked:
        return None
    return compute_answer_limit(max(answers))


def compute_answer_limit(slowest: float) -> float:
    """Compute the seconds that an answer may take, from the slowest of the others."""
    return max(PROMPT_ANSWER_S, SLOWEST_ANSWER_FACTOR * slowest)


class Reachability:
    """Tracks the newest probe that was answered promptly."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._asked_at = float("-inf")

    def record_answer(self, asked_at: float) -> None:
        """Record an answer that arrives now, to a probe that was sent at a monotonic time."""
        if self._clock() - asked_at <= PROMPT_ANSWER_S:
            self._asked_at = max(self._asked_at, asked_at)

    def has_reached_others_since(self, at: float) -> bool:
        """Tell whether a probe that was sent at that time or later was answered promptly."""
        return self._asked_at >= at


__all__ = ["PROMPT_ANSWER_S", "Reachability", "compute_answer_limit", "compute_probe_timeout"]
