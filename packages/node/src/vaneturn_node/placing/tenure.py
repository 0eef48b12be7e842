"""The tenure of the one node that orders engines: a record in the key-value service with a fencing number.

The holder renews the record periodically. The other candidates watch it; one that has seen no new beat for a whole term
takes over by compare-and-swap with the next fence. The holder counts its term from before it sent the write, the others
from when they saw its effect, so that two nodes are never sure of the tenure at the same time.
"""

from __future__ import annotations

import logging
import random
from typing import Final

import anyio
import msgspec
from msgspec import Struct

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.identifiers import NodeId, StoreVersion
from vaneturn_core.membership.table import MemberTable
from vaneturn_core.ports import Entry, KeyValueService, Unavailable
from vaneturn_node.clock import read_clock

TENURE_KEY: Final = "vaneturn/placer"
TERM_S: Final = 9.0
BEAT_INTERVAL_S: Final = 3.0  # between two writes of the holder
MAX_RETRY_DELAY_S: Final = 0.5  # full jitter
IDLE_INTERVAL_S: Final = 1.0  # between checks whether this node is a candidate
CANDIDATES_PER_HALL: Final = 1  # nodes of each data hall that may take over

logger = logging.getLogger(__name__)


class TenureRecord(Struct, frozen=True):
    """The value stored under TENURE_KEY."""

    fence: int = 0  # increases with each takeover
    node: NodeId = NodeId("")  # empty after a planned stop
    beat: int = 0


class Tenure:
    """Acquires the tenure and renews it while this node holds it."""

    def __init__(self, store: KeyValueService, table: MemberTable) -> None:
        self._store = store
        self._table = table
        self._version = StoreVersion(-1)  # differs from any version of a key, so that the first watch returns at once
        self._record = TenureRecord()
        self._seen_at = float("-inf")  # when the newest record was first seen
        self._sure_until = float("-inf")
        self._is_stopping = False
        self._newest_fence = 0  # highest fence of any engine or record; a takeover must exceed it
        self.acquired_at = float("-inf")  # when this node took over

    @property
    def fence(self) -> int:
        """The fence for orders of this node."""
        return self._record.fence

    def is_sure(self, margin: float) -> bool:
        """Tell whether this node is sure to be the only holder for the next `margin` seconds."""
        return read_clock() + margin < self._sure_until

    def note_fence(self, fence: int) -> None:
        """Record a fence that an engine has seen; a fence above this node's own ends its tenure."""
        self._newest_fence = max(self._newest_fence, fence)
        if fence > self._record.fence and self._is_holder():
            logger.warning("an engine has seen a newer fence", extra={"fence": fence, "own": self._record.fence})
            self._sure_until = float("-inf")
            self._record = TenureRecord(self._record.fence)

    def _is_holder(self) -> bool:
        return self._record.node == self._table.own.node

    async def run(self) -> None:
        """Renew the tenure, or take it over when it lapses, until cancelled."""
        while not self._is_stopping:
            if self._is_holder():
                await self._renew()
            elif self._table.has_role("placer", CANDIDATES_PER_HALL):
                await self._wait_to_take_over()
            else:
                await anyio.sleep(IDLE_INTERVAL_S)

    async def _renew(self) -> None:
        """Write the next beat; if that fails, read whether another node has taken over."""
        record = msgspec.structs.replace(self._record, beat=self._record.beat + 1)
        if await self._write(record):
            await anyio.sleep(BEAT_INTERVAL_S)
            return
        await anyio.sleep(random.uniform(0, MAX_RETRY_DELAY_S))
        await self._watch_record(0.0)  # a write whose answer was lost may have taken effect

    async def _wait_to_take_over(self) -> None:
        """Watch the record for the rest of the term, and take over if it has not changed."""
        remaining = self._seen_at + TERM_S - read_clock()
        if not self._record.node and self._version >= 0:
            remaining = 0.0  # no node holds the tenure
        if remaining > 0 or self._version < 0:
            if not await self._watch_record(max(0.0, min(remaining, TERM_S))):
                await anyio.sleep(random.uniform(0, MAX_RETRY_DELAY_S))
            return
        fence = max(self._record.fence, self._newest_fence) + 1
        if await self._write(TenureRecord(fence, self._table.own.node)):
            self.acquired_at = read_clock()
            logger.info("took the placing over", extra={"fence": fence})
            return
        await anyio.sleep(random.uniform(0, MAX_RETRY_DELAY_S))
        await self._watch_record(0.0)

    async def _watch_record(self, wait: float) -> bool:
        """Watch the record; false if the service gave no answer."""
        entry = await self._store.watch(TENURE_KEY, self._version, wait)
        if isinstance(entry, Unavailable):
            return False
        return entry is None or self._adopt_record(entry)

    def _adopt_record(self, entry: Entry) -> bool:
        """Adopt a record; false if it is malformed: without its fence no node can take over."""
        try:
            record = decode_json(entry.value, TenureRecord) if entry.value else TenureRecord()
        except MalformedError as error:
            logger.warning("tenure not understood", extra={"fault": str(error)})
            return False
        self._version = entry.version
        self._seen_at = read_clock()
        self._record = record
        self._newest_fence = max(self._newest_fence, self._record.fence)
        if not self._is_holder():
            self._sure_until = float("-inf")
        return True

    async def _write(self, record: TenureRecord) -> bool:
        """Write the record unless it has changed; the term counts from before the write was sent."""
        started = read_clock()
        written = await self._store.write(TENURE_KEY, msgspec.json.encode(record), self._version)
        if not isinstance(written, int):
            return False
        self._version = written
        self._seen_at = read_clock()
        self._record = record
        self._sure_until = started + TERM_S if record.node else float("-inf")
        return True

    async def give_up(self) -> None:
        """Give up the tenure at a planned stop, so that the next node need not wait for the end of the term."""
        self._is_stopping = True
        if self._is_holder():
            self._sure_until = float("-inf")
            await self._write(TenureRecord(self._record.fence))


__all__ = ["BEAT_INTERVAL_S", "TENURE_KEY", "TERM_S", "Tenure", "TenureRecord"]
