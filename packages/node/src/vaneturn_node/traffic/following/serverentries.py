"""Validates entries of the server list, which writers other than servers can modify too."""

from __future__ import annotations

import logging
from collections.abc import Collection
from typing import Final

from vaneturn_core.faults import Fault
from vaneturn_core.traffic.configuration import TrafficConfiguration
from vaneturn_core.traffic.servers import BackendServer, ServerName
from vaneturn_node.platform.servers import decode_server

MAX_UNUSED: Final = 256  # entries kept for a later configuration; the planned size is 390 nodes in front of 810 servers
MAX_FAULTS: Final = 256  # names whose latest fault is kept, so that each is logged once
BIRTH_SHARE: Final = 0.5  # if more of a service's servers than this state their birth, entries without it are rejected

logger = logging.getLogger(__name__)


class ServerEntries:
    """Checks entries against the platform's format and the configuration in force."""

    def __init__(self) -> None:
        self._unused: dict[ServerName, BackendServer] = {}  # valid, but not used by the configuration in force
        self._faults: dict[ServerName, str] = {}

    def read(
        self,
        name: ServerName,
        value: bytes,
        configuration: TrafficConfiguration | None,
        listed: Collection[BackendServer],
    ) -> BackendServer | None:
        """Read an entry; None if its server cannot be used."""
        self._unused.pop(name, None)
        server = decode_server(name, value)
        if isinstance(server, Fault):
            self._note_fault(name, server)
            return None
        if server.born is None and _do_most_state_birth(server, listed):
            self._note_fault(name, Fault("$.born", "a whole number, as the other servers of the service have"))
            return None
        return self._admit(server, configuration)

    def forget(self, name: ServerName) -> None:
        """Drop the state of an entry that was removed."""
        self._unused.pop(name, None)
        self._faults.pop(name, None)

    def recheck(
        self, configuration: TrafficConfiguration, listed: Collection[BackendServer]
    ) -> tuple[list[BackendServer], list[BackendServer]]:
        """Check all entries against a new configuration; return the servers to list and those to drop."""
        unused = list(self._unused.values())
        self._unused.clear()
        added = [server for server in unused if self._admit(server, configuration) is not None]
        dropped = [server for server in listed if self._admit(server, configuration) is None]
        return added, dropped

    def _admit(self, server: BackendServer, configuration: TrafficConfiguration | None) -> BackendServer | None:
        """Return the server if the configuration uses it; otherwise keep it aside for the next configuration."""
        fault = _find_misfit(server, configuration) if configuration is not None else None
        if fault is None:
            self._faults.pop(server.name, None)
            return server
        self._note_fault(server.name, fault)
        if len(self._unused) < MAX_UNUSED:
            self._unused[server.name] = server
        return None

    def _note_fault(self, name: ServerName, fault: Fault) -> None:
        """Log a fault unless it was the latest one of this entry."""
        if self._faults.get(name) == str(fault):
            return
        if len(self._faults) >= MAX_FAULTS:
            self._faults.clear()
        self._faults[name] = str(fault)
        logger.warning("server entry not used", extra={"server": name, "fault": str(fault)})


def _find_misfit(server: BackendServer, configuration: TrafficConfiguration) -> Fault | None:
    service = configuration.services.get(server.service)
    if service is None:
        return Fault("$.service", "a service of the configuration in force")
    engine = service.engine
    if engine is None:
        return None
    if server.kind is not None and server.kind not in engine.kinds:
        return Fault("$.kind", "a kind of the service")
    if any(layers.end > engine.layers for layers in server.layers):
        return Fault("$.layers", f"layers within {engine.layers}")
    return None


def _do_most_state_birth(server: BackendServer, listed: Collection[BackendServer]) -> bool:
    """Check whether most servers of a service state their birth, so that one foreign entry does not decide."""
    others = [other for other in listed if other.service == server.service and other.name != server.name]
    return sum(other.born is not None for other in others) > BIRTH_SHARE * max(1, len(others))


__all__ = ["ServerEntries"]
