"""Detects servers that crash under this node's requests."""

from __future__ import annotations

import logging
from typing import Final

from vaneturn_core.traffic.contents import Content, format_content
from vaneturn_core.traffic.crashes import CrashBoard, Suspicion
from vaneturn_core.traffic.servers import BackendServer, ServerId, ServerState
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.servers import ServerReport
from vaneturn_node.traffic.servers.connectivity import Connectivity
from vaneturn_node.traffic.servers.reports import ReportBoard

MAX_PROBES: Final = 2  # per cut connection; the first may use a connection that is about to be reset

logger = logging.getLogger(__name__)


class CrashWatch:
    """Distinguishes lost connections from crashed servers, and records the requests that had just begun there.

    A server that refuses connections counts as crashed only while this node can connect to others of its service.
    """

    def __init__(self, board: CrashBoard, reports: ReportBoard, view: PlatformView, connectivity: Connectivity) -> None:
        self._connectivity = connectivity
        self._board = board
        self._reports = reports
        self._view = view

    async def record_cut_connection(self, server: BackendServer, content: Content, suspicion: Suspicion | None) -> bool:
        """Record that the connection of a request was cut; return whether the server has crashed.

        A reset alone proves nothing, because servers and links also reset connections of harmless requests.

        :param suspicion: None for a request that is known not to crash servers.
        """
        if suspicion is not None:
            self._record_loss(server, content, suspicion)
        for _ in range(MAX_PROBES):
            report = await self._reports.read(server, 0.0)
            if isinstance(report, ServerReport):
                return False
            if self._reports.is_gone(server.id):
                return await self._confirm_crash(server, content)
        return False

    async def record_unresponsive(self, server: BackendServer, content: Content, suspicion: Suspicion) -> None:
        """Record an unresponsive server; it has crashed if its address refuses connections or its entry is removed."""
        self._record_loss(server, content, suspicion)
        if self._reports.is_gone(server.id):
            await self._confirm_crash(server, content)

    def record_success(self, server: BackendServer, content: Content) -> None:
        """Record that a server has run a request without a crash."""
        if self._board.record_completion(content, server.software):
            logger.info("request cleared", extra={"content": format_content(content)})

    def confirm_unlisted(self) -> None:
        """Check the list of servers: lost servers that are no longer listed have crashed."""
        for server in self._board.confirm_absent(self._view.servers):
            self._log_crash(server, "entry gone")

    def _record_loss(self, server: BackendServer, content: Content, suspicion: Suspicion) -> None:
        """Record a lost request, unless the server is draining."""
        listed = self._view.servers.get(server.id)
        if listed is not None and listed.state is not ServerState.DRAINING:
            self._board.record_lost_connection(server.id, server.software, content, suspicion)

    async def _confirm_crash(self, server: BackendServer, content: Content) -> bool:
        if not await self._connectivity.check(server.service, read_clock()):
            return False
        if self._board.confirm(server.id):
            self._log_crash(server.id, "nobody listens")
        if self._board.is_barred(content):
            crashed = self._board.list_crashed_servers(content)
            logger.info("request barred", extra={"content": format_content(content), "servers": crashed})
        return True

    def _log_crash(self, server: ServerId, cause: str) -> None:
        suspects = self._board.list_suspects(server)
        extra = {"server": server, "cause": cause, "suspects": [format_content(one) for one in suspects]}
        logger.info("server ended", extra=extra)


__all__ = ["CrashWatch"]
