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
MAX_WRITE_DELAY_S: Final = 1.0  # random delay after a restore of the store, so that not all nodes write at once

logger = logging.getLogger(__name__)


class Registration:
    """Writes the record of this node and renews its lease."""

    def __init__(self, store: PlatformStore, vm: VmId, peer_address: str) -> None:
        self._store = store
        self._key = NODES_PREFIX + vm
        self._record = NodeRecord(peer_address)
        self._lease: Lease | None = None
        self._written_revision = NO_STATE
        self._known_revision = NO_STATE  # that the next write replaces
        self._read_revision = NO_STATE  # of the record as the store has shown it; NO_STATE if there is none
        self._is_displaced = False  # the store has shown another record, or none, after this node wrote its own
        self._must_write = anyio.Event()
        self._is_stopping = False

    def note_record(self, revision: StoreState) -> None:
        """Note the record of this node as the store shows it."""
        self._read_revision = revision
        self._note_displaced(revision)

    def note_absence(self, revision: StoreState) -> None:
        """Note that the store holds no record of this node at a revision."""
        self._read_revision = NO_STATE
        self._note_displaced(revision)

    def _note_displaced(self, revision: StoreState) -> None:
        """Write the record again if a later write, or the end of its lease, has replaced it.

        The store may do a write seconds after the call, under a lease that this node does not renew.
        """
        if self._is_stopping or self._lease is None or get_epoch(revision) != self._lease.epoch:
            return
        if revision <= self._written_revision:
            return
        logger.warning("registration replaced; registering again", extra={"revision": get_number(revision)})
        self._is_displaced = True
        self._must_write.set()

    def enter_epoch(self, epoch: int) -> None:
        """Register again, unless the restored store still holds the record as this node wrote it last."""
        if get_number(self._read_revision) != get_number(self._written_revision):
            self._lease = None
            self._must_write.set()
        elif self._lease is not None:
            self._lease = dataclasses.replace(self._lease, epoch=epoch)

    async def run(self) -> None:
        """Keep the node registered until cancelled."""
        while not self._is_stopping:
            has_succeeded = await self._keep_registered()
            with anyio.move_on_after(RENEWAL_INTERVAL_S if has_succeeded else RETRY_DELAY_S):
                await self._must_write.wait()
                self._must_write = anyio.Event()
                await anyio.sleep(random.uniform(0, MAX_WRITE_DELAY_S))

    async def _keep_registered(self) -> bool:
        if self._lease is None:
            return await self._register()
        if self._is_displaced:
            return await self._write(self._lease)
        return await self._renew(self._lease)

    async def _register(self) -> bool:
        lease = await self._store.grant_lease(LEASE_TTL_S)
        return await self._write(lease) if isinstance(lease, Lease) else False

    async def _write(self, lease: Lease) -> bool:
        """Write the record under a lease, in place of the one that the store holds."""
        written = await self._replace(self._known_revision, lease)
        if isinstance(written, StoreConflict):
            found = await self._store.read_key(self._key)
            if isinstance(found, NotDone):
                return False
            self._known_revision = found.revision
            written = await self._replace(found.revision, lease)
        if isinstance(written, StoreConflict | LeaseExpired | NotDone | MaybeDone):
            self._lease = None if isinstance(written, LeaseExpired) else self._lease
            return False
        if get_epoch(written) != lease.epoch:
            return False  # the number of the lease may be another node's now
        self._lease, self._written_revision, self._known_revision = lease, written, written
        self._is_displaced = False
        return True

    async def _replace(
        self, known: StoreState, lease: Lease
    ) -> StoreState | StoreConflict | LeaseExpired | NotDone | MaybeDone:
        """Write the record unless it has changed: a write that is done late must not undo a later one."""
        return await self._store.write(self._key, encode_node(self._record), known, lease.id)

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
