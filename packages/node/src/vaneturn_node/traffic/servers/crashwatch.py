"""What the tries of this node show of servers that end."""

from __future__ import annotations

import logging
from typing import Final

from vaneturn_core.traffic.contents import Content, format_content
from vaneturn_core.traffic.crashes import CrashBoard, Suspicion
from vaneturn_core.traffic.servers import BackendServer, ServerId, ServerState
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.platform.servers import ServerReport
from vaneturn_node.traffic.servers.reports import ReportBoard

ASKS: Final = 2  # questions whether a server has ended; the first may go out over a connection that is not reset yet

logger = logging.getLogger(__name__)


class CrashWatch:
    """Tells lost connections from ends of servers, and remembers what had just begun there."""

    def __init__(self, board: CrashBoard, reports: ReportBoard, view: PlatformView) -> None:
        self._board = board
        self._reports = reports
        self._view = view

    async def note_cut(self, server: BackendServer, content: Content, suspicion: Suspicion | None) -> bool:
        """Take note that the connection of a request was cut; true when the server has ended.

        A reset alone says nothing: servers and links reset connections of requests that harm nobody.

        :param suspicion: none for a request that is known not to end servers.
        """
        if suspicion is not None:
            self._note_lost(server, content, suspicion)
        for _ in range(ASKS):
            report = await self._reports.read(server, 0.0)
            if isinstance(report, ServerReport):
                return False
            if self._reports.is_gone(server.id):
                self._note_refused(server, content)
                return True
        return False

    def note_silent(self, server: BackendServer, content: Content, suspicion: Suspicion) -> None:
        """Take note that a server is silent; it has ended when nobody listens there, or when its entry goes."""
        self._note_lost(server, content, suspicion)
        if self._reports.is_gone(server.id):
            self._note_refused(server, content)

    def note_sound(self, server: BackendServer, content: Content) -> None:
        """Take note that a server has run a request well."""
        if self._board.record_completion(content, server.software):
            logger.info("request cleared", extra={"content": format_content(content)})

    def note_listed(self) -> None:
        """Take note of the list of servers: those that were lost and are gone from it have ended."""
        for server in self._board.confirm_absent(self._view.servers):
            self._log_end(server, "entry gone")

    def _note_lost(self, server: BackendServer, content: Content, suspicion: Suspicion) -> None:
        """Remember a request that was lost, unless the server leaves as planned."""
        listed = self._view.servers.get(server.id)
        if listed is not None and listed.state is not ServerState.DRAINING:
            self._board.record_lost_connection(server.id, server.software, content, suspicion)

    def _note_refused(self, server: BackendServer, content: Content) -> None:
        if self._board.confirm(server.id):
            self._log_end(server.id, "nobody listens")
        if self._board.is_barred(content):
            ends = self._board.list_crashed_servers(content)
            logger.info("request barred", extra={"content": format_content(content), "servers": ends})

    def _log_end(self, server: ServerId, cause: str) -> None:
        suspects = self._board.list_suspects(server)
        extra = {"server": server, "cause": cause, "suspects": [format_content(one) for one in suspects]}
        logger.info("server ended", extra=extra)


__all__ = ["CrashWatch"]
