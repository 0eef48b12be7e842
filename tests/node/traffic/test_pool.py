"""The pool of idle connections while requests take some and others are closed."""

from __future__ import annotations

import time
from typing import Any

import anyio
import h11
import pytest

from vaneturn_core.identifiers import RequestId
from vaneturn_node.http1 import pool as pool_module
from vaneturn_node.http1.connection import MAX_REQUESTS, Connection, ConnectionInUseError, RequestRepeatedError
from vaneturn_node.http1.link import HttpLink
from vaneturn_node.http1.pool import LinkPool

pytestmark = pytest.mark.anyio

ADDRESS = "127.0.0.1:1"
SWEEP_S = 0.01


class IdleConnection(Connection):
    """An idle connection; closing it takes a moment."""

    def __init__(self, *, is_open: bool) -> None:
        super().__init__(Any)  # type: ignore[arg-type] # has no stream
        self._is_open = is_open

    def is_fresh(self, now: float, max_idle: float) -> bool:
        assert now <= time.monotonic() + max_idle
        return self._is_open

    async def abort(self) -> None:
        await anyio.sleep(5 * SWEEP_S)


async def test_connection_is_handed_out_once_though_the_pool_is_swept_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two requests got the same connection; one was shut with a protocol error."""
    monkeypatch.setattr(pool_module, "SWEEP_INTERVAL_S", SWEEP_S)
    pool = LinkPool()
    pool._idle[ADDRESS] += [IdleConnection(is_open=is_open) for is_open in (True, False, False)]
    taken: list[Any] = []

    async def take() -> None:
        taken.append(await pool.take_idle(ADDRESS))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pool.run)
        tasks.start_soon(take)
        await anyio.sleep(3 * SWEEP_S)
        await take()
        await anyio.sleep(20 * SWEEP_S)
        tasks.cancel_scope.cancel()
    assert len([link for link in taken if link is not None]) == 1


async def test_connection_in_use_is_neither_handed_out_nor_closed_by_the_pool(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its exchange would be ended by the next one, or by the sweep."""
    monkeypatch.setattr(pool_module, "SWEEP_INTERVAL_S", SWEEP_S)
    pool = LinkPool()
    used = IdleConnection(is_open=False)
    link = HttpLink(used)
    pool._idle[ADDRESS] += [used, used]
    assert await pool.take_idle(ADDRESS) is None
    assert pool.conflicts == 2
    pool._idle[ADDRESS].append(used)
    aborted: list[Connection] = []
    monkeypatch.setattr(used, "abort", lambda: aborted.append(used))
    with anyio.move_on_after(5 * SWEEP_S):
        await pool.run()
    assert (pool.conflicts, aborted) == (3, [])
    assert used.is_used_by(link)


async def test_exchange_that_gave_its_connection_back_does_not_close_it() -> None:
    connection = IdleConnection(is_open=True)
    first = HttpLink(connection)
    connection._user = None  # as after the end of its answer
    second = HttpLink(connection)
    await first.abort()
    assert not first.finish()
    assert connection.is_used_by(second)
    with pytest.raises(ConnectionInUseError):
        HttpLink(connection)
    assert connection.is_used_by(second)


async def test_connection_that_has_carried_a_request_is_not_taken_for_it_again() -> None:
    """A surplus answer to its first send would be taken for that to the second."""
    pool = LinkPool()
    older, newest = (IdleConnection(is_open=True) for _ in range(2))
    pool._idle[ADDRESS] += [older, newest]
    newest.record_request(RequestId("refused"))
    link = await pool.take_idle(ADDRESS, request=RequestId("refused"))
    assert link is not None
    assert link.connection is older
    older.record_request(RequestId("refused"))
    with pytest.raises(RequestRepeatedError):
        older.record_request(RequestId("refused"))
    assert await pool.take_idle(ADDRESS, request=RequestId("refused")) is None
    other = await pool.take_idle(ADDRESS, request=RequestId("another"))
    assert other is not None
    assert other.connection is newest


async def test_connection_is_not_kept_after_its_last_request() -> None:
    """It keeps a digest of each request that it has carried."""
    connection = IdleConnection(is_open=True)
    for number in range(MAX_REQUESTS):
        connection.record_request(RequestId(f"r-{number}"))
    link = HttpLink(connection)
    connection.protocol.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    connection.protocol.send(h11.EndOfMessage())
    connection.protocol.receive_data(b"HTTP/1.1 204 No Content\r\n\r\n")
    assert isinstance(connection.protocol.next_event(), h11.Response)
    assert isinstance(connection.protocol.next_event(), h11.EndOfMessage)
    assert not link.finish()
