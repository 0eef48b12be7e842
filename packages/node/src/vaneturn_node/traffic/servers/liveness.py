"""Asks whether a server still runs, to tell an answer that its end has cut from a whole one."""

from __future__ import annotations

from enum import Enum
from typing import Final

import anyio

from vaneturn_core.traffic.servers import BackendServer
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Failed
from vaneturn_node.platform.servers import ServerCalls, ServerReport
from vaneturn_node.traffic.servers.reports import PROBE_TIMEOUT_S, ReportBoard

MAX_CHECK_TIME_S: Final = 2.0  # for the end of an answer; a server that runs may be silent for over a second
MAX_QUESTION_TIME_S: Final = 0.5  # a question sent to a silent server may be lost
RETRY_INTERVAL_S: Final = 0.02  # between questions; a pooled connection may have been closed by the end of its server


class Liveness(Enum):
    """Whether one start of a server still runs."""

    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "no answer"


class LivenessCheck:
    """Checks whether servers still run."""

    def __init__(self, reports: ReportBoard, calls: ServerCalls) -> None:
        self._reports = reports
        self._calls = calls

    async def check(self, server: BackendServer, limit: float) -> Liveness:
        """Ask a server until it answers, or its end is certain, for up to `limit` seconds.

        Only questions that are sent from now on count. Each has up to twice the time of the one before: a slow server
        needs a long one, and a pooled connection that went silent a new one.
        """
        started = read_clock()
        until = started + min(limit, MAX_CHECK_TIME_S)
        report = await self._reports.read(server, 0.0, since=started)
        timeout_s = PROBE_TIMEOUT_S
        while (liveness := _interpret(report)) is Liveness.UNKNOWN and read_clock() + RETRY_INTERVAL_S < until:
            await anyio.sleep(RETRY_INTERVAL_S)
            timeout_s = min(2 * timeout_s, MAX_QUESTION_TIME_S)
            report = await self._calls.read_report(server, min(timeout_s, until - read_clock()))
        return liveness


def _interpret(report: ServerReport | Failed) -> Liveness:
    if isinstance(report, ServerReport) or report.has_answered:
        return Liveness.RUNNING
    return Liveness.ENDED if report.is_gone else Liveness.UNKNOWN


__all__ = ["Liveness", "LivenessCheck"]
