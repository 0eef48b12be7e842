"""The rig itself: leftovers of a test do not fail it, and the store's stand-in skips no change."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path
from typing import Any

import anyio
import h11
import httpx
import pytest

from rig.ports import find_port
from rig.traffic import open_traffic
from standins.link import Link
from standins.platform.store import Store
from standins.platform.wire import (
    ConnectionEndedError,
    Exchange,
    KeptConnection,
    _read_call,
    get_no_delay,
    serve,
)

pytestmark = pytest.mark.anyio

LARGE_BODY_BYTES = 40_000_000
RECEIVED_BYTES = 65536  # at a time
MAX_READ_TIME_S = 1.0  # of processor time


async def test_waiting_connection_is_accepted_before_the_stand_ins_stop(tmp_path: Path) -> None:
    """asyncio raises InvalidStateError when a connection arrives in the loop iteration that cancels its listener."""
    async with open_traffic(tmp_path, nodes=1) as traffic:
        host, _, port = traffic.nodes[0].store_address.rpartition(":")
        traffic.nodes[0].process.end()
        waiting = socket.create_connection((host, int(port)))
    waiting.close()


async def test_watch_that_times_out_at_a_change_does_not_skip_it() -> None:
    """A watch that times out in the same loop iteration as a write must not answer with the revision after the write.

    The response is empty then, and the next watch continues from its revision, so the change would be skipped. Three
    nodes missed the layers of six servers in this way.
    """
    store = Store()
    store.put("servers/i-1", b"empty")
    query = {"since_rev": str(store.revision), "wait_ms": "20", "path_prefix": ""}
    before = store.revision
    answers: list[Any] = []

    async def watch() -> None:
        answers.append(await store._watch(query))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        await anyio.sleep(0.005)
        asyncio.get_running_loop().call_later(0.02, store.put, "servers/i-1", b"loaded")
        block_loop(0.03)  # after it, the end of the watch and the write are due at once
        await anyio.sleep(0.01)
    (_, page) = answers[0]
    assert page["events"] or page["at"] == before


async def test_reset_of_a_closed_connection_ends_its_exchange_alone() -> None:
    """A crash of a server whose caller had closed the connection failed the test with OSError 'Bad file descriptor'."""
    ended: list[type[Exception]] = []

    async def reset_twice(exchange: Exchange) -> None:
        for _ in range(2):
            try:
                await exchange.reset()
            except ConnectionEndedError:
                ended.append(ConnectionEndedError)

    address = f"127.0.0.1:{find_port()}"
    async with anyio.create_task_group() as tasks:
        await serve(address, reset_twice, tasks)
        host, _, port = address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as client:
            await client.send(b"GET / HTTP/1.1\r\nHost: server\r\n\r\n")
            with pytest.raises(anyio.BrokenResourceError):
                await client.receive()
        with anyio.fail_after(2.0):
            while len(ended) < 2:  # noqa: ASYNC110 # set by the stand-in's task
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def test_server_that_closes_a_connection_after_an_answer_loses_no_part_of_it() -> None:
    """The end of an answer waited in the link of its caller when the connection was closed, and was dropped."""
    link, address = Link(), f"127.0.0.1:{find_port()}"

    async def answer(exchange: Exchange) -> None:
        await exchange.begin(200, {"Transfer-Encoding": "chunked"})
        await exchange.send(b"whole")
        link.fill(0.1)
        await exchange.end()

    async with anyio.create_task_group() as tasks, httpx.AsyncClient() as client:
        tasks.start_soon(link.run)

        def close(exchange: Exchange, connection: KeptConnection) -> None:
            tasks.start_soon(connection.close_idle, exchange)

        await serve(address, answer, tasks, lambda _: link, close)
        assert (await client.get(f"http://{address}/")).text == "whole"
        tasks.cancel_scope.cancel()


def block_loop(seconds: float) -> None:
    """Block the event loop, so that all callbacks due meanwhile run in one iteration after it."""
    time.sleep(seconds)


class ReceivedBytes:
    """Stands for a connection on which all bytes have arrived."""

    def __init__(self, data: bytes) -> None:
        self._parts = iter([data[start : start + RECEIVED_BYTES] for start in range(0, len(data), RECEIVED_BYTES)])

    async def receive(self) -> bytes:
        return next(self._parts)


async def test_long_body_is_read_without_copies_of_all_that_came_before() -> None:
    """Stand-ins copied the whole body for each part of it, so that callers on a busy machine got no answer in time."""
    head = f"POST / HTTP/1.1\r\nHost: check\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n".encode()
    received: Any = ReceivedBytes(head + bytes(LARGE_BODY_BYTES))
    began = time.thread_time()
    call = await _read_call(received, h11.Connection(h11.SERVER), get_no_delay)
    assert time.thread_time() - began < MAX_READ_TIME_S
    assert call is not None
    assert call.body == bytes(LARGE_BODY_BYTES)
