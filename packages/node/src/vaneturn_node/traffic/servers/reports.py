"""Fetches the reports of servers; requests that need one at about the same time share a probe."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

import anyio

from vaneturn_core.traffic.hearing import Hearing
from vaneturn_core.traffic.servers import BackendServer, ServerId
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Failed
from vaneturn_node.platform.servers import ServerCalls, ServerReport

SIGN_TIME: Final = 0.06  # seconds until a probe times out; a healthy server answers in 2 to 4 ms
MAX_REPORT_AGE: Final = 30.0  # seconds for which the latest report is kept
REPORT_AGE: Final = 0.2  # seconds; the content of a report lags by about as much
# seconds within which requests join a running probe, so that checks by many requests take no longer than by one
JOIN_AGE: Final = 0.02


@dataclass(slots=True)
class _Question:
    """A probe of a server; it has no report while it is running or if the task that sent it was cancelled."""

    asked_at: float  # monotonic time
    is_over: anyio.Event = field(default_factory=anyio.Event)
    report: ServerReport | Failed | None = None


class ReportBoard:
    """Probes servers for their reports and keeps the latest report of each server."""

    def __init__(self, calls: ServerCalls, hearing: Hearing) -> None:
        self._calls = calls
        self._hearing = hearing
        self._newest: dict[ServerId, _Question] = {}  # answered or not
        self._open: dict[ServerId, _Question] = {}

    async def read(self, server: BackendServer, age: float = REPORT_AGE) -> ServerReport | Failed:
        """Return a report that was requested at most `age` seconds ago, probing the server if there is none.

        Only received reports are reused, not timeouts. A timeout that was kept for 0.2 s and checked every 0.1 s would
        count twice, and one unanswered probe would make the server count as lost.
        """
        now = read_clock()
        known = self._newest.get(server.id)
        if known is not None and isinstance(known.report, ServerReport) and known.asked_at > now - age:
            return known.report
        question = self._open.get(server.id)
        if question is not None and question.asked_at >= now - JOIN_AGE:
            await question.is_over.wait()
            if question.report is not None:
                return question.report
        return await self._ask(server)

    async def _ask(self, server: BackendServer) -> ServerReport | Failed:
        question = self._open[server.id] = _Question(read_clock())
        try:
            question.report = report = await self._calls.read_report(server, SIGN_TIME)
        finally:
            question.is_over.set()
            if self._open.get(server.id) is question:
                del self._open[server.id]
        if isinstance(report, ServerReport):
            self._hearing.record_answer(question.asked_at)
        known = self._newest.get(server.id)
        if known is None or known.asked_at <= question.asked_at:
            self._newest[server.id] = question
        self._forget_old()
        return report

    def find(self, server: ServerId) -> ServerReport | None:
        """Return the latest report of a server; None if the latest probe failed."""
        known = self._newest.get(server)
        return known.report if known is not None and isinstance(known.report, ServerReport) else None

    def is_gone(self, server: ServerId) -> bool:
        """Check whether the latest probe found no server, or another one, at the server's address."""
        known = self._newest.get(server)
        return known is not None and isinstance(known.report, Failed) and known.report.is_gone

    def _forget_old(self) -> None:
        """Drop reports too old to be used, including those of servers that have left."""
        oldest = read_clock() - MAX_REPORT_AGE
        for server in [one for one, question in self._newest.items() if question.asked_at < oldest]:
            del self._newest[server]


__all__ = ["JOIN_AGE", "REPORT_AGE", "ReportBoard"]
