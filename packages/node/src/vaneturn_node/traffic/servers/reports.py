"""Asks servers for their reports, once for all requests that want one at about the same time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

import anyio

from vaneturn_core.traffic.hearing import Reachability
from vaneturn_core.traffic.servers import BackendServer, ServerId
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Failed
from vaneturn_node.platform.servers import ServerCalls, ServerReport

SIGN_TIME: Final = 0.06  # seconds for a sign of life; a sound server answers in 2 to 4 ms
MAX_REPORT_AGE: Final = 30.0  # seconds
REPORT_AGE: Final = 0.2  # seconds; reports lag by as much
JOIN_AGE: Final = (
    0.02  # seconds within which requests join an open question: a look of many takes no longer than of one
)


@dataclass(slots=True)
class _Question:
    """A question to a server; none of its reports is there while it is open, or when whoever asked has gone."""

    asked_at: float  # steady time
    is_over: anyio.Event = field(default_factory=anyio.Event)
    report: ServerReport | Failed | None = None


class ReportBoard:
    """Asks servers for their reports, once for all requests that want one at about the same time."""

    def __init__(self, calls: ServerCalls, hearing: Reachability) -> None:
        self._calls = calls
        self._hearing = hearing
        self._newest: dict[ServerId, _Question] = {}  # answered or not
        self._open: dict[ServerId, _Question] = {}

    async def read(self, server: BackendServer, age: float = REPORT_AGE) -> ServerReport | Failed:
        """Read a report that was asked for at most some seconds ago.

        Only answers serve later requests. A silence does not: kept for 0.2 s and looked at every 0.1 s, one question
        without an answer made two silences and a lost server.
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
        """Find the newest report of a server; none when it did not answer."""
        known = self._newest.get(server)
        return known.report if known is not None and isinstance(known.report, ServerReport) else None

    def is_gone(self, server: ServerId) -> bool:
        """Tell whether nobody listens at the server's address, or another one."""
        known = self._newest.get(server)
        return known is not None and isinstance(known.report, Failed) and known.report.is_gone

    def _forget_old(self) -> None:
        """Forget reports that nobody can want any more, of servers that have left among them."""
        oldest = read_clock() - MAX_REPORT_AGE
        for server in [one for one, question in self._newest.items() if question.asked_at < oldest]:
            del self._newest[server]


__all__ = ["JOIN_AGE", "REPORT_AGE", "ReportBoard"]
