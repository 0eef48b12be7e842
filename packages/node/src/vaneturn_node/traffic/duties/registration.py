"""Registers this node with the other nodes, as a record under a lease in the metadata store."""

from __future__ import annotations

import logging
from typing import Final

import anyio

from vaneturn_core.identifiers import VmId
from vaneturn_node.platform.store import Lease, LeaseExpired, PlatformStore
from vaneturn_node.traffic.duties.records import NODES_PREFIX, NodeRecord, encode_node

LEASE_TTL_S: Final = 20.0  # long, since the record of a lost node only makes the shares of the others smaller
RENEWAL_INTERVAL_S: Final = 6.0
RETRY_DELAY_S: Final = 1.0  # after a failure

logger = logging.getLogger(__name__)


class Registration:
    """Writes the record of this node and renews its lease."""

    def __init__(self, store: PlatformStore, vm: VmId, peer_address: str) -> None:
        self._store = store
        self._vm = vm
        self._record = NodeRecord(peer_address)
        self._lease: int | None = None
        self._is_stopping = False

    async def run(self) -> None:
        """Keep the node registered until cancelled."""
        while not self._is_stopping:
            has_succeeded = await (self._register() if self._lease is None else self._renew(self._lease))
            await anyio.sleep(RENEWAL_INTERVAL_S if has_succeeded else RETRY_DELAY_S)

    async def _register(self) -> bool:
        lease = await self._store.grant_lease(LEASE_TTL_S)
        if not isinstance(lease, Lease):
            return False
        written = await self._store.write(NODES_PREFIX + self._vm, encode_node(self._record), None, lease.id)
        if not isinstance(written, int):
            return False
        self._lease = lease.id
        return True

    async def _renew(self, lease: int) -> bool:
        renewed = await self._store.renew_lease(lease)
        if isinstance(renewed, LeaseExpired):
            logger.info("registration lapsed; registering again", extra={"lease": lease})
            self._lease = None
            return False
        return isinstance(renewed, Lease)

    async def deregister(self) -> None:
        """Remove the record at a planned stop."""
        self._is_stopping = True
        if self._lease is not None:
            await self._store.end_lease(self._lease)


__all__ = ["Registration"]
