"""The registration of a node, over restores of the store, lost answers and writes that are done late."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import ServerAddress
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.epochs import NO_STATE, StoreState, get_number, make_state
from vaneturn_node.platform.store import Lease, MaybeDone, PlatformStore, StoreConflict, StoreItem
from vaneturn_node.traffic.duties.registration import MAX_WRITE_DELAY_S, RENEWAL_INTERVAL_S, RETRY_DELAY_S, Registration

pytestmark = pytest.mark.anyio


class FakeStore(PlatformStore):
    """Records the leases under which the record was written."""

    def __init__(self) -> None:
        super().__init__(Caller(LinkPool()), ServerAddress("store"))
        self.written: list[int] = []
        self.next_lease = 1
        self.is_restored_before_write = False
        self.held = 0  # revision of the record; 0 without one
        self.late: list[Callable[[], bool]] = []  # writes that got no answer
        self.loses_answers = False

    async def grant_lease(self, ttl_s: float) -> Lease:
        self.next_lease += 1
        return Lease(self.next_lease, ttl_s, self.epoch)

    async def write(
        self, key: str, value: bytes, expected: StoreState | None, lease: int = 0
    ) -> StoreState | StoreConflict | MaybeDone:
        assert key
        assert value
        assert expected is not None, "a write that is done late may undo a later one"
        if self.loses_answers:
            self.late.append(lambda: self._do(expected, lease))
            return MaybeDone("no answer in time")
        self._epochs.current += self.is_restored_before_write
        self.is_restored_before_write = False
        return make_state(self.epoch, self.held) if self._do(expected, lease) else StoreConflict()

    def _do(self, expected: StoreState, lease: int) -> bool:
        """Write the record if its condition holds."""
        if get_number(expected) != self.held:
            return False
        self.written.append(lease)
        self.held = 10 + len(self.written)
        return True

    async def read_key(self, key: str) -> StoreItem:
        return StoreItem(key, b"" if self.held else None, make_state(self.epoch, self.held))

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
        store.held = get_number(found)
        registration.note_record(found)
        registration.enter_epoch(1)
        await anyio.sleep(MAX_WRITE_DELAY_S + 0.1)
        tasks.cancel_scope.cancel()
    assert MAX_WRITE_DELAY_S < RENEWAL_INTERVAL_S
    assert store.written == [2, 3]


async def test_node_whose_record_is_in_the_copy_does_not_write() -> None:
    store = FakeStore()
    async with anyio.create_task_group() as tasks:
        registration = await register(store, tasks)
        registration.note_record(make_state(1, 11))
        registration.enter_epoch(1)
        await anyio.sleep(MAX_WRITE_DELAY_S + 0.1)
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


async def test_first_write_that_is_done_late_does_not_undo_the_second() -> None:
    """The record was under the first lease again, which nobody renewed, and went with it for good."""
    store = FakeStore()
    store.loses_answers = True
    async with anyio.create_task_group() as tasks:
        await register(store, tasks)
        store.loses_answers = False
        await anyio.sleep(RETRY_DELAY_S + 0.1)
        assert [write() for write in store.late] == [False]
        tasks.cancel_scope.cancel()
    assert store.written == [3]


async def test_record_of_a_write_without_an_answer_is_replaced() -> None:
    store = FakeStore()
    store.loses_answers = True
    async with anyio.create_task_group() as tasks:
        await register(store, tasks)
        assert [write() for write in store.late] == [True]
        store.loses_answers = False
        await anyio.sleep(RETRY_DELAY_S + 0.1)
        tasks.cancel_scope.cancel()
    assert store.written == [2, 3]


@pytest.mark.parametrize("is_absent", [True, False], ids=["gone", "written by another call"])
async def test_record_that_was_replaced_is_written_again(*, is_absent: bool) -> None:
    """Nothing else ends it: the lease of this node is renewed all the time."""
    store = FakeStore()
    async with anyio.create_task_group() as tasks:
        registration = await register(store, tasks)
        store.held = 0 if is_absent else 20
        note = registration.note_absence if is_absent else registration.note_record
        note(make_state(0, 20))
        await anyio.sleep(MAX_WRITE_DELAY_S + 0.1)
        tasks.cancel_scope.cancel()
    assert MAX_WRITE_DELAY_S < RENEWAL_INTERVAL_S
    assert store.written == [2, 2], "its lease is still renewed"


async def test_end_of_the_record_of_an_earlier_process_is_no_end_of_this_one() -> None:
    store = FakeStore()
    async with anyio.create_task_group() as tasks:
        registration = await register(store, tasks)
        registration.note_absence(make_state(0, 9))
        await anyio.sleep(MAX_WRITE_DELAY_S + 0.1)
        tasks.cancel_scope.cancel()
    assert store.written == [2]
