"""Chooses the nodes that are asked to handle a request which this node cannot send to any server."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from enum import Enum
from typing import Final, NamedTuple

from vaneturn_core.identifiers import VmId


class DeclineReason(Enum):
    """Why a node has not taken a request of another node."""

    NO_PATH = "no path"  # it reaches no server of the service either
    NO_ANSWER = "no answer"
    STOPPING = "stopping"
    OLDER_CONFIGURATION = "older configuration"
    NOT_ADMITTED = "not admitted"  # it has no chain, room or retry budget for this request; says nothing of others


# time for which a node that declined is not asked again
BACKOFFS_S: Final = {
    DeclineReason.NO_PATH: 1.0,
    DeclineReason.NO_ANSWER: 1.0,
    DeclineReason.STOPPING: 1.0,  # it has left the list of nodes, and is back in it once it has started again
    DeclineReason.OLDER_CONFIGURATION: 0.1,
    DeclineReason.NOT_ADMITTED: 0.0,
}
PASSING_REASONS: Final = frozenset({DeclineReason.OLDER_CONFIGURATION, DeclineReason.NOT_ADMITTED})
DEMOTION_S: Final = 5.0  # time for which a node that declined for any other reason is asked only if no other is left


class _Decline(NamedTuple):
    reason: DeclineReason
    at: float  # monotonic time

    @property
    def backoff_until(self) -> float:
        return self.at + BACKOFFS_S[self.reason]


class PeerChoice:
    """The nodes that may be asked, and the requests of this node that each of them has in progress."""

    def __init__(self, vm: VmId, clock: Callable[[], float]) -> None:
        self._vm = vm
        self._clock = clock
        self._declines: dict[VmId, _Decline] = {}  # the newest of each node, until it takes a request
        self._in_progress: Counter[VmId] = Counter()

    def choose(self, nodes: Mapping[VmId, str | None], excluded: Collection[VmId]) -> VmId | None:
        """Choose the node with fewer requests of this node among two random ones; None if all declined lately.

        Nodes that had no path, were stopping or did not answer when they were asked last come after the others.
        """
        now = self._clock()
        eligible = [
            vm
            for vm, address in nodes.items()
            if address is not None and vm != self._vm and vm not in excluded and not self._rests(vm, now)
        ]
        candidates = [vm for vm in eligible if not self._is_demoted(vm, now)] or eligible
        if not candidates:
            return None
        return min(random.sample(candidates, min(2, len(candidates))), key=lambda vm: self._in_progress[vm])

    def record_declined(self, vm: VmId, reason: DeclineReason) -> None:
        """Record that a node declined a request or did not answer."""
        now = self._clock()
        self._declines = {each: one for each, one in self._declines.items() if now - one.at < _get_memory(one.reason)}
        self._declines[vm] = _Decline(reason, now)

    def record_accepted(self, vm: VmId) -> None:
        """Record that a node has taken a request."""
        self._declines.pop(vm, None)

    def record_begun(self, vm: VmId) -> None:
        """Record that a request is sent to a node."""
        self._in_progress[vm] += 1

    def record_ended(self, vm: VmId) -> None:
        """Record that a request is no longer in progress at a node."""
        self._in_progress[vm] -= 1
        if self._in_progress[vm] <= 0:
            del self._in_progress[vm]

    def _rests(self, vm: VmId, now: float) -> bool:
        decline = self._declines.get(vm)
        return decline is not None and now < decline.backoff_until

    def _is_demoted(self, vm: VmId, now: float) -> bool:
        decline = self._declines.get(vm)
        return decline is not None and decline.reason not in PASSING_REASONS and now - decline.at < DEMOTION_S


def _get_memory(reason: DeclineReason) -> float:
    return max(BACKOFFS_S[reason], DEMOTION_S)


__all__ = ["BACKOFFS_S", "DEMOTION_S", "DeclineReason", "PeerChoice"]
