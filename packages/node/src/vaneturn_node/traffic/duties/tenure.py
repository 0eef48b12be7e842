"""The tenure of the one node that orders servers: a record under a lease in the platform's store.

Orders carry the state of the store at which the record was written as their fence; it only grows, also when the store
is restored. The holder counts its lease from the moment before it sends the renewal, so for the holder the lease ends
no later than for the store.

A restored store may lack the record, or hold an older one, and may give the number of a lost lease to another lease. So
the tenure counts only in the epoch in which the record was read, and nodes that find it free wait for as long as a
holder of the earlier epoch may still count on its lease.
"""

from __future__ import annotations

import dataclasses
import logging
import random
from collections.abc import Callable
from typing import Final

import anyio

from vaneturn_core.identifiers import NodeId, VmId
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.epochs import NO_STATE, StoreState, get_epoch, get_number, make_fence, move_to_epoch
from vaneturn_node.platform.store import Lease, LeaseExpired, MaybeDone, NotDone, PlatformStore, StoreConflict
from vaneturn_node.traffic.duties.records import TENURE_KEY, TenureHolder, decode_holder, encode_holder

# After the loss of a holder nobody sends orders for this time, so lost layers stay missing.
LEASE_TTL_S: Final = 4.0
RENEWAL_INTERVAL_S: Final = 1.2  # two renewals in a row may fail
ORDER_MARGIN_S: Final = 0.8  # no order is sent in this time before the end of the lease, so that none arrives after it
MAX_CANDIDACY_DELAY_S: Final = 0.4  # between checks whether the tenure is free; upper bound of a random delay
# A candidate waits this long for each one ranked before it, so that the other can take the tenure and its record can
# reach this node, which takes 0.2 s. Without the wait, 19 of 23 nodes tried at once after the loss of a holder, with
# three calls to the store each.
RANK_DELAY_S: Final = 0.3

logger = logging.getLogger(__name__)


class Tenure:
    """Keeps the tenure, or takes it when nobody holds it."""

    def __init__(
        self, store: PlatformStore, node: NodeId, vm: VmId, rank: Callable[[], int | None] = lambda: 0
    ) -> None:
        """Start without the tenure.

        :param rank: gives this node's rank among the candidates, from 0, or None while it may not take the tenure.
        """
        self._store = store
        self._rank = rank
        self._own_record = TenureHolder(node, vm)
        self._lease: Lease | None = None
        self._valid_until = float("-inf")
        self._record_revision = NO_STATE
        self._read_revision = NO_STATE  # of the record as the store has shown it, not as this node wrote it
        self._free_at = float("-inf")  # earliest time to take the tenure
        self._holder: TenureHolder | None = None
        self._is_record_known = False  # the record, or its absence, has been read
        self._is_stopping = False
        self._is_changed = anyio.Event()  # the holder, as far as this node knows

    @property
    def fence(self) -> int:
        """The fence for orders of this node."""
        return make_fence(self._record_revision)

    def is_valid(self) -> bool:
        """Tell whether this node alone may send orders, for long enough that one sent now arrives in time."""
        is_current = get_epoch(self._record_revision) == self._store.epoch
        return is_current and self._is_holder() and read_clock() < self._valid_until - ORDER_MARGIN_S

    def note_holder(self, value: bytes | None, revision: StoreState) -> None:
        """Take over the record from the store; a value of None means that nobody holds the tenure."""
        self._is_record_known = True
        self._holder = decode_holder(value) if value is not None else None
        self._note_change()
        known, self._record_revision = self._record_revision, revision if self._holder is not None else NO_STATE
        self._read_revision = self._record_revision
        is_restored = NO_STATE not in (known, self._record_revision) and get_epoch(known) != get_epoch(revision)
        if is_restored and get_number(known) != get_number(revision):
            self._lease = None  # it belonged to a record that the store has lost
            self._valid_until = float("-inf")

    def enter_epoch(self, epoch: int) -> None:
        """Continue in a later epoch of the store, once the changes that led to its state were noted."""
        self._note_change()
        if get_epoch(self._record_revision) != epoch:
            if self._record_revision != self._read_revision:  # written by this node, and lost
                self._holder = None
            self._record_revision = self._read_revision = move_to_epoch(self._read_revision, epoch)
        if self._holder is not None:
            self._lease = dataclasses.replace(self._lease, epoch=epoch) if self._lease is not None else None
            return
        was_held_here = read_clock() < self._valid_until
        self._free_at = float("-inf") if was_held_here else read_clock() + LEASE_TTL_S
        self._lease, self._record_revision = None, NO_STATE
        self._valid_until = float("-inf")

    def note_fenced(self) -> None:
        """End this tenure, since a server has seen a newer fence."""
        logger.warning("server has seen a newer fence; giving up the tenure", extra={"fence": self.fence})
        self._valid_until = float("-inf")
        self._lease = None
        self._free_at = read_clock() + LEASE_TTL_S

    def _is_holder(self) -> bool:
        return self._holder is not None and self._holder.node == self._own_record.node

    async def run(self) -> None:
        """Keep the tenure, or try to take it when nobody holds it, until cancelled."""
        while not self._is_stopping:
            if self._lease is not None and self._is_holder():
                await self._renew(self._lease)
                await anyio.sleep(RENEWAL_INTERVAL_S)
                continue
            if self._holder is not None and not self._is_holder():
                await self._is_changed.wait()  # while another node holds the tenure, this one may not take it
            await anyio.sleep(random.uniform(0, MAX_CANDIDACY_DELAY_S))
            rank = self._rank()
            if rank is None or not self._is_free():
                continue
            await anyio.sleep(rank * RANK_DELAY_S)
            if self._is_free():
                await self._take()

    def _note_change(self) -> None:
        self._is_changed.set()
        self._is_changed = anyio.Event()

    def _is_free(self) -> bool:
        """Tell whether, as far as this node knows, the tenure may be taken, and this node is not stopping.

        A record of this node that none of its leases keeps is from an older copy of the store, or was written under a
        lease that became another node's in a restore.
        """
        is_unused = self._holder is None or (self._is_holder() and self._lease is None)
        return self._is_record_known and is_unused and read_clock() >= self._free_at and not self._is_stopping

    async def _renew(self, lease: Lease) -> None:
        started = read_clock()
        renewed = await self._store.renew_lease(lease.id)
        if self._lease is None:
            return  # given up meanwhile
        if isinstance(renewed, Lease):
            self._valid_until = started + renewed.duration_s
            return
        if isinstance(renewed, LeaseExpired):
            logger.info("tenure lost", extra={"fence": self.fence})
            self._valid_until = float("-inf")
            self._lease = None
            self._holder = None if self._is_holder() else self._holder

    async def _take(self) -> None:
        started = read_clock()
        expected = self._record_revision if self._is_holder() else NO_STATE  # another node's record may come meanwhile
        lease = await self._store.grant_lease(LEASE_TTL_S)
        if not isinstance(lease, Lease):
            return
        written = await self._store.write(TENURE_KEY, encode_holder(self._own_record), expected, lease.id)
        if isinstance(written, StoreConflict | LeaseExpired | NotDone):
            await self._store.end_lease(lease.id)
            return
        if not isinstance(written, MaybeDone) and get_epoch(written) != lease.epoch:
            return  # the number of the lease may be another node's now; the record is written again
        self._lease = lease
        self._valid_until = started + lease.duration_s
        if isinstance(written, MaybeDone):
            return  # the watch of the store will show whether the record was written
        self._holder = self._own_record
        self._record_revision = written
        logger.info("tenure taken", extra={"fence": self.fence})

    async def release(self) -> None:
        """Give up the tenure at a planned stop, so that the next node need not wait for the lease to run out."""
        self._is_stopping = True
        self._note_change()
        await self.step_down()

    async def step_down(self) -> None:
        """Give up the tenure; this node may take it again when its rank allows that."""
        lease, self._lease = self._lease, None
        self._valid_until = float("-inf")
        if lease is not None and lease.epoch == self._store.epoch:
            await self._store.end_lease(lease.id)


__all__ = ["Tenure"]
