"""Fetches the reports of servers; requests that need one at about the same time share a probe."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

import anyio

from vaneturn_core.traffic.hearing import Reachability
from vaneturn_core.traffic.servers import BackendServer, ServerId
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Failed
from vaneturn_node.platform.servers import ServerCalls, ServerReport

PROBE_TIMEOUT_S: Final = 0.06  # time until a probe times out; a healthy server answers in 2 to 4 ms
MAX_REPORT_AGE_S: Final = 30.0  # time for which the latest report is kept
REPORT_AGE_S: Final = 0.2  # the content of a report lags by about as much
# Requests within this time join a running probe, so that checks by many requests take no longer than by one.
PROBE_JOIN_AGE_S: Final = 0.02


@dataclass(slots=True)
class _Probe:
    """A probe of a server; it has no report while it is running or if the task that sent it was cancelled."""

    sent_at: float  # monotonic time
    is_over: anyio.Event = field(default_factory=anyio.Event)
    report: ServerReport | Failed | None = None


class ReportBoard:
    """Probes servers for their reports and keeps the latest report of each server."""

    def __init__(self, calls: ServerCalls, hearing: Reachability) -> None:
        self._calls = calls
        self._hearing = hearing
        self._latest: dict[ServerId, _Probe] = {}  # answered or not
        self._running: dict[ServerId, _Probe] = {}

    async def read(
        self, server: BackendServer, max_age: float = REPORT_AGE_S, since: float = float("-inf")
    ) -> ServerReport | Failed:
        """Return a report that was requested at most `max_age` seconds ago, probing the server if there is none.

        Only received reports are reused, not timeouts. A timeout that was kept for 0.2 s and checked every 0.1 s would
        count twice, and one unanswered probe would make the server count as lost.

        :param since: monotonic time; a probe that was sent earlier is not joined.
        """
        now = read_clock()
        known = self._latest.get(server.id)
        if known is not None and isinstance(known.report, ServerReport) and known.sent_at > now - max_age:
            return known.report
        probe = self._running.get(server.id)
        if probe is not None and probe.sent_at >= max(since, now - PROBE_JOIN_AGE_S):
            await probe.is_over.wait()
            if probe.report is not None:
                return probe.report
        return await self._send_probe(server)

    async def _send_probe(self, server: BackendServer) -> ServerReport | Failed:
        probe = self._running[server.id] = _Probe(read_clock())
        try:
            probe.report = report = await self._calls.read_report(server, PROBE_TIMEOUT_S)
        finally:
            probe.is_over.set()
            if self._running.get(server.id) is probe:
                del self._running[server.id]
            known = self._latest.get(server.id)
            if probe.report is None and known is not None and isinstance(known.report, Failed):
                del self._latest[server.id]  # the server may have answered since, so that failure is out of date
        if isinstance(report, ServerReport) or report.has_no_memory:
            self._hearing.record_answer(probe.sent_at)
        known = self._latest.get(server.id)
        if known is None or known.sent_at <= probe.sent_at:
            self._latest[server.id] = probe
        self._drop_old()
        return report

    def find(self, server: ServerId) -> ServerReport | None:
        """Return the latest report of a server; None if the latest probe failed."""
        known = self._latest.get(server)
        return known.report if known is not None and isinstance(known.report, ServerReport) else None

    def is_gone(self, server: ServerId) -> bool:
        """Check whether the latest probe found no server, or another one, at the server's address."""
        known = self._latest.get(server)
        return known is not None and isinstance(known.report, Failed) and known.report.is_gone

    def _drop_old(self) -> None:
        """Drop reports too old to be used, including those of servers that have left."""
        oldest = read_clock() - MAX_REPORT_AGE_S
        for server in [expired for expired, probe in self._latest.items() if probe.sent_at < oldest]:
            del self._latest[server]


__all__ = ["PROBE_JOIN_AGE_S", "REPORT_AGE_S", "ReportBoard"]
