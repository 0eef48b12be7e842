"""Accepts the connections of callers and operators, and serves each with hypercorn."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
from typing import Any, ClassVar, Final, cast

import anyio
import h2.frame_buffer
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app
from starlette.types import ASGIApp

from vaneturn_core.settings import NodeSettings
from vaneturn_node.http.connections import CONNECTION_KEY, Connections
from vaneturn_node.machine import compute_connection_limit

READ_BYTES: Final = 1 << 14  # at once from a socket
READ_BUFFER_BYTES: Final = 1 << 13  # reading from a socket pauses at twice as many bytes that were not parsed yet
MAX_HEAD_BYTES: Final = 1 << 14
MAX_HEAD_FRAMES: Final = 6  # of HTTP/2, of at most 16 KiB each, so that a connection takes what is counted for it
MAX_QUEUED_PARTS: Final = 1  # of a body, parsed before the application takes them
MAX_STREAMS: Final = 100  # of an HTTP/2 connection
KEEP_ALIVE_S: Final = 75.0  # for a connection without a request, and for the arrival of a head
HANDSHAKE_TIMEOUT_S: Final = 10.0
STOP_TIMEOUT_S: Final = 2.0  # for connections to end at a stop
ACCEPT_RETRY_S: Final = 0.1  # after an error, as when the process has no descriptor left

logger = logging.getLogger(__name__)


class Listener:
    """Serves an application on the address of the settings, with a limit of connections."""

    def __init__(self, app: ASGIApp, settings: NodeSettings) -> None:
        self._app = wrap_app(cast("Any", app), 0, "asgi")
        self._config = make_config(settings)
        self._connections = Connections(compute_connection_limit(settings.memory_mb, settings.max_connections))
        self._context = WorkerContext(None)
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, stopped: anyio.Event) -> None:
        """Serve until stopped, then give connections STOP_TIMEOUT_S to end."""
        sockets = self._config.create_sockets()
        tls = self._config.create_ssl_context() if self._config.ssl_enabled else None
        async with anyio.create_task_group() as tasks:
            for listening in (*sockets.secure_sockets, *sockets.insecure_sockets):
                listening.listen(self._config.backlog)
                listening.setblocking(False)  # noqa: FBT003 # the only form of the call
                tasks.start_soon(self._accept, listening, tls)
            await stopped.wait()
            tasks.cancel_scope.cancel()
        for listening in (*sockets.secure_sockets, *sockets.insecure_sockets):
            listening.close()
        await self._context.terminated.set()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=STOP_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()

    async def _accept(self, listening: socket.socket, tls: ssl.SSLContext | None) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = await loop.sock_accept(listening)
            except OSError as error:
                logger.warning("connection not accepted", extra={"cause": repr(error)})
                await anyio.sleep(ACCEPT_RETRY_S)
                continue
            task = loop.create_task(self._serve_connection(accepted, tls))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve_connection(self, accepted: socket.socket, tls: ssl.SSLContext | None) -> None:
        task = asyncio.current_task()
        if task is None:
            raise AssertionError("a connection needs a task")
        transport: asyncio.WriteTransport | None = None

        def abort() -> None:
            task.cancel()
            if transport is not None:
                transport.abort()

        connection = self._connections.open(abort)
        if connection is None:
            accepted.close()
            return
        try:
            reader, writer = await _open_streams(accepted, tls)
            transport = writer.transport
            state = cast("Any", {CONNECTION_KEY: connection})
            loop = asyncio.get_running_loop()
            await TCPServer(self._app, loop, self._config, self._context, state, reader, writer)
        except OSError as error:  # a failed TLS handshake is one
            logger.info("connection failed", extra={"cause": repr(error)})
        except Exception:
            logger.exception("connection ended by an error")
        finally:
            self._connections.remove(connection)
            if transport is not None:
                transport.abort()
            else:
                accepted.close()


class _BoundedProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Reads few bytes at once, where the event loop would read as many as there are."""

    _buffer: ClassVar = bytearray(READ_BYTES)  # shared: the loop fills it right before it calls buffer_updated()

    def __init__(self, reader: asyncio.StreamReader) -> None:
        super().__init__(reader)
        self._read_into = reader

    def get_buffer(self, sizehint: int) -> bytearray:  # noqa: ARG002 # the loop's interface
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._read_into.feed_data(self._buffer[:nbytes])


async def _open_streams(
    accepted: socket.socket, tls: ssl.SSLContext | None
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    accepted.setblocking(False)  # noqa: FBT003 # the only form of the call
    accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=READ_BUFFER_BYTES, loop=loop)
    protocol = _BoundedProtocol(reader)
    timeout = HANDSHAKE_TIMEOUT_S if tls is not None else None
    transport, _ = await loop.connect_accepted_socket(
        lambda: protocol, accepted, ssl=tls, ssl_handshake_timeout=timeout
    )
    return reader, asyncio.StreamWriter(cast("asyncio.WriteTransport", transport), protocol, reader, loop)


def make_config(settings: NodeSettings) -> Config:
    """Make hypercorn's configuration."""
    h2.frame_buffer.CONTINUATION_BACKLOG = MAX_HEAD_FRAMES  # the library, which hypercorn uses, has no setting for it
    config = Config()
    config.bind = [settings.http_address]
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    config.h2_max_concurrent_streams = MAX_STREAMS
    config.h2_max_header_list_size = MAX_HEAD_BYTES
    config.max_app_queue_size = MAX_QUEUED_PARTS
    if settings.tls is not None:
        config.certfile = settings.tls.certificate
        config.keyfile = settings.tls.key
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    return config


__all__ = ["Listener"]
