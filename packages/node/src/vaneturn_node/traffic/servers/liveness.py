"""Asks whether a server still runs, to tell an answer that its end has cut from a whole one."""

from __future__ import annotations

from enum import Enum
from typing import Final

import anyio

from vaneturn_core.traffic.servers import BackendServer
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.servers import ServerReport
from vaneturn_node.traffic.servers.reports import ReportBoard

MAX_CHECK_TIME_S: Final = 1.0  # the end of an answer waits for so long at most
RETRY_INTERVAL_S: Final = 0.05  # between questions; a pooled connection may have been closed by the end of its server


class Liveness(Enum):
    """Whether one start of a server still runs."""

    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "no answer"


class LivenessCheck:
    """Checks whether servers still run."""

    def __init__(self, reports: ReportBoard) -> None:
        self._reports = reports

    async def check(self, server: BackendServer, limit: float) -> Liveness:
        """Ask a server until it answers, or its end is certain, for up to `limit` seconds.

        Only questions that are sent from now on count.
        """
        started = read_clock()
        while True:
            report = await self._reports.read(server, 0.0, since=started)
            if isinstance(report, ServerReport):
                return Liveness.RUNNING
            if report.is_gone:
                return Liveness.ENDED
            if report.has_answered:
                return Liveness.RUNNING
            if read_clock() - started >= min(limit, MAX_CHECK_TIME_S):
                return Liveness.UNKNOWN
            await anyio.sleep(RETRY_INTERVAL_S)


__all__ = ["Liveness", "LivenessCheck"]
