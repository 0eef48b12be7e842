"""Transfer of a session's KV cache from one engine to another."""

from __future__ import annotations

import logging
from typing import Final

import httpx

from vaneturn_core.configuration.schema import Configuration, Server
from vaneturn_core.engine.messages import CACHE_PATH
from vaneturn_core.identifiers import DataHall, SessionId
from vaneturn_core.routing.recovery import LinkTable
from vaneturn_core.traffic.completeness import Framing
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.responses import find_framing

TRANSFER_TIMEOUT_S: Final = 30.0  # for each of export and import

logger = logging.getLogger(__name__)


class CacheMover:
    """Exports a cache from the old engine, imports it into the new one, and measures both transfers."""

    def __init__(self, client: httpx.AsyncClient, hall: DataHall) -> None:
        self._client = client
        self.hall = hall
        self.links = LinkTable()

    def follow(self, configuration: Configuration) -> None:
        """Update the declared links after a change of configuration."""
        self.links.declare(configuration.links)

    async def move(self, session: SessionId, old: Server, new: Server) -> bool:
        """Move a session's cache; false if the export or the import failed."""
        try:
            started = read_clock()
            exported = await self._client.get(_make_cache_url(old, session), timeout=TRANSFER_TIMEOUT_S)
            exported.raise_for_status()
            if find_framing(exported) is Framing.CLOSE:  # its engine may have ended inside it
                logger.info(
                    "cache not moved", extra={"old": old.vm, "new": new.vm, "cause": "exported without a length"}
                )
                return False
            fetched = read_clock()
            imported = await self._client.put(
                _make_cache_url(new, session), content=exported.content, timeout=TRANSFER_TIMEOUT_S
            )
            imported.raise_for_status()
        except httpx.HTTPError as error:
            logger.info("cache not moved", extra={"old": old.vm, "new": new.vm, "cause": repr(error)})
            return False
        size = len(exported.content)
        self.links.record_transfer(old.data_hall, self.hall, size, fetched - started)
        self.links.record_transfer(self.hall, new.data_hall, size, read_clock() - fetched)
        return True


def _make_cache_url(server: Server, session: SessionId) -> str:
    return f"http://{server.address}{CACHE_PATH}/{session}"


__all__ = ["CacheMover"]
