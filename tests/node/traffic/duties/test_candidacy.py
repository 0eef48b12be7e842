"""When nobody holds the tenure, the nodes try to take it one after the other, not all at once."""

from __future__ import annotations

import anyio
import pytest

from vaneturn_core.identifiers import NodeId, VmId
from vaneturn_core.traffic.relays import rank_candidate
from vaneturn_core.traffic.servers import ServerAddress
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.epochs import StoreState
from vaneturn_node.platform.store import Lease, PlatformStore, StoreConflict
from vaneturn_node.traffic.duties.tenure import MAX_CANDIDACY_DELAY_S, RANK_DELAY_S, Tenure

pytestmark = pytest.mark.anyio

NEWS_DELAY_S = 0.15  # seconds until a write is known to the other nodes
NAMES = [VmId(f"entry-{number}") for number in range(30)]


class FakeStore(PlatformStore):
    """A store with one record, which the nodes learn of with a delay."""

    def __init__(self) -> None:
        super().__init__(Caller(LinkPool()), ServerAddress("store"))
        self.record: bytes | None = None
        self.is_written = anyio.Event()
        self.calls = 0

    async def grant_lease(self, ttl_s: float) -> Lease:
        self.calls += 1
        return Lease(self.calls, ttl_s)

    async def write(
        self, key: str, value: bytes, expected: StoreState | None, lease: int = 0
    ) -> StoreState | StoreConflict:
        assert key
        assert lease
        self.calls += 1
        if self.record is not None and expected == 0:
            return StoreConflict()
        self.record = value
        self.is_written.set()
        return StoreState(1)

    async def renew_lease(self, lease: int) -> Lease:
        return Lease(lease, 4.0)

    async def end_lease(self, lease: int) -> None:
        assert lease
        self.calls += 1


async def run_candidates(listed: list[VmId], seconds: float) -> tuple[FakeStore, int]:
    """Run all nodes as candidates for some seconds; return the store and the number of holders."""
    store = FakeStore()
    tenures = [
        Tenure(store, NodeId(name), name, lambda name=name: rank_candidate(name, listed))  # type: ignore[misc]
        for name in NAMES
    ]
    for tenure in tenures:
        tenure.note_holder(None, StoreState(0))

    async def report_record() -> None:
        await store.is_written.wait()
        await anyio.sleep(NEWS_DELAY_S)
        for tenure in tenures:
            tenure.note_holder(store.record, StoreState(1))

    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(report_record)
            for tenure in tenures:
                tasks.start_soon(tenure.run)
    return store, sum(tenure.is_valid() for tenure in tenures)


async def test_few_nodes_ask_the_store_when_the_tenure_is_free() -> None:
    """If all 30 nodes try at once, each requests a lease, fails to write and ends the lease: 65 calls in total."""
    store, holders = await run_candidates(NAMES, MAX_CANDIDACY_DELAY_S + 4 * RANK_DELAY_S)
    assert holders == 1
    assert store.calls <= 8


async def test_unlisted_node_does_not_take_the_tenure() -> None:
    store, holders = await run_candidates([], MAX_CANDIDACY_DELAY_S + RANK_DELAY_S)
    assert holders == 0
    assert store.calls == 0
