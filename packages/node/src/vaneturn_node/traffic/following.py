"""Follows the store: one watch over all of it keeps the view, and each answer confirms it."""

from __future__ import annotations

import logging
import random
import time
from typing import Final

import anyio

from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import BackendServer, ServerBeliefs, ServerId
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.platform.configuration import CONFIGURATION_KEY, decode_configuration
from vaneturn_node.platform.servers import SERVERS_PREFIX, decode_server
from vaneturn_node.platform.store import HistoryGone, NotDone, PlatformStore, StoreItem, StorePage
from vaneturn_node.traffic.records import NODES_PREFIX, TENURE_KEY
from vaneturn_node.traffic.tenure import Tenure

WATCH_TIME: Final = 1.6  # seconds; each answer confirms the keys, which are valid for a few seconds
GATHER_TIME: Final = 0.1  # seconds between an answer with changes and the next watch, so that many come in one
RETRY_TIME: Final = 0.1  # seconds, full jitter, doubled with each failure in a row
MAX_RETRY_TIME: Final = 0.8  # seconds; refused calls have their price, and the rules allow 3 s after an outage
EVERYTHING: Final = ""

logger = logging.getLogger(__name__)


class StoreFollower:
    """Keeps the view of a node."""

    def __init__(self, store: PlatformStore, view: PlatformView, beliefs: ServerBeliefs, tenure: Tenure) -> None:
        self._store = store
        self._view = view
        self._beliefs = beliefs
        self._tenure = tenure
        self._revision: int | None = None
        self._is_reached = False
        self._failures = 0  # in a row

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            is_answered = await (self._reload() if self._revision is None else self._watch())
            self._note_reached(is_answered=is_answered)
            for server in self._view.expire_lapsed():
                logger.info("server removed", extra={"server": server, "cause": "entry did not come back"})
            self._beliefs.forget_absent(self._view.servers)
            if not is_answered:
                self._view.note_failure()
                await anyio.sleep(random.uniform(0, min(MAX_RETRY_TIME, RETRY_TIME * 2**self._failures)))
                self._failures += 1
            else:
                self._failures = 0

    def _note_reached(self, *, is_answered: bool) -> None:
        if is_answered != self._is_reached:
            self._is_reached = is_answered
            message = "store regained" if is_answered else "store lost"
            logger.info(message, extra={"age": round(self._view.age, 3), "revision": self._revision})

    async def _reload(self) -> bool:
        """Read everything; the pages are no snapshot, so the watch goes on from the first one."""
        started = time.monotonic()
        items: dict[str, StoreItem] = {}
        page = await self._store.read_range(EVERYTHING)
        if isinstance(page, NotDone):
            logger.debug("store not read", extra={"cause": page.cause})
            return False
        revision = page.revision
        while True:
            items.update((item.key, item) for item in page.items)
            if not page.has_more or not page.items:
                break
            page = await self._store.read_range(EVERYTHING, page.items[-1].key)
            if isinstance(page, NotDone):
                return False
        self._replace_all(items)
        self._revision = revision
        self._view.confirm(started)
        return True

    async def _watch(self) -> bool:
        revision = self._revision or 0
        started = time.monotonic()
        page = await self._store.watch(EVERYTHING, revision, WATCH_TIME)
        if isinstance(page, HistoryGone):
            logger.info("store history gone", extra={"revision": revision})
            self._revision = None
            return True
        if isinstance(page, NotDone):
            logger.debug("watch ended", extra={"cause": page.cause})
            return False
        self._apply_page(page)
        has_waited = not page.items and time.monotonic() - started >= WATCH_TIME
        self._view.confirm(started + WATCH_TIME if has_waited else started)
        if page.items:
            await anyio.sleep(GATHER_TIME)
        return True

    def _apply_page(self, page: StorePage) -> None:
        for item in page.items:
            self._apply(item)
        self._revision = max(self._revision or 0, page.revision)

    def _replace_all(self, items: dict[str, StoreItem]) -> None:
        servers: list[BackendServer] = []
        self._view.nodes = set()
        if TENURE_KEY not in items:
            self._tenure.note_holder(None, 0)
        for item in items.values():
            if not item.key.startswith(SERVERS_PREFIX):
                self._apply(item)
                continue
            server = self._decode_server(item)
            if server is not None:
                servers.append(server)
        for removed in self._view.replace_servers(servers):
            logger.info("server removed", extra={"server": removed, "cause": "not in the list"})

    def _apply(self, item: StoreItem) -> None:
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
            self._view.nodes.discard(vm)
            return
        self._view.nodes.add(vm)

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


__all__ = ["StoreFollower"]
