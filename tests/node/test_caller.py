"""Short HTTP calls, and long answers that arrive over a slow link."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import pytest

from rig.ports import find_port
from standins.platform.store import Store
from standins.platform.wire import Exchange, serve
from vaneturn_core.traffic.servers import ServerAddress
from vaneturn_node.bytebudget import ByteBudget
from vaneturn_node.http1.caller import BodyArrival, Caller, Failed, Reply
from vaneturn_node.http1.link import MAX_WHOLE_BYTES
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.epochs import StoreState
from vaneturn_node.platform.store import NotDone, PlatformStore, Rejection, StorePage, UnusableWatch

pytestmark = pytest.mark.anyio

WAIT = 0.1  # seconds of a watch
PART_BYTES = 65536


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
        assert isinstance(page, UnusableWatch)
        assert page.rejection is Rejection.UNFINISHED
        tasks.cancel_scope.cancel()


async def watch_once(respond: Callable[[Exchange], Awaitable[None]], pool: LinkPool) -> object:
    """Watch a store whose response the test makes."""
    address = ServerAddress(f"127.0.0.1:{find_port()}")
    async with anyio.create_task_group() as tasks:
        await serve(address, respond, tasks)
        arrival = BodyArrival(extra_time=5.0, stall_timeout=0.5)
        outcome = await PlatformStore(Caller(pool), address).watch("", StoreState(1), 1.0, arrival)
        tasks.cancel_scope.cancel()
    return outcome


async def send_parts(exchange: Exchange, headers: dict[str, str], size: int) -> None:
    await exchange.begin(200, headers)
    with suppress(OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):  # the caller may not want all of it
        for _ in range(0, size, PART_BYTES):
            await exchange.send(b"x" * PART_BYTES)
        await exchange.end()


@pytest.mark.parametrize("is_length_stated", [True, False])
async def test_changes_that_are_longer_than_any_answer_are_rejected(*, is_length_stated: bool) -> None:
    """Their length is no failure of the store, and the same call would get them again."""
    size = MAX_WHOLE_BYTES + PART_BYTES

    async def respond(exchange: Exchange) -> None:
        await send_parts(exchange, {"Content-Length": str(size)} if is_length_stated else {}, size)

    outcome = await watch_once(respond, LinkPool())
    assert isinstance(outcome, UnusableWatch)
    assert outcome.rejection is Rejection.TOO_LONG
    assert outcome.received == 0 if is_length_stated else outcome.received > MAX_WHOLE_BYTES // 2


async def test_changes_for_which_there_is_no_memory_are_rejected() -> None:
    async def respond(exchange: Exchange) -> None:
        await send_parts(exchange, {"Content-Length": str(4 * PART_BYTES)}, 4 * PART_BYTES)

    outcome = await watch_once(respond, LinkPool(call_budget=ByteBudget(2 * PART_BYTES)))
    assert isinstance(outcome, UnusableWatch)
    assert outcome.rejection is Rejection.NO_MEMORY


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        pytest.param(200, b'{"at": "five"}', Rejection.MALFORMED, id="malformed"),
        pytest.param(400, b"{}", Rejection.REFUSED, id="refused"),
        pytest.param(500, b"{}", None, id="error of the store"),
        pytest.param(503, b"{}", None, id="nothing done"),
    ],
)
async def test_answer_without_changes_is_rejected_unless_the_store_failed(
    status: int, body: bytes, expected: Rejection | None
) -> None:
    async def respond(exchange: Exchange) -> None:
        await exchange.begin(status, {"Content-Length": str(len(body))})
        await exchange.send(body)
        await exchange.end()

    outcome = await watch_once(respond, LinkPool())
    assert (outcome.rejection if isinstance(outcome, UnusableWatch) else None) is expected
    assert isinstance(outcome, UnusableWatch | NotDone)


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
