"""The registration of a node, over restores of the store."""

from __future__ import annotations

import anyio
import pytest

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import ServerAddress
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.epochs import NO_STATE, StoreState, make_state
from vaneturn_node.platform.store import Lease, PlatformStore
from vaneturn_node.traffic.duties.registration import MAX_RESTORE_DELAY_S, RENEWAL_INTERVAL_S, Registration

pytestmark = pytest.mark.anyio


class FakeStore(PlatformStore):
    """Records the leases under which the record was written."""

    def __init__(self) -> None:
        super().__init__(Caller(LinkPool()), ServerAddress("store"))
        self.written: list[int] = []
        self.next_lease = 1
        self.is_restored_before_write = False

    async def grant_lease(self, ttl_s: float) -> Lease:
        self.next_lease += 1
        return Lease(self.next_lease, ttl_s, self.epoch)

    async def write(self, key: str, value: bytes, expected: StoreState | None, lease: int = 0) -> StoreState:
        assert key
        assert value
        assert expected is None
        self._epochs.current += self.is_restored_before_write
        self.is_restored_before_write = False
        self.written.append(lease)
        return make_state(self.epoch, 10 + len(self.written))

    async def renew_lease(self, lease: int) -> Lease:
        return Lease(lease, 20.0, self.epoch)


async def register(store: FakeStore, tasks: anyio.abc.TaskGroup) -> Registration:
    registration = Registration(store, VmId("entry-1"), "127.0.0.1:1")
    tasks.start_soon(registration.run)
    await anyio.sleep(0.05)
    registration.note_record(make_state(store.epoch, 10 + len(store.written)))
    return registration


@pytest.mark.parametrize("found", [NO_STATE, make_state(1, 5)], ids=["lost", "older"])
async def test_node_registers_again_when_the_restored_store_lacks_its_record(found: StoreState) -> None:
    """Until its next renewal, up to 6 s later, the others shared its part of each limit among themselves."""
    store = FakeStore()
    async with anyio.create_task_group() as tasks:
        registration = await register(store, tasks)
        registration.note_record(found)
        registration.enter_epoch(1)
        await anyio.sleep(MAX_RESTORE_DELAY_S + 0.1)
        tasks.cancel_scope.cancel()
    assert MAX_RESTORE_DELAY_S < RENEWAL_INTERVAL_S
    assert store.written == [2, 3]


async def test_node_whose_record_is_in_the_copy_does_not_write() -> None:
    store = FakeStore()
    async with anyio.create_task_group() as tasks:
        registration = await register(store, tasks)
        registration.note_record(make_state(1, 11))
        registration.enter_epoch(1)
        await anyio.sleep(MAX_RESTORE_DELAY_S + 0.1)
        tasks.cancel_scope.cancel()
    assert store.written == [2]


async def test_record_is_not_kept_under_a_lease_whose_number_was_given_out_again() -> None:
    """Another node's renewals would keep the record after the end of this one."""
    store = FakeStore()
    store.is_restored_before_write = True
    async with anyio.create_task_group() as tasks:
        await register(store, tasks)
        await anyio.sleep(1.2)
        tasks.cancel_scope.cancel()
    assert store.written == [2, 3]
