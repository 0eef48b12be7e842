"""Listens for TCP connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup

from vaneturn_node.http1.tcp import TcpStream


async def listen(
    host: str, port: int, serve: Callable[[TcpStream], Coroutine[Any, Any, None]], tasks: TaskGroup, backlog: int
) -> asyncio.Server:
    """Listen on an IP address; serve each connection in a task of its own until the server or the group is closed.

    :param backlog: number of connections that may wait to be accepted.
    """
    server = await asyncio.get_running_loop().create_server(
        lambda: TcpStream(lambda stream: tasks.start_soon(serve, stream)), host, port, backlog=backlog
    )
    tasks.start_soon(_close_at_end, server)
    return server


async def _close_at_end(server: asyncio.Server) -> None:
    """Close a server when its task group is cancelled, as connections need the group."""
    try:
        await anyio.sleep_forever()
    finally:
        server.close()


__all__ = ["listen"]
