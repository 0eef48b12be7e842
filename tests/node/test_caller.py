"""Short HTTP calls, and long answers that arrive over a slow link."""

from __future__ import annotations

import time

import anyio
import pytest

from rig.ports import find_port
from standins.platform.store import Store
from standins.platform.wire import Exchange, serve
from vaneturn_core.traffic.servers import ServerAddress
from vaneturn_node.http1.caller import BodyArrival, Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.epochs import StoreState
from vaneturn_node.platform.store import NotDone, PlatformStore, StorePage, WatchTooLong

pytestmark = pytest.mark.anyio

WAIT = 0.1  # seconds of a watch


async def test_long_answer_may_arrive_after_the_time_for_its_head() -> None:
    """A long value written at the end of a watch must not count as a failure of the store and be read again."""
    store, address = Store(body_time=0.8), ServerAddress(f"127.0.0.1:{find_port()}")
    arrival = BodyArrival(extra_time=1.0, stall_timeout=0.5)
    async with anyio.create_task_group() as tasks:
        await store.listen(address, tasks)
        store.put("op/config", b"x" * 50_000)
        began = time.monotonic()
        page = await PlatformStore(Caller(LinkPool()), address).watch("", StoreState(1), WAIT, arrival)
        assert isinstance(page, StorePage)
        assert [len(item.value or b"") for item in page.items] == [50_000]
        assert began < arrival.last_data_at <= time.monotonic()
        tasks.cancel_scope.cancel()


async def test_answer_that_stops_arriving_fails() -> None:
    """The call fails after the stall timeout, long before the total time limit of a long answer."""

    async def stop_halfway(exchange: Exchange) -> None:
        await exchange.begin(200, {"Content-Length": "50000"})
        await exchange.send(b"x" * 10_000)
        await exchange.watch_client()

    address = ServerAddress(f"127.0.0.1:{find_port()}")
    async with anyio.create_task_group() as tasks:
        await serve(address, stop_halfway, tasks)
        with anyio.fail_after(5.0):
            store = PlatformStore(Caller(LinkPool()), address)
            assert isinstance(
                await store.watch("", StoreState(1), WAIT, BodyArrival(extra_time=30.0, stall_timeout=0.2)), NotDone
            )
        tasks.cancel_scope.cancel()


async def test_unfinished_answer_at_the_time_limit_differs_from_none() -> None:
    store, address = Store(body_time=2.0), ServerAddress(f"127.0.0.1:{find_port()}")
    async with anyio.create_task_group() as tasks:
        await store.listen(address, tasks)
        store.put("op/config", b"x" * 50_000)
        page = await PlatformStore(Caller(LinkPool()), address).watch(
            "", StoreState(1), WAIT, BodyArrival(extra_time=0.2, stall_timeout=0.5)
        )
        assert isinstance(page, WatchTooLong)
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("document", [b'{"at": 12, "entries": []}', b'[{"at": 1}]'], ids=["object", "array"])
async def test_reply_that_ends_with_its_connection_is_whole_at_its_last_byte_only(document: bytes) -> None:
    """A reply without a length was taken for whole wherever its connection was closed."""
    sent = document

    async def answer(exchange: Exchange) -> None:
        await exchange.send_raw(b"HTTP/1.1 200 OK\r\n\r\n" + sent)
        await exchange.close()

    address = ServerAddress(f"127.0.0.1:{find_port()}")
    async with anyio.create_task_group() as tasks:
        await serve(address, answer, tasks)
        caller = Caller(LinkPool())
        assert isinstance(await caller.call(address, "GET", "/", 1.0), Reply)
        for end in range(1, len(document)):
            sent = document[:end]
            assert isinstance(await caller.call(address, "GET", "/", 1.0), Failed)
        tasks.cancel_scope.cancel()


async def test_reply_of_a_number_that_ends_with_its_connection_may_be_a_part_of_it() -> None:
    async def answer(exchange: Exchange) -> None:
        await exchange.send_raw(b"HTTP/1.1 200 OK\r\n\r\n12")
        await exchange.close()

    address = ServerAddress(f"127.0.0.1:{find_port()}")
    async with anyio.create_task_group() as tasks:
        await serve(address, answer, tasks)
        assert isinstance(await Caller(LinkPool()).call(address, "GET", "/", 1.0), Failed)
        tasks.cancel_scope.cancel()


async def test_reply_without_a_body_that_ends_with_its_connection_tells_its_status() -> None:
    async def answer(exchange: Exchange) -> None:
        await exchange.send_raw(b"HTTP/1.1 202 Accepted\r\n\r\n")
        await exchange.close()

    address = ServerAddress(f"127.0.0.1:{find_port()}")
    async with anyio.create_task_group() as tasks:
        await serve(address, answer, tasks)
        reply = await Caller(LinkPool()).call(address, "POST", "/", 1.0)
        assert isinstance(reply, Reply)
        assert reply.status == 202
        tasks.cancel_scope.cancel()
