"""Requests that were lost or cancelled on servers, while it is not known whether these have crashed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from vaneturn_core.traffic.blame.crashes import STARTING_TIME_S, LostRequest, ServerCrash
from vaneturn_core.traffic.servers import ServerId, Software

MAX_PENDING_AGE_S: Final = 8.0  # the entry of a crashed server is removed after three missed heartbeats


@dataclass(slots=True)
class _PendingCrash:
    software: Software
    losses: list[tuple[float, LostRequest]] = field(default_factory=list)  # with monotonic times, oldest first
    crashed_at: float | None = None  # when the first connection was lost since the server was last known to run


class PendingCrashes:
    """The requests that this node has lost with servers that may have crashed."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._pending: dict[ServerId, _PendingCrash] = {}

    def record(self, server: ServerId, software: Software, lost: LostRequest, *, is_cancelled: bool = False) -> None:
        """Record a lost request, and drop those that were lost long ago.

        :param is_cancelled: whether this node cancelled it, which does not tell that the server has crashed.
        """
        now = self._clock()
        self._pending.setdefault(server, _PendingCrash(software)).losses.append((now, lost))
        for pending in self._pending.values():
            pending.losses = [loss for loss in pending.losses if loss[0] > now - MAX_PENDING_AGE_S]
        self._pending = {server: pending for server, pending in self._pending.items() if pending.losses}
        if self._pending[server].crashed_at is None and not is_cancelled:
            self._pending[server].crashed_at = now

    def record_running(self, server: ServerId) -> None:
        """Record that a server runs: a connection that was lost before does not tell when it crashes."""
        if server in self._pending:
            self._pending[server].crashed_at = None

    def list_absent(self, present: Iterable[ServerId]) -> list[ServerId]:
        """List the servers not among those present to which connections were lost since they were known to run."""
        lost = {server for server, pending in self._pending.items() if pending.crashed_at is not None}
        return list(lost - set(present))

    def describe(self, server: ServerId) -> ServerCrash | None:
        """Describe the crash of a server without its suspects; None if no request was lost there."""
        pending = self._pending.get(server)
        if pending is None:
            return None
        return ServerCrash(self._clock() if pending.crashed_at is None else pending.crashed_at, pending.software)

    def take_suspects(self, server: ServerId, crashed_at: float) -> list[LostRequest]:
        """Remove the requests lost with a server, and list those that may have crashed it.

        Those that were lost long before did not, as the server went on.
        """
        pending = self._pending.pop(server, None)
        losses = pending.losses if pending is not None else []
        return [lost for lost_at, lost in losses if lost_at >= crashed_at - STARTING_TIME_S]


__all__ = ["MAX_PENDING_AGE_S", "PendingCrashes"]
