"""The phases of a planned stop: serving, stopping, closed to clients, over."""

from __future__ import annotations

from typing import Final

import anyio

from vaneturn_node.clock import read_clock
from vaneturn_node.http1.idleconnections import IdleConnections

UNREADY_TIME_S: Final = 2.6  # until the platform notices that a node is not ready and sends no new clients
UNREADY_SHARE: Final = 1 / 3  # largest part of a short stop in which every new client is served
ABORT_MARGIN_S: Final = 0.8  # before the platform kills the process; requests still in progress are aborted then
ABORT_SHARE: Final = 1 / 8  # largest part of a short stop that is this margin


class Lifecycle:
    """Tracks the planned stop of the process, and closes idle connections when it begins."""

    def __init__(self, stop_time: float) -> None:
        """Begin in the serving phase.

        :param stop_time: seconds from SIGTERM until the platform kills the process.
        """
        self._abort_margin = min(ABORT_MARGIN_S, ABORT_SHARE * stop_time)
        self._closed_after = min(UNREADY_TIME_S, UNREADY_SHARE * stop_time)
        self._aborted_after = stop_time - self._abort_margin
        self.stop_requested_at: float | None = None
        self.idle = IdleConnections()
        self._stop_requested = anyio.Event()

    @property
    def is_stopping(self) -> bool:
        """Tell whether a planned stop was requested."""
        return self.stop_requested_at is not None

    async def wait_for_stop(self) -> None:
        """Wait until a planned stop is requested."""
        await self._stop_requested.wait()

    def stop(self) -> None:
        """Begin the planned stop."""
        self.stop_requested_at = read_clock()
        self._stop_requested.set()
        self.idle.close_used()

    def get_time_left(self) -> float:
        """Give the seconds until a request that arrives now is aborted; infinite until new clients are refused."""
        if self.stop_requested_at is None or not self.is_closed_to_clients():
            return float("inf")
        return self.stop_requested_at + self._aborted_after - read_clock()

    def is_closed_to_clients(self) -> bool:
        """Tell whether new clients are refused: the platform knows of the stop, and a late request may not complete."""
        return self.stop_requested_at is not None and read_clock() - self.stop_requested_at >= self._closed_after

    def must_abort(self) -> bool:
        """Tell whether requests in progress are aborted, so that each gets an answer before the process ends."""
        return self.get_time_left() <= 0

    def may_exit(self, in_progress: int) -> bool:
        """Tell whether the process may end: no request is in progress and no client is accepted, or its time is up.

        Half of the margin is left for the answers to aborted requests.
        """
        is_over = self.get_time_left() <= -self._abort_margin / 2
        return is_over or (self.is_closed_to_clients() and not in_progress)


__all__ = ["Lifecycle"]
