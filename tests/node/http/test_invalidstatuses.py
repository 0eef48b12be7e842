"""The client for plain services takes no answer whose status line is not one of the protocol."""

from __future__ import annotations

import anyio
import httpx
import pytest
from anyio.abc import SocketStream

from rig.ports import find_port
from vaneturn_node.http.serviceanswers import make_transport

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("status", ["000", "099", "0200", "2000", "20", "abc"])
async def test_status_that_is_none_is_a_failure(status: str) -> None:
    async def answer(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(f"HTTP/1.1 {status} Odd\r\nContent-Length: 5\r\n\r\nwrong".encode())

    port = find_port()
    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port) as listener,
        anyio.create_task_group() as tasks,
        httpx.AsyncClient(transport=make_transport(httpx.Limits())) as client,
    ):
        tasks.start_soon(listener.serve, answer)
        with pytest.raises(httpx.RemoteProtocolError):
            await client.get(f"http://127.0.0.1:{port}/cases/1")
        tasks.cancel_scope.cancel()
