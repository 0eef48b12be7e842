"""Registers this node with the other nodes, as a record under a lease in the metadata store."""

from __future__ import annotations

import dataclasses
import logging
import random
from typing import Final

import anyio

from vaneturn_core.identifiers import VmId
from vaneturn_node.platform.epochs import NO_STATE, StoreState, get_epoch, get_number
from vaneturn_node.platform.store import Lease, LeaseExpired, MaybeDone, NotDone, PlatformStore, StoreConflict
from vaneturn_node.traffic.duties.records import NODES_PREFIX, NodeRecord, encode_node

LEASE_TTL_S: Final = 20.0  # long, since the record of a lost node only makes the shares of the others smaller
RENEWAL_INTERVAL_S: Final = 6.0
RETRY_DELAY_S: Final = 1.0  # after a failure
MAX_RESTORE_DELAY_S: Final = 1.0  # random delay after a restore of the store, so that not all nodes write at once

logger = logging.getLogger(__name__)


class Registration:
    """Writes the record of this node and renews its lease."""

    def __init__(self, store: PlatformStore, vm: VmId, peer_address: str) -> None:
        self._store = store
        self._vm = vm
        self._record = NodeRecord(peer_address)
        self._lease: Lease | None = None
        self._written_revision = NO_STATE
        self._read_revision = NO_STATE  # of the record as the store has shown it
        self._restored = anyio.Event()
        self._is_stopping = False

    def note_record(self, revision: StoreState) -> None:
        """Note the record of this node as the store shows it; NO_STATE if it was removed."""
        self._read_revision = revision

    def enter_epoch(self, epoch: int) -> None:
        """Register again, unless the restored store still holds the record as this node wrote it last."""
        if get_number(self._read_revision) != get_number(self._written_revision):
            self._lease = None
            self._restored.set()
        elif self._lease is not None:
            self._lease = dataclasses.replace(self._lease, epoch=epoch)

    async def run(self) -> None:
        """Keep the node registered until cancelled."""
        while not self._is_stopping:
            has_succeeded = await (self._register() if self._lease is None else self._renew(self._lease))
            with anyio.move_on_after(RENEWAL_INTERVAL_S if has_succeeded else RETRY_DELAY_S):
                await self._restored.wait()
                self._restored = anyio.Event()
                await anyio.sleep(random.uniform(0, MAX_RESTORE_DELAY_S))

    async def _register(self) -> bool:
        lease = await self._store.grant_lease(LEASE_TTL_S)
        if not isinstance(lease, Lease):
            return False
        written = await self._store.write(NODES_PREFIX + self._vm, encode_node(self._record), None, lease.id)
        if isinstance(written, StoreConflict | LeaseExpired | NotDone | MaybeDone):
            return False
        if get_epoch(written) != lease.epoch:
            return False  # the number of the lease may be another node's now
        self._lease, self._written_revision = lease, written
        return True

    async def _renew(self, lease: Lease) -> bool:
        renewed = await self._store.renew_lease(lease.id)
        if isinstance(renewed, LeaseExpired):
            logger.info("registration lapsed; registering again", extra={"lease": lease.id})
            self._lease = None if self._lease is lease else self._lease
            return False
        return isinstance(renewed, Lease)

    async def deregister(self) -> None:
        """Remove the record at a planned stop."""
        self._is_stopping = True
        if self._lease is not None and self._lease.epoch == self._store.epoch:
            await self._store.end_lease(self._lease.id)


__all__ = ["Registration"]
