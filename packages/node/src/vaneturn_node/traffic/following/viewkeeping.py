"""Updates the view of a node from items of the store, whether they came from the store or from a relay."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Final

from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import BackendServer, ServerName, ServerState
from vaneturn_core.traffic.view import RETURN_TIME_S
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.configuration import CONFIGURATION_KEY, decode_configuration
from vaneturn_node.platform.epochs import NO_STATE, StoreState, get_epoch, get_number
from vaneturn_node.platform.servers import SERVERS_PREFIX
from vaneturn_node.platform.store import StoreItem
from vaneturn_node.traffic.duties.crashrecords import CRASHES_KEY, CrashRecorder
from vaneturn_node.traffic.duties.records import NODES_PREFIX, TENURE_KEY, decode_node
from vaneturn_node.traffic.duties.registration import Registration
from vaneturn_node.traffic.duties.tenure import Tenure
from vaneturn_node.traffic.following.departures import Departures
from vaneturn_node.traffic.following.serverentries import ServerEntries
from vaneturn_node.traffic.servers.exchange import TrafficParts

NODE_HOLD_S: Final = 3.0  # time after a restore in which nodes register again, so that the limits are not redistributed
REWRITE_TIME_S: Final = 3.0  # time after a restore in which the operator writes again what the copy lacks

logger = logging.getLogger(__name__)


class ViewKeeper:
    """Decodes items and applies them to the view, with one log line per change."""

    def __init__(
        self, tenure: Tenure, registration: Registration, crash_recorder: CrashRecorder, parts: TrafficParts
    ) -> None:
        self._tenure = tenure
        self._crash_recorder = crash_recorder
        self._registration = registration
        self._parts = parts
        self._view = parts.view
        self._entries = ServerEntries()
        self._departures = Departures(read_clock)
        self._restored_at = float("-inf")
        self._missing_nodes: dict[VmId, float] = {}  # whose records a restore lost, and until when they are kept
        self._stored_version: int | None = None  # of the configuration that the store holds

    def has_newest_configuration(self) -> bool:
        """Check whether the store holds the configuration in force, and not one of an older copy.

        Until the operator has written it again, other changes of keys may be missing as well.
        """
        configuration = self._view.configuration
        is_rewritten = read_clock() - self._restored_at >= REWRITE_TIME_S
        return configuration is None or is_rewritten or (self._stored_version or 0) >= configuration.version

    def note_restore(self) -> None:
        """Prepare for the first state of a later epoch."""
        self._restored_at = read_clock()
        self._view.note_restore()

    def forget_lapsed(self) -> None:
        """Remove the servers and nodes whose lapsed or lost entries have not been written again."""
        for vm in [vm for vm, until in self._missing_nodes.items() if until <= read_clock()]:
            del self._missing_nodes[vm]
            self._view.nodes.pop(vm, None)
        for server in self._view.expire_lapsed():
            logger.info("server removed", extra={"server": server, "cause": "entry did not come back"})
        self._parts.beliefs.forget_absent(self._view.servers)
        self._parts.permits.forget_absent()
        self._parts.node_history.note(self._view.nodes)
        self._parts.node_share.note(self._view.nodes)
        self._parts.crash_watch.confirm_unlisted()

    def replace_all(self, items: Mapping[str, StoreItem], revision: StoreState) -> None:
        """Apply the whole state of the store."""
        self._note_absent(items, revision)
        for item in items.values():
            if not item.key.startswith(SERVERS_PREFIX):
                self.apply(item)
        servers = self._read_servers(items)
        listed = {SERVERS_PREFIX + server.name for server in servers}
        for known in list(self._view.servers.values()):
            key = SERVERS_PREFIX + known.name
            if key in items and key not in listed:
                self._drop(known, "entry not used")
        for removed in self._view.replace_servers(servers):
            self._departures.note(removed, revision)
            logger.info("server removed", extra={"server": removed, "cause": "not in the list"})

    def _note_absent(self, items: Mapping[str, StoreItem], revision: StoreState) -> None:
        """Apply the absence of records and of the configuration in the whole state."""
        for vm in [vm for vm in self._view.nodes if NODES_PREFIX + vm not in items]:
            self._remove_node(vm)
        if CONFIGURATION_KEY not in items:
            self._stored_version = None
        if TENURE_KEY not in items:
            self._tenure.note_holder(None, NO_STATE)
        if CRASHES_KEY not in items:
            self._crash_recorder.note_record(None, NO_STATE)
        if NODES_PREFIX + self._parts.vm not in items:
            self._registration.note_absence(revision)

    def _read_servers(self, items: Mapping[str, StoreItem]) -> list[BackendServer]:
        """Read the entries of the whole state; outdated ones leave their servers as they are known."""
        servers: list[BackendServer] = []
        for item in items.values():
            server = self._read_server(item) if item.key.startswith(SERVERS_PREFIX) else None
            if server is not None and self._is_outdated(server, item):
                server = self._view.find_server(server.name)
            elif server is not None:
                self._note_if_leaving(server, item)
            if server is not None:
                servers.append(server)
        return servers

    def apply(self, item: StoreItem) -> None:
        """Apply one item that was written or removed."""
        if item.key == CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key == TENURE_KEY:
            self._tenure.note_holder(item.value, item.revision)
        elif item.key == CRASHES_KEY:
            self._crash_recorder.note_record(item.value, item.revision)
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
            note = self._registration.note_record if item.value is not None else self._registration.note_absence
            note(item.revision)
        record = decode_node(item.value) if item.value is not None else None
        if record is not None:
            self._missing_nodes.pop(vm, None)
            self._view.nodes[vm] = record.peer_address
            return
        self._remove_node(vm)
        if item.value is not None:
            logger.warning("record of a node not understood", extra={"key": item.key})

    def _remove_node(self, vm: VmId) -> None:
        """Remove a node, or keep it for the time in which nodes register again after a restore."""
        if read_clock() - self._restored_at < RETURN_TIME_S and vm in self._view.nodes:
            self._missing_nodes.setdefault(vm, read_clock() + NODE_HOLD_S)
            return
        self._missing_nodes.pop(vm, None)
        self._view.nodes.pop(vm, None)

    def _apply_configuration(self, item: StoreItem) -> None:
        if item.value is None:
            logger.error("configuration removed from the store; the last one stays in force")
            return
        configuration = decode_configuration(item.value)
        if isinstance(configuration, Fault):
            logger.error("configuration not understood", extra={"fault": str(configuration)})
            return
        self._stored_version = configuration.version
        if self._view.take_configuration(configuration):
            self._parts.restrict_demand(configuration)
            self._parts.retries.forget_absent(configuration.services)
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
            if known is not None and is_removed:
                self._departures.note(known.id, item.revision)
            start = known.id if known is not None else name
            logger.info("server removed" if is_removed else "server entry lapsed", extra={"server": start})
            return
        server = self._read_server(item)
        if server is not None and self._is_outdated(server, item):
            return
        if server is not None:
            self._list(server)
            self._note_if_leaving(server, item)
        elif known is not None:
            self._drop(known, "entry not used")

    def _is_outdated(self, server: BackendServer, item: StoreItem) -> bool:
        is_outdated = self._departures.is_outdated(server, item.revision)
        if is_outdated:
            extra = {"server": server.id, "revision": get_number(item.revision), "epoch": get_epoch(item.revision)}
            logger.info("older entry of a server that left ignored", extra=extra)
        return is_outdated

    def _note_if_leaving(self, server: BackendServer, item: StoreItem) -> None:
        if server.state is ServerState.DRAINING:
            self._departures.note(server.id, item.revision)

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
