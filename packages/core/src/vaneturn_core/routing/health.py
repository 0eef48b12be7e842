"""Load, latency and failures of each backend server as observed by this node."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from vaneturn_core.backoff import compute_backoff
from vaneturn_core.identifiers import VmId

FAILURES_TO_EJECT: Final = 3
EJECTION_S: Final = 5.0  # doubled with each consecutive ejection
MAX_EJECTION_S: Final = 60.0
MAX_EJECTED_SHARE: Final = 0.5  # of the servers; above this share, failures eject no further servers
LATENCY_WEIGHT: Final = 0.2  # of the newest reply in the moving average
BEST_LATENCY_GROWTH: Final = 1.001  # factor by which the best latency grows with each reply, so that old values expire
INITIAL_LIMIT: Final = 64
MIN_LIMIT: Final = 4
MAX_LIMIT: Final = 4096
LATENCY_TOLERANCE: Final = 3.0  # above this ratio of average to best latency, each round of replies halves the limit
SLOWNESS_HALF_LIFE_S: Final = 5.0  # time without a reply after which the excess over the best latency counts half
MIN_PROMPT_POSITIONS: Final = 16  # a step with at least this many positions measures prompt speed
TIMEOUT_RATIO: Final = 10.0  # of the step timeout to the average latency
POSITION_TIMEOUT_S: Final = 0.004  # added to the timeout for each position of a step


class LeavingSource(Enum):
    """Who reported that a server is leaving; one source is enough."""

    OPERATOR = "operator"
    VM_LIST = "vm_list"
    SERVER = "server"
    PEER = "peer"


@dataclass
class ServerHealth:
    """Load, latency and failures of one server as observed by this node."""

    in_progress: int = 0
    latency: float = 0.0  # moving average of steps with few positions (usually one), seconds
    position_seconds: float = 0.0  # moving average per position of a prompt
    replied_at: float = 0.0
    best_latency: float = float("inf")
    limit: float = INITIAL_LIMIT
    failures: int = 0  # consecutive
    failed_at: float = float("-inf")  # time of the last failure with a known start
    ejections: int = 0  # consecutive
    ejected_until: float = 0.0
    rest_until: float = 0.0  # end of the time for which the server asked for no new work
    leaving: set[LeavingSource] = field(default_factory=set)

    def compute_timeout(self, positions: int, shortest: float, longest: float) -> float:
        """Compute how long to wait for the reply to a step; too short a timeout costs a rebuild, not correctness."""
        expected = max(shortest, TIMEOUT_RATIO * self.latency)
        return min(longest, expected + positions * POSITION_TIMEOUT_S)

    def record_reply(self, latency: float, positions: int, now: float) -> None:
        """Update the averages with a reply and adapt the concurrency limit."""
        self.failures = 0
        self.ejections = 0
        self.replied_at = now
        if positions >= MIN_PROMPT_POSITIONS:
            self.position_seconds = _average(self.position_seconds, latency / positions)
            return
        self.best_latency = min(self.best_latency * BEST_LATENCY_GROWTH, latency)
        self.latency = _average(self.latency, latency)
        if self.latency > LATENCY_TOLERANCE * self.best_latency:
            self.limit = max(MIN_LIMIT, self.limit - self.limit / 2 / max(self.in_progress, 1))
        elif self.in_progress * 2 >= self.limit:
            self.limit = min(MAX_LIMIT, self.limit + 1 / self.limit)


def _average(average: float, newest: float) -> float:
    return newest if not average else average + LATENCY_WEIGHT * (newest - average)


class ServerHealths:
    """The health of all servers, and which of them must not get new work."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._servers: dict[VmId, ServerHealth] = {}
        self._listeners: list[Callable[[], None]] = []

    def __getitem__(self, vm: VmId) -> ServerHealth:
        return self._servers.setdefault(vm, ServerHealth())

    def on_leaving(self, listener: Callable[[], None]) -> None:
        """Call the listener when the set of leaving servers has changed."""
        self._listeners.append(listener)

    def is_full(self, vm: VmId) -> bool:
        """Tell whether the server's concurrency limit on this node is reached."""
        return self[vm].in_progress >= self[vm].limit

    def estimate_latency(self, vm: VmId) -> float:
        """Estimate the seconds until the reply to one step."""
        health = self[vm]
        if not health.latency:
            return 0.0
        slowness = max(0.0, health.latency - health.best_latency)
        remaining_share: float = 0.5 ** ((self._clock() - health.replied_at) / SLOWNESS_HALF_LIFE_S)
        return health.latency - slowness * (1 - remaining_share)

    def record_reply(self, vm: VmId, latency: float, positions: int = 1) -> None:
        """Update a server's health with a reply."""
        self[vm].record_reply(latency, positions, self._clock())

    def record_failure(self, vm: VmId, started_at: float | None = None) -> None:
        """Count a lost or late reply; eject the server after several consecutive ones, within the cap.

        :param started_at: when the step started, by this object's clock. A step that started before the last failure is
            not counted, since it belongs to the same event, such as a closed connection that fails all its steps.
        """
        health = self[vm]
        if started_at is not None:
            if started_at <= health.failed_at:
                return
            health.failed_at = self._clock()
        health.failures += 1
        if health.failures < FAILURES_TO_EJECT or self._is_ejected(health):
            return
        ejected = sum(self._is_ejected(other) for other in self._servers.values())
        if ejected + 1 > MAX_EJECTED_SHARE * len(self._servers):
            return
        health.ejected_until = self._clock() + compute_backoff(EJECTION_S, MAX_EJECTION_S, health.ejections)
        health.ejections += 1

    def mark_leaving(self, vm: VmId, source: LeavingSource) -> None:
        """Record that a source reports the server as leaving, so that it gets no new work."""
        if source in self[vm].leaving:
            return
        self[vm].leaving.add(source)
        self._notify()

    def unmark_leaving(self, vm: VmId, source: LeavingSource) -> None:
        """Withdraw the report of one source about a server."""
        if source not in self[vm].leaving:
            return
        self[vm].leaving.discard(source)
        self._notify()

    def list_reported_by(self, source: LeavingSource) -> frozenset[VmId]:
        """List the servers that one source reports as leaving."""
        return frozenset(vm for vm, health in self._servers.items() if source in health.leaving)

    def replace_leaving(self, source: LeavingSource, vms: Iterable[VmId]) -> None:
        """Replace the set of servers that one source reports as leaving."""
        reported = set(vms)
        before = self.list_reported_by(source)
        for vm in before - reported:
            self[vm].leaving.discard(source)
        for vm in reported - before:
            self[vm].leaving.add(source)
        if before != reported:
            self._notify()

    def list_leaving(self) -> frozenset[VmId]:
        """List the servers that must not get new work because they are leaving."""
        return frozenset(vm for vm, health in self._servers.items() if health.leaving)

    def record_rest(self, vm: VmId, seconds: float) -> None:
        """Record that a server asks for no new work for a time; of several requests the latest end applies."""
        self[vm].rest_until = max(self[vm].rest_until, self._clock() + seconds)

    def compute_remaining_rest(self, vm: VmId) -> float:
        """Compute the remaining seconds for which a server asks for no new work."""
        return max(0.0, self[vm].rest_until - self._clock())

    def list_ejected(self) -> frozenset[VmId]:
        """List the servers that are ejected because of failures."""
        return frozenset(vm for vm, health in self._servers.items() if self._is_ejected(health))

    def _is_ejected(self, health: ServerHealth) -> bool:
        return health.ejected_until > self._clock()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


__all__ = ["LeavingSource", "ServerHealth", "ServerHealths"]
