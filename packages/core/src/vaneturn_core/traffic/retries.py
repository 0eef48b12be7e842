"""The part of the shared retry budget that this node may spend.

It has two parts. First sends earn retries, which are valid for a short time. The slack, which the operators allow per
window beyond that, is divided among the nodes.
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

# Of the ratio: in a window arrive the retries of first sends in it, in the lifetime of an earned retry before it, and
# in the time for which a silent server may delay arrivals.
EARNED_SHARE: Final = 0.8
EARNED_LIFETIME_S: Final = 1.0
MAX_ARRIVAL_DELAY_S: Final = 1.5  # of sends to a server that is silent for a moment
SLACK_SHARE: Final = 0.75  # of the slack; the rest is for nodes that start, and for parts that are rounded up
UNRESERVED_SHARE: Final = 0.85  # of the slack; the rest is reserved for answers in progress
REFUSED_SHARE: Final = 0.8  # of the slack, for refused requests while servers refuse most retries as well
MIN_ACCEPTED_SHARE: Final = 0.25  # of the retries of refused requests, for more than that
ACCEPTED_SHARE_GAIN: Final = 0.1  # weight of the newest retry in the average


class RetryReason(Enum):
    """Why a request is sent once more; the values appear in logs and metrics."""

    REFUSED = "refused"  # a server refused it
    FAILED = "failed"  # a server answered with an error
    LOST = "lost"  # a server could not be reached, was cut off or was silent
    MOVED = "moved"  # an answer in progress has to be resumed on another server


@dataclass(eq=False, slots=True)
class SendClaim:
    """A send that was counted, and may be taken back until it is made."""

    at: float  # monotonic time; of an earned retry, when it was earned
    reason: RetryReason | None  # none for the first send of a request
    is_earned: bool = False  # by a first send; other retries are taken from the slack
    is_lent: bool = False  # by another node, whose budget counts it


@dataclass
class RetryCounts:
    """How many retries were made, were accepted by a server, and were declined for lack of budget."""

    sent: Counter[RetryReason] = field(default_factory=Counter)
    accepted: Counter[RetryReason] = field(default_factory=Counter)
    declined: Counter[RetryReason] = field(default_factory=Counter)


class WindowedRetryBudget:
    """Allows retries that first sends have earned, and those of this node's part of the slack in a sliding window."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        *,
        compute_share: Callable[[], float],
        clock: Callable[[], float],
        rounding: float = 0.0,
    ) -> None:
        """Create the budget of one service.

        :param ratio: retries allowed per first send, over all nodes.
        :param slack: retries allowed per window beyond the ratio, over all nodes.
        :param window: length of the window in seconds.
        :param compute_share: computes the share of the slack that this node may use, from 0 to 1.
        :param rounding: added to this node's part of the slack before it is rounded down; from 0 to 1, evenly
            distributed over the nodes, so that their parts add up to the slack.
        """
        self._earned_per_send = EARNED_SHARE * ratio
        self._slack = SLACK_SHARE * slack
        self._window = window + MAX_ARRIVAL_DELAY_S
        self._compute_share = compute_share
        self._clock = clock
        self._rounding = rounding
        self._credit = random.random()  # of first sends, less than one retry; new processes gain nothing on average
        self._earned: deque[float] = deque()  # when each retry that is still valid was earned
        self._slack_claims: deque[SendClaim] = deque()
        self._accepted_share = 1.0  # of the recent retries of refused requests
        self.waiting = 0  # requests in progress at a lost or silent server that wait for a retry
        self.counts = RetryCounts()

    def record_first(self) -> SendClaim:
        """Record the first send of a request."""
        self._forget()
        now = self._clock()
        self._credit += self._earned_per_send
        while self._credit >= 1:
            self._credit -= 1
            self._earned.append(now)
        return SendClaim(now, None)

    def spend(self, reason: RetryReason) -> SendClaim | None:
        """Spend one retry; none when this node has used up its part of the budget."""
        self._forget()
        claim = self._claim(reason)
        (self.counts.declined if claim is None else self.counts.sent)[reason] += 1
        return claim

    def lend(self, reason: RetryReason) -> SendClaim | None:
        """Spend one retry on a send that another node makes; without one, that node may have one of its own."""
        self._forget()
        claim = self._claim(reason)
        self.counts.sent[reason] += claim is not None
        return claim

    def take_back(self, claim: SendClaim) -> None:
        """Remove a send that was not made after all; a lent one stays counted at the node that lent it."""
        if claim.is_lent:
            return
        if claim.reason is None:
            self._credit -= self._earned_per_send
            return
        self.counts.sent[claim.reason] -= 1
        if claim.is_earned:
            self._earned.appendleft(claim.at)
        elif claim in self._slack_claims:
            self._slack_claims.remove(claim)

    def record_outcome(self, claim: SendClaim, *, is_accepted: bool) -> None:
        """Record whether a server has accepted a send."""
        if claim.reason is None or claim.is_lent:
            return
        self.counts.accepted[claim.reason] += is_accepted
        if claim.reason is RetryReason.REFUSED:
            self._accepted_share += ACCEPTED_SHARE_GAIN * (is_accepted - self._accepted_share)

    def compute_limit(self) -> int:
        """Compute how many retries of the slack this node may make in the window."""
        part = self._slack * self._compute_share()
        return math.floor(part + self._rounding) if part > 0 else 0

    def count_used(self) -> int:
        """Count the retries of the slack in the window."""
        self._forget()
        return len(self._slack_claims)

    def count_earned(self) -> int:
        """Count the earned retries that are still valid."""
        self._forget()
        return len(self._earned)

    def _claim(self, reason: RetryReason) -> SendClaim | None:
        if self.waiting and reason in {RetryReason.REFUSED, RetryReason.FAILED}:
            return None  # their clients may retry at once, while the work done for the others would be lost
        if self._earned:
            return SendClaim(self._earned.popleft(), reason, is_earned=True)
        limit = math.ceil(self._get_usable_share(reason) * self.compute_limit())
        if len(self._slack_claims) >= limit:
            return None
        claim = SendClaim(self._clock(), reason)
        self._slack_claims.append(claim)
        return claim

    def _get_usable_share(self, reason: RetryReason) -> float:
        """Return the share of this node's slack that a reason may use."""
        if reason is RetryReason.MOVED:
            return 1.0
        if reason is RetryReason.REFUSED and self._accepted_share < MIN_ACCEPTED_SHARE:
            return REFUSED_SHARE
        return UNRESERVED_SHARE

    def _forget(self) -> None:
        now = self._clock()
        while self._earned and self._earned[0] < now - EARNED_LIFETIME_S:
            self._earned.popleft()
        while self._slack_claims and self._slack_claims[0].at < now - self._window:
            self._slack_claims.popleft()


__all__ = ["EARNED_LIFETIME_S", "MAX_ARRIVAL_DELAY_S", "RetryCounts", "RetryReason", "SendClaim", "WindowedRetryBudget"]
