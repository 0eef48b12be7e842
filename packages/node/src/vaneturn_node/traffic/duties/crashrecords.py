"""Keeps the crashes for which requests are blocked in the metadata store, for nodes that start when all have ended.

The holder of the tenure writes them, in one record. Other nodes get it with everything else that they read from the
store, so it takes no calls but the writes.
"""

from __future__ import annotations

import logging
import time
from typing import Final

import anyio
import msgspec
from msgspec import Struct

from vaneturn_core.decoding import decode_json
from vaneturn_core.traffic.blame.crashboard import CrashBoard
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.epochs import NO_STATE, StoreState
from vaneturn_node.platform.store import PlatformStore
from vaneturn_node.traffic.duties.tenure import Tenure
from vaneturn_node.traffic.servers.crashrows import CrashRow, pack_crashes, unpack_crashes

CRASHES_KEY: Final = "vaneturn/crashes"
CHECK_INTERVAL_S: Final = 1.0

logger = logging.getLogger(__name__)


class CrashRecord(Struct, frozen=True):
    """The crashes as they were known when the record was written."""

    written: float  # Unix time in seconds; ages count from it
    crashes: list[CrashRow]


class CrashRecorder:
    """Reads the record on each node, and writes it while this node holds the tenure."""

    def __init__(self, store: PlatformStore, tenure: Tenure, board: CrashBoard) -> None:
        self._store = store
        self._tenure = tenure
        self._board = board
        self._revision = NO_STATE
        self._stored: frozenset[tuple[str, frozenset[int]]] = frozenset()  # servers, with the suspects of their crashes

    def note_record(self, value: bytes | None, revision: StoreState) -> None:
        """Take over the record from the store; a value of None means that there is none."""
        self._revision = revision if value is not None else NO_STATE
        self._stored = frozenset()
        if value is None:
            return
        try:
            record = decode_json(value, CrashRecord)
            age = max(0.0, time.time() - record.written)
            crashes = unpack_crashes(record.crashes, read_clock() - age)
        except ValueError as error:
            logger.warning("record of crashes not understood", extra={"fault": str(error)})
            return
        self._stored = _summarize(record.crashes)
        if self._board.join(crashes):
            logger.info("crashes read from the store", extra={"servers": sorted(crashes)})

    async def run(self) -> None:
        """Write the record whenever it differs from the crashes that are known, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self._tenure.is_valid():
                await self._update()

    async def _update(self) -> None:
        rows = pack_crashes(self._board.list_evidence(), read_clock())
        if _summarize(rows) == self._stored:
            return
        record = CrashRecord(time.time(), rows)
        outcome = await self._store.write(CRASHES_KEY, msgspec.json.encode(record), self._revision)
        if isinstance(outcome, int):
            self._revision, self._stored = outcome, _summarize(rows)
            logger.info("crashes written to the store", extra={"servers": [row.server for row in rows]})


def _summarize(rows: list[CrashRow]) -> frozenset[tuple[str, frozenset[int]]]:
    return frozenset((row.server, frozenset(identity for identity, _ in row.suspects)) for row in rows)


__all__ = ["CRASHES_KEY", "CrashRecorder"]
