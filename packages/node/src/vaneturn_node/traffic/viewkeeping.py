"""Keeps the view of a node by the items of the store, however they came."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import BackendServer, ServerBeliefs, ServerId
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.platform.configuration import CONFIGURATION_KEY, decode_configuration
from vaneturn_node.platform.servers import SERVERS_PREFIX, decode_server
from vaneturn_node.platform.store import StoreItem
from vaneturn_node.traffic.crashwatch import CrashWatch
from vaneturn_node.traffic.records import NODES_PREFIX, TENURE_KEY, decode_node
from vaneturn_node.traffic.tenure import Tenure

logger = logging.getLogger(__name__)


class ViewKeeper:
    """Decodes items and puts them into the view, one log line for each belief that changes."""

    def __init__(self, view: PlatformView, beliefs: ServerBeliefs, tenure: Tenure, crashes: CrashWatch) -> None:
        self._view = view
        self._beliefs = beliefs
        self._tenure = tenure
        self._crashes = crashes

    def forget_lapsed(self) -> None:
        """Remove the servers whose entries have not come back."""
        for server in self._view.expire_lapsed():
            logger.info("server removed", extra={"server": server, "cause": "entry did not come back"})
        self._beliefs.forget_absent(self._view.servers)
        self._crashes.note_listed()

    def replace_all(self, items: Mapping[str, StoreItem]) -> None:
        """Take the whole state of the store."""
        servers: list[BackendServer] = []
        self._view.nodes = {}
        if TENURE_KEY not in items:
            self._tenure.note_holder(None, 0)
        for item in items.values():
            if not item.key.startswith(SERVERS_PREFIX):
                self.apply(item)
                continue
            server = self._decode_server(item)
            if server is not None:
                servers.append(server)
        for removed in self._view.replace_servers(servers):
            logger.info("server removed", extra={"server": removed, "cause": "not in the list"})

    def apply(self, item: StoreItem) -> None:
        """Take one item as it was written or removed."""
        if item.key == CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key == TENURE_KEY:
            self._tenure.note_holder(item.value, item.revision)
        elif item.key.startswith(NODES_PREFIX):
            self._apply_node(item)
        elif item.key.startswith(SERVERS_PREFIX):
            self._apply_server(item)

    def _apply_node(self, item: StoreItem) -> None:
        vm = VmId(item.key.removeprefix(NODES_PREFIX))
        if item.value is None:
            self._view.nodes.pop(vm, None)
            return
        record = decode_node(item.value)
        self._view.nodes[vm] = record.peer_address if record is not None else None

    def _apply_configuration(self, item: StoreItem) -> None:
        if item.value is None:
            logger.error("configuration removed from the store; the last one stays in force")
            return
        configuration = decode_configuration(item.value)
        if isinstance(configuration, Fault):
            logger.error("configuration not understood", extra={"fault": str(configuration)})
            return
        if self._view.take_configuration(configuration):
            extra = {"version": configuration.version, "routes": len(configuration.routes), "revision": item.revision}
            logger.info("configuration in force", extra=extra)

    def _apply_server(self, item: StoreItem) -> None:
        server = ServerId(item.key.removeprefix(SERVERS_PREFIX))
        if item.value is None:
            is_removed = self._view.remove_server(server)
            logger.info("server removed" if is_removed else "server entry lapsed", extra={"server": server})
            return
        decoded = self._decode_server(item)
        if decoded is None:
            return
        known = self._view.servers.get(server)
        self._view.put_server(decoded)
        if known is None or known.state is not decoded.state or known.layers != decoded.layers:
            layers = [[one.first, one.end] for one in decoded.layers]
            extra = {"server": server, "address": decoded.address, "state": decoded.state.value, "layers": layers}
            logger.info("server listed", extra=extra)

    def _decode_server(self, item: StoreItem) -> BackendServer | None:
        server = decode_server(ServerId(item.key.removeprefix(SERVERS_PREFIX)), item.value or b"")
        if isinstance(server, Fault):
            logger.error("server entry not understood", extra={"key": item.key, "fault": str(server)})
            return None
        return server


__all__ = ["ViewKeeper"]
