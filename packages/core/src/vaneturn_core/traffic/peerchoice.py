"""Chooses the nodes that are asked to handle a request which this node cannot send to any server."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from typing import Final

from vaneturn_core.identifiers import VmId

DECLINE_BACKOFF_S: Final = 1.0  # time for which a node that declined or did not answer is not asked again


class PeerChoice:
    """The nodes that may be asked, and the requests of this node that each of them has in progress."""

    def __init__(self, vm: VmId, clock: Callable[[], float]) -> None:
        self._vm = vm
        self._clock = clock
        self._backoff_until: dict[VmId, float] = {}
        self._in_progress: Counter[VmId] = Counter()

    def choose(self, nodes: Mapping[VmId, str | None], excluded: Collection[VmId]) -> VmId | None:
        """Choose the node with fewer requests of this node among two random ones; None if all declined lately."""
        now = self._clock()
        eligible = [
            vm
            for vm, address in nodes.items()
            if address is not None and vm != self._vm and vm not in excluded and self._backoff_until.get(vm, now) <= now
        ]
        if not eligible:
            return None
        return min(random.sample(eligible, min(2, len(eligible))), key=lambda vm: self._in_progress[vm])

    def record_declined(self, vm: VmId) -> None:
        """Record that a node declined a request or did not answer."""
        now = self._clock()
        self._backoff_until = {each: until for each, until in self._backoff_until.items() if until > now}
        self._backoff_until[vm] = now + DECLINE_BACKOFF_S

    def record_begun(self, vm: VmId) -> None:
        """Record that a node has accepted a request."""
        self._in_progress[vm] += 1

    def record_ended(self, vm: VmId) -> None:
        """Record that a request is no longer in progress at a node."""
        self._in_progress[vm] -= 1
        if self._in_progress[vm] <= 0:
            del self._in_progress[vm]


__all__ = ["DECLINE_BACKOFF_S", "PeerChoice"]
