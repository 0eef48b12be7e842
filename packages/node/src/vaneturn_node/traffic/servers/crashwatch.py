"""Detects servers that crash under this node's requests."""

from __future__ import annotations

import logging
from typing import Final

from vaneturn_core.traffic.blame.causes import Cause, Causes, describe_kind
from vaneturn_core.traffic.blame.contents import Fingerprint, format_content, format_identity
from vaneturn_core.traffic.blame.crashboard import CrashBoard
from vaneturn_core.traffic.blame.crashes import LostRequest
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
        self._logged_causes: Causes = {}
        board.listeners.append(self._log_causes)

    async def record_cut_connection(self, server: BackendServer, lost: LostRequest | None) -> bool:
        """Record that the connection of a request was cut; return whether the server has crashed.

        A reset alone proves nothing, because servers and links also reset connections of harmless requests.

        :param lost: the request; None for one that is known not to crash servers.
        """
        if lost is not None:
            self._record_loss(server, lost)
        for _ in range(MAX_PROBES):
            report = await self._reports.read(server, 0.0)
            if isinstance(report, ServerReport):
                self._board.record_running(server.id)
                return False
            if self._reports.is_gone(server.id):
                return await self._confirm_crash(server)
        return False

    async def record_unresponsive(self, server: BackendServer, lost: LostRequest) -> None:
        """Record an unresponsive server; it has crashed if its address refuses connections or its entry is removed."""
        self._record_loss(server, lost)
        if self._reports.is_gone(server.id):
            await self._confirm_crash(server)

    def record_cancelled(self, server: BackendServer, lost: LostRequest | None) -> None:
        """Record that this node cancelled a request; the server may have begun to run it, and crash because of it.

        :param lost: the request; None for one that is known not to crash servers.
        """
        if lost is not None:
            self._record_loss(server, lost, is_cancelled=True)

    def record_success(self, server: BackendServer, fingerprint: Fingerprint) -> None:
        """Record that a server has run a request without a crash."""
        cleared = self._board.record_completion(fingerprint, server.software)
        if cleared:
            extra = {"content": format_content(fingerprint.content), "server": server.id, "software": server.software}
            logger.info("suspects cleared", extra=extra | {"cleared": [format_identity(one) for one in cleared]})

    def confirm_unlisted(self) -> None:
        """Check the list of servers: lost servers that are no longer listed have crashed."""
        for server in self._board.confirm_absent(self._view.servers):
            self._log_crash(server, "entry gone")

    def _record_loss(self, server: BackendServer, lost: LostRequest, *, is_cancelled: bool = False) -> None:
        """Record a lost request, unless the server is draining."""
        listed = self._view.servers.get(server.id)
        if listed is not None and listed.state is not ServerState.DRAINING:
            self._board.record_lost_connection(server.id, server.software, lost, is_cancelled=is_cancelled)

    async def _confirm_crash(self, server: BackendServer) -> bool:
        if not await self._connectivity.check(server.service, read_clock()):
            return False
        if self._board.confirm(server.id):
            self._log_crash(server.id, "nobody listens")
        return True

    def _log_crash(self, server: ServerId, cause: str) -> None:
        suspects = {
            format_content(request.content): [format_identity(part) for part in request.parts]
            for request in self._board.list_suspects(server)
        }
        logger.info("server ended", extra={"server": server, "cause": cause, "suspects": suspects})

    def _log_causes(self) -> None:
        """Log which identities are blamed for more crashes than before, and which are no more."""
        causes, known = self._board.causes, self._logged_causes
        self._logged_causes = causes
        for identity, cause in causes.items():
            if identity not in known or cause.servers != known[identity].servers:
                logger.info("requests blocked", extra=_describe(cause))
        for identity in known.keys() - causes.keys():
            logger.info("requests unblocked", extra=_describe(known[identity]))


def _describe(cause: Cause) -> dict[str, object]:
    return {
        describe_kind(cause): format_identity(cause.identity),
        "companions": sorted(format_identity(one) for one in cause.companions - {cause.identity}),
        "servers": sorted(cause.servers),
        "software": sorted(cause.software),
        "confirmed": cause.is_confirmed,
        "contested": cause.is_contested,
    }


__all__ = ["CrashWatch"]
