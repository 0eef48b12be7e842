"""Follower of the configuration's key in the platform's key-value service."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Final

import anyio

from vaneturn_core.configuration.document import CONFIGURATION_KEY
from vaneturn_core.identifiers import StoreVersion
from vaneturn_core.ports import Entry, KeyValueService, Unavailable
from vaneturn_node.configuration.inforce import ConfigurationInForce, OfferResult

WATCH_TIME_S: Final = 20.0  # the service counts each watch as one call
WATCHERS_PER_HALL: Final = 4  # nodes of each data hall that watch; the others get changes from their peers
ROLE_CHECK_INTERVAL_S: Final = 1.0  # between checks whether this node should watch
MIN_BACKOFF_S: Final = 0.2  # full jitter
MAX_BACKOFF_S: Final = 2.0
MAX_RESTORE_DELAY_S: Final = 1.0  # random delays spread the nodes that write a newer document back

logger = logging.getLogger(__name__)


class ConfigurationFollower:
    """Watches one key, and writes the newer document back if the store was restored to an older state."""

    def __init__(self, store: KeyValueService, in_force: ConfigurationInForce, is_watcher: Callable[[], bool]) -> None:
        self._store = store
        self._in_force = in_force
        self._is_watcher = is_watcher

    async def run(self) -> None:
        """Follow the key until cancelled; once a configuration is known, only some nodes watch."""
        version = StoreVersion(-1)  # differs from any version of a key, so that the first watch returns at once
        backoff = MIN_BACKOFF_S
        while True:
            if self._in_force.revision and not self._is_watcher():
                await anyio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            entry = await self._store.watch(CONFIGURATION_KEY, version, WATCH_TIME_S)
            if isinstance(entry, Unavailable):
                await anyio.sleep(random.uniform(0, backoff))
                backoff = min(MAX_BACKOFF_S, backoff * 2)
                continue
            backoff = MIN_BACKOFF_S
            if entry is not None:
                version = entry.version
                await self._apply(entry)

    async def _apply(self, entry: Entry) -> None:
        is_store_older = not entry.value or self._in_force.offer(entry.value) is OfferResult.OLDER
        if is_store_older and self._in_force.data:
            await self._restore(entry)

    async def _restore(self, entry: Entry) -> None:
        """Write the newer document back by compare-and-swap; the first of all nodes that try succeeds."""
        await anyio.sleep(random.uniform(0, MAX_RESTORE_DELAY_S))
        result = await self._store.write(CONFIGURATION_KEY, self._in_force.data, entry.version)
        logger.warning(
            "store held an older configuration",
            extra={"revision": self._in_force.revision, "result": str(result)},
        )


__all__ = ["ConfigurationFollower"]
