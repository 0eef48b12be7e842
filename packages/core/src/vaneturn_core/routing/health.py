"""What this node has seen of each backend server."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from vaneturn_core.identifiers import VmId

FAILURES_TO_EJECT: Final = 3
EJECTION: Final = 5.0  # seconds, doubled with each ejection in a row
MAX_EJECTION: Final = 60.0
MAX_EJECTED_SHARE: Final = 0.5  # of the servers; beyond it failures do not eject
LATENCY_WEIGHT: Final = 0.2  # of the newest reply in the moving average
BEST_DRIFT: Final = 1.001  # with each reply the best latency is forgotten by so much
INITIAL_LIMIT: Final = 64
MIN_LIMIT: Final = 4
MAX_LIMIT: Final = 4096
LATENCY_TOLERANCE: Final = 3.0  # replies slower than this many times the best halve the limit
FORGETTING: Final = 5.0  # seconds without a reply in which half of a server's slowness is forgotten
PROMPT_POSITIONS: Final = 16  # a step with at least so many tells the speed of prompts
TIMEOUT_RATIO: Final = 10.0  # of the step timeout to the average latency
POSITION_TIMEOUT: Final = 0.004  # seconds more for each position of a step


class LeavingSource(Enum):
    """Who said that a server is leaving; any one is enough."""

    OPERATOR = "operator"
    VM_LIST = "vm_list"
    SERVER = "server"
    PEER = "peer"


@dataclass
class ServerHealth:
    """Load, latency and failures of one server as seen from this node."""

    in_progress: int = 0
    latency: float = 0.0  # moving average of steps with one position, seconds
    position_seconds: float = 0.0  # moving average for each position of a prompt
    replied_at: float = 0.0
    best_latency: float = float("inf")
    limit: float = INITIAL_LIMIT
    failures: int = 0  # in a row
    failed_at: float = float("-inf")  # the last failure that counted
    ejections: int = 0  # in a row
    ejected_until: float = 0.0
    rest_until: float = 0.0  # until when it asked for no new work
    leaving: set[LeavingSource] = field(default_factory=set)

    def compute_timeout(self, positions: int, shortest: float, longest: float) -> float:
        """Compute how long to wait for the reply to a step; too short costs a rebuild, never a wrong answer."""
        expected = max(shortest, TIMEOUT_RATIO * self.latency)
        return min(longest, expected + positions * POSITION_TIMEOUT)

    def record_reply(self, latency: float, positions: int, now: float) -> None:
        """Take a reply into the averages and adapt the concurrency limit."""
        self.failures = 0
        self.ejections = 0
        self.replied_at = now
        if positions >= PROMPT_POSITIONS:
            self.position_seconds = _average(self.position_seconds, latency / positions)
            return
        self.best_latency = min(self.best_latency * BEST_DRIFT, latency)
        self.latency = _average(self.latency, latency)
        if self.latency > LATENCY_TOLERANCE * self.best_latency:
            self.limit = max(MIN_LIMIT, self.limit - self.limit / 2 / max(self.in_progress, 1))
        elif self.in_progress * 2 >= self.limit:
            self.limit = min(MAX_LIMIT, self.limit + 1 / self.limit)


def _average(average: float, newest: float) -> float:
    return newest if not average else average + LATENCY_WEIGHT * (newest - average)


class ServerHealths:
    """The health of all servers; decides which must not get new work."""

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
        """Estimate the seconds to the reply of one step."""
        health = self[vm]
        if not health.latency:
            return 0.0
        slowness = max(0.0, health.latency - health.best_latency)
        remembered: float = 0.5 ** ((self._clock() - health.replied_at) / FORGETTING)
        return health.latency - slowness * (1 - remembered)

    def record_reply(self, vm: VmId, latency: float, positions: int = 1) -> None:
        """Take a reply of a server into its health."""
        self[vm].record_reply(latency, positions, self._clock())

    def record_failure(self, vm: VmId, begun: float | None = None) -> None:
        """Count a lost or late reply; eject the server after several in a row, within the cap.

        :param begun: when the step began, by the clock of this; one begun before the last failure is part of the same
            event, as all steps on a connection that has ended.
        """
        health = self[vm]
        if begun is not None:
            if begun <= health.failed_at:
                return
            health.failed_at = self._clock()
        health.failures += 1
        if health.failures < FAILURES_TO_EJECT or self._is_ejected(health):
            return
        ejected = sum(self._is_ejected(other) for other in self._servers.values())
        if ejected + 1 > MAX_EJECTED_SHARE * len(self._servers):
            return
        health.ejected_until = self._clock() + min(MAX_EJECTION, EJECTION * 2**health.ejections)
        health.ejections += 1

    def mark_leaving(self, vm: VmId, source: LeavingSource) -> None:
        """Give the server no new work from now on."""
        if source in self[vm].leaving:
            return
        self[vm].leaving.add(source)
        self._notify()

    def unmark_leaving(self, vm: VmId, source: LeavingSource) -> None:
        """Take back what one source said of a server."""
        if source not in self[vm].leaving:
            return
        self[vm].leaving.discard(source)
        self._notify()

    def list_said_by(self, source: LeavingSource) -> frozenset[VmId]:
        """List the servers that one source says are leaving."""
        return frozenset(vm for vm, health in self._servers.items() if source in health.leaving)

    def replace_leaving(self, source: LeavingSource, vms: Iterable[VmId]) -> None:
        """Replace all that one source says is leaving."""
        now_leaving = set(vms)
        before = self.list_said_by(source)
        for vm in before - now_leaving:
            self[vm].leaving.discard(source)
        for vm in now_leaving - before:
            self[vm].leaving.add(source)
        if before != now_leaving:
            self._notify()

    def list_leaving(self) -> frozenset[VmId]:
        """List the servers that must not get new work because they leave."""
        return frozenset(vm for vm, health in self._servers.items() if health.leaving)

    def take_rest(self, vm: VmId, seconds: float) -> None:
        """Take note that a server wants no new work for a time; the latest end holds."""
        self[vm].rest_until = max(self[vm].rest_until, self._clock() + seconds)

    def compute_rest(self, vm: VmId) -> float:
        """Compute the seconds for which a server still wants no new work."""
        return max(0.0, self[vm].rest_until - self._clock())

    def list_ejected(self) -> frozenset[VmId]:
        """List the servers that are ejected for their failures."""
        return frozenset(vm for vm, health in self._servers.items() if self._is_ejected(health))

    def _is_ejected(self, health: ServerHealth) -> bool:
        return health.ejected_until > self._clock()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


__all__ = ["LeavingSource", "ServerHealth", "ServerHealths"]
