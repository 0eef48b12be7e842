"""Updates the view of a node from items of the store, whether they came from the store or from a relay."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import BackendServer, ServerName
from vaneturn_node.platform.configuration import CONFIGURATION_KEY, decode_configuration
from vaneturn_node.platform.epochs import NO_STATE, get_number
from vaneturn_node.platform.servers import SERVERS_PREFIX
from vaneturn_node.platform.store import StoreItem
from vaneturn_node.traffic.duties.records import NODES_PREFIX, TENURE_KEY, decode_node
from vaneturn_node.traffic.duties.registration import Registration
from vaneturn_node.traffic.duties.tenure import Tenure
from vaneturn_node.traffic.following.serverentries import ServerEntries
from vaneturn_node.traffic.servers.exchange import TrafficParts

logger = logging.getLogger(__name__)


class ViewKeeper:
    """Decodes items and applies them to the view, with one log line per change."""

    def __init__(self, tenure: Tenure, registration: Registration, parts: TrafficParts) -> None:
        self._tenure = tenure
        self._registration = registration
        self._parts = parts
        self._view = parts.view
        self._entries = ServerEntries()

    def forget_lapsed(self) -> None:
        """Remove the servers whose lapsed entries have not been restored."""
        for server in self._view.expire_lapsed():
            logger.info("server removed", extra={"server": server, "cause": "entry did not come back"})
        self._parts.beliefs.forget_absent(self._view.servers)
        self._parts.permits.forget_absent()
        self._parts.node_history.note(self._view.nodes)
        self._parts.crash_watch.confirm_unlisted()

    def replace_all(self, items: Mapping[str, StoreItem]) -> None:
        """Apply the whole state of the store."""
        servers: list[BackendServer] = []
        self._view.nodes = {}
        if TENURE_KEY not in items:
            self._tenure.note_holder(None, NO_STATE)
        if NODES_PREFIX + self._parts.vm not in items:
            self._registration.note_record(NO_STATE)
        for item in items.values():
            if not item.key.startswith(SERVERS_PREFIX):
                self.apply(item)
        for item in items.values():
            server = self._read_server(item) if item.key.startswith(SERVERS_PREFIX) else None
            if server is not None:
                servers.append(server)
        listed = {SERVERS_PREFIX + server.name for server in servers}
        for known in list(self._view.servers.values()):
            key = SERVERS_PREFIX + known.name
            if key in items and key not in listed:
                self._drop(known, "entry not used")
        for removed in self._view.replace_servers(servers):
            logger.info("server removed", extra={"server": removed, "cause": "not in the list"})

    def apply(self, item: StoreItem) -> None:
        """Apply one item that was written or removed."""
        if item.key == CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key == TENURE_KEY:
            self._tenure.note_holder(item.value, item.revision)
        elif item.key.startswith(NODES_PREFIX):
            self._apply_node(item)
        elif item.key.startswith(SERVERS_PREFIX):
            self._apply_server(item)

    def enter_epoch(self, epoch: int) -> None:
        """Continue the duties of this node in a later epoch of the store, whose changes have been applied."""
        self._tenure.enter_epoch(epoch)
        self._registration.enter_epoch(epoch)

    def _apply_node(self, item: StoreItem) -> None:
        vm = VmId(item.key.removeprefix(NODES_PREFIX))
        if vm == self._parts.vm:
            self._registration.note_record(item.revision if item.value is not None else NO_STATE)
        record = decode_node(item.value) if item.value is not None else None
        if record is not None:
            self._view.nodes[vm] = record.peer_address
            return
        self._view.nodes.pop(vm, None)
        if item.value is not None:
            logger.warning("record of a node not understood", extra={"key": item.key})

    def _apply_configuration(self, item: StoreItem) -> None:
        if item.value is None:
            logger.error("configuration removed from the store; the last one stays in force")
            return
        configuration = decode_configuration(item.value)
        if isinstance(configuration, Fault):
            logger.error("configuration not understood", extra={"fault": str(configuration)})
            return
        if self._view.take_configuration(configuration):
            extra = {
                "version": configuration.version,
                "routes": len(configuration.routes),
                "revision": get_number(item.revision),
            }
            logger.info("configuration in force", extra=extra)
            added, dropped = self._entries.recheck(configuration, self._view.servers.values())
            for server in added:
                self._list(server)
            for server in dropped:
                self._drop(server, "not named by the configuration")

    def _apply_server(self, item: StoreItem) -> None:
        name = ServerName(item.key.removeprefix(SERVERS_PREFIX))
        known = self._view.find_server(name)
        if item.value is None:
            self._entries.forget(name)
            is_removed = known is not None and self._view.remove_server(known.id)
            start = known.id if known is not None else name
            logger.info("server removed" if is_removed else "server entry lapsed", extra={"server": start})
            return
        server = self._read_server(item)
        if server is not None:
            self._list(server)
        elif known is not None:
            self._drop(known, "entry not used")

    def _read_server(self, item: StoreItem) -> BackendServer | None:
        name = ServerName(item.key.removeprefix(SERVERS_PREFIX))
        listed = self._view.servers.values()
        return self._entries.read(name, item.value or b"", self._view.configuration, listed)

    def _list(self, server: BackendServer) -> None:
        """Add or update a server; a restarted server inherits nothing from its previous start."""
        known = self._view.find_server(server.name)
        if not self._view.put_server(server):
            logger.info("older start of a server left", extra={"server": server.id})
            return
        if known is not None and known.id != server.id:
            logger.info("server removed", extra={"server": known.id, "cause": "started again"})
        if known is None or (known.id, known.state, known.layers) != (server.id, server.state, server.layers):
            layers = [[part.first, part.end] for part in server.layers]
            extra = {"server": server.id, "address": server.address, "state": server.state.value, "layers": layers}
            logger.info("server listed", extra=extra)

    def _drop(self, server: BackendServer, cause: str) -> None:
        """Remove a server at once; its entry is still present, so there is no lapse to wait for."""
        self._view.drop_server(server.id)
        logger.info("server removed", extra={"server": server.id, "cause": cause})


__all__ = ["ViewKeeper"]
