"""At most one node is sure of the tenure, even if answers are delayed or lost."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import anyio
import pytest

from vaneturn_core.identifiers import DataHall, NodeId, StoreVersion, VmId
from vaneturn_core.membership.member import Member
from vaneturn_core.membership.table import MemberTable
from vaneturn_core.ports import Conflict, Entry, Unavailable
from vaneturn_node.placing import tenure as module
from vaneturn_node.placing.tenure import Tenure

NODES = 3
MANY_TERMS_S = 4.0


class StoredRecord:
    """The key of the tenure, shared by the stores of all nodes."""

    def __init__(self) -> None:
        self.entry = Entry(b"", StoreVersion(0))
        self.changed = anyio.Event()


class FlakyStore:
    """One node's access to the key; a call may be delayed for longer than the term, and its answer may be lost."""

    def __init__(self, record: StoredRecord, rng: Random) -> None:
        self._record = record
        self._rng = rng
        self.is_healthy = False

    async def _deliver(self) -> bool:
        """Simulate the delay of a message in one direction; false if the message is lost."""
        if self.is_healthy:
            return True
        await anyio.sleep(self._rng.choice((0.0, 0.001, 0.01, 2 * module.TERM_S)))
        return self._rng.random() < 0.8

    async def read(self, _key: str) -> Entry | Unavailable:
        return self._record.entry

    async def watch(self, _key: str, after: StoreVersion, wait: float) -> Entry | Unavailable | None:
        if not await self._deliver():
            return Unavailable("lost")
        with anyio.move_on_after(wait):
            while self._record.entry.version == after:
                await self._record.changed.wait()
        entry = self._record.entry
        if not await self._deliver():
            return Unavailable("lost")
        return None if entry.version == after else entry

    async def write(self, _key: str, value: bytes, expected: StoreVersion) -> StoreVersion | Conflict | Unavailable:
        if not await self._deliver():
            return Unavailable("lost")
        current = self._record.entry.version
        if expected != current:
            return Conflict(current)
        self._record.entry = Entry(value, StoreVersion(current + 1))
        self._record.changed.set()
        self._record.changed = anyio.Event()
        return StoreVersion(current + 1) if await self._deliver() else Unavailable("lost")


@pytest.fixture(autouse=True)
def _short_term(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "TERM_S", 0.15)
    monkeypatch.setattr(module, "BEAT_INTERVAL_S", 0.04)
    monkeypatch.setattr(module, "MAX_RETRY_DELAY_S", 0.01)
    monkeypatch.setattr(module, "CANDIDATES_PER_HALL", NODES)


def make_tenures(seed: int) -> tuple[list[Tenure], list[FlakyStore]]:
    record = StoredRecord()
    members = [Member(NodeId(f"n{index}"), VmId(f"e{index}"), "", DataHall("osborne")) for index in range(NODES)]
    stores = [FlakyStore(record, Random(seed * NODES + index)) for index in range(NODES)]
    tenures = []
    for member, store in zip(members, stores, strict=True):
        table = MemberTable(member, Random(seed), time.monotonic)
        table.merge(members)
        tenures.append(Tenure(store, table))
    return tenures, stores


async def wait_for_holder(tenures: list[Tenure]) -> Tenure:
    with anyio.fail_after(30):
        while not (sure := [tenure for tenure in tenures if tenure.is_sure(0.0)]):  # noqa: ASYNC110 # lapses by itself
            await anyio.sleep(0.001)
    assert len(sure) == 1
    return sure[0]


@pytest.mark.anyio
@pytest.mark.parametrize("seed", range(4))
async def test_never_two_are_sure_and_fences_grow(seed: int) -> None:
    tenures, stores = make_tenures(seed)
    fences: list[int] = []
    async with anyio.create_task_group() as tasks:
        for tenure in tenures:
            tasks.start_soon(tenure.run)
        until = time.monotonic() + MANY_TERMS_S
        while time.monotonic() < until:
            sure = [tenure for tenure in tenures if tenure.is_sure(0.0)]
            assert len(sure) <= 1
            if sure and sure[0].fence not in fences[-1:]:
                fences.append(sure[0].fence)
            await anyio.sleep(0.001)
        for store in stores:
            store.is_healthy = True
        await wait_for_holder(tenures)
        tasks.cancel_scope.cancel()
    assert fences
    assert fences == sorted(set(fences))


@asynccontextmanager
async def run_without_faults(count: int) -> AsyncIterator[list[Tenure]]:
    """Run some nodes over a service without faults."""
    tenures, stores = make_tenures(1)
    async with anyio.create_task_group() as tasks:
        for tenure, store in zip(tenures[:count], stores, strict=False):
            store.is_healthy = True
            tasks.start_soon(tenure.run)
        yield tenures
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_planned_stop_leaves_the_tenure_to_the_next() -> None:
    async with run_without_faults(NODES) as tenures:
        first = await wait_for_holder(tenures)
        await first.give_up()
        assert not first.is_sure(0.0)
        second = await wait_for_holder(tenures)
        assert second is not first
        assert second.fence > first.fence


@pytest.mark.anyio
async def test_fence_seen_by_an_engine_is_exceeded() -> None:
    async with run_without_faults(1) as tenures:
        await wait_for_holder(tenures)
        tenures[0].note_fence(41)
        assert not tenures[0].is_sure(0.0)
        assert (await wait_for_holder(tenures)).fence > 41
