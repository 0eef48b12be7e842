"""The addresses at which a node listens: for clients, readiness checks, operators and other nodes."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Final

from anyio.abc import TaskGroup

from vaneturn_core.traffic.configuration import ClientLimits
from vaneturn_core.traffic.settings import TrafficSettings
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.errors import Supervisor, UnexpectedErrors
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.http1.connectiontable import ConnectionTable, TableFullError
from vaneturn_node.http1.listener import listen
from vaneturn_node.http1.messages import Headers
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.http1.server import ClientConnection, Handler
from vaneturn_node.http1.tcp import TcpStream
from vaneturn_node.traffic.process.inspection import OperatorHandler
from vaneturn_node.traffic.process.limits import ProcessLimits
from vaneturn_node.traffic.process.stopping import Lifecycle
from vaneturn_node.traffic.serving.answering import RequestHandler
from vaneturn_node.traffic.serving.answermarks import mark_unread
from vaneturn_node.traffic.serving.forwardedrequests import ForwardedRequestHandler
from vaneturn_node.traffic.sharing.changeserver import ChangeServer
from vaneturn_node.traffic.sharing.forwarding import FORWARDED_PATH

READINESS_PATH: Final = "/api/readyz"
BACKLOG: Final = 512  # connections waiting to be accepted
MAX_OWN_BODY_BYTES: Final = 4096  # of a request for readiness or metrics, none of which needs a body
MAX_FORWARDED_HEAD_BYTES: Final = 131_072  # of a request that a node forwards, besides its body


class Listeners:
    """Accepts connections and passes their requests to the handlers."""

    def __init__(
        self,
        *,
        settings: TrafficSettings,
        view: PlatformView,
        lifecycle: Lifecycle,
        clients: RequestHandler,
        forwarded: ForwardedRequestHandler,
        changes: ChangeServer,
        operators: OperatorHandler,
        errors: UnexpectedErrors,
        supervisor: Supervisor,
        limits: ProcessLimits,
    ) -> None:
        self._settings = settings
        self._view = view
        self._lifecycle = lifecycle
        self._clients = clients
        self._forwarded = forwarded
        self._changes = changes
        self._operators = operators
        self._errors = errors
        self._supervisor = supervisor
        self._limits = limits
        self._client_listener: asyncio.Server | None = None

    async def open(self, tasks: TaskGroup) -> None:
        """Listen at all addresses; serve each connection in a task of its own."""
        listeners: list[tuple[str, Callable[[TcpStream], Coroutine[Any, Any, None]]]] = [
            (self._settings.client_address, self._serve_client),
            (self._settings.readiness_address, self._serve_readiness),
            (self._settings.metrics_address, self._serve_metrics),
            (self._settings.peer_address, self._serve_peer),
        ]
        for address, serve in listeners:
            host, _, port = address.rpartition(":")
            listener = await listen(host, int(port), serve, tasks, BACKLOG)
            if address == self._settings.client_address:
                self._client_listener = listener

    def close_to_clients(self) -> bool:
        """Accept no more clients; return whether this call closed the listener."""
        if self._client_listener is None:
            return False
        self._client_listener.close()
        self._client_listener = None
        return True

    async def _serve_client(self, stream: TcpStream) -> None:
        await self._serve(stream, self._limits.clients, self._clients.handle)

    async def _serve_readiness(self, stream: TcpStream) -> None:
        await self._serve(stream, self._limits.readiness, self._answer_readiness, max_bytes=MAX_OWN_BODY_BYTES)

    async def _serve_metrics(self, stream: TcpStream) -> None:
        self._operators.in_progress = self._clients.in_progress
        await self._serve(stream, self._limits.metrics, self._operators.answer, max_bytes=MAX_OWN_BODY_BYTES)

    async def _serve_peer(self, stream: TcpStream) -> None:
        mark = partial(mark_unread, self._view)
        await self._serve(
            stream,
            self._limits.peers,
            self._answer_peer,
            extra_bytes=MAX_FORWARDED_HEAD_BYTES,
            list_unread_headers=mark,
        )

    async def _answer_peer(self, request: ClientRequest, answer: ClientAnswer) -> None:
        is_forwarded = request.path == FORWARDED_PATH
        await (self._forwarded if is_forwarded else self._changes).answer(request, answer)

    async def _serve(
        self,
        stream: TcpStream,
        table: ConnectionTable,
        handler: Handler,
        *,
        extra_bytes: int = 0,
        max_bytes: int | None = None,
        list_unread_headers: Callable[[], Headers] = tuple,
    ) -> None:
        """Serve a connection.

        :param extra_bytes: allowed in the body of a request beyond the limit for clients.
        :param max_bytes: limit of a body that is lower than the one for clients; None for no such limit.
        :param list_unread_headers: as for the connection.
        """

        def get_limits() -> ClientLimits:
            configuration = self._view.configuration
            limits = configuration.limits if configuration is not None else ClientLimits()
            body_bytes = limits.body_bytes + extra_bytes
            return dataclasses.replace(limits, body_bytes=min(body_bytes, max_bytes or body_bytes))

        try:
            slot = table.add(stream.peer_host, stream.close)
        except TableFullError:
            stream.close()
            return
        lifecycle = self._lifecycle
        connection = ClientConnection(
            stream,
            handler,
            get_limits,
            lifecycle.idle,
            resources=self._limits.resources,
            slot=slot,
            is_stopping=lambda: lifecycle.is_stopping,
            on_error=partial(self._errors.record, "connection"),
            list_unread_headers=list_unread_headers,
        )
        try:
            await connection.run()
        finally:
            slot.remove()

    async def _answer_readiness(self, request: ClientRequest, answer: ClientAnswer) -> None:
        is_serving = not self._lifecycle.is_stopping and self._view.is_ready() and self._supervisor.is_working()
        is_ready = request.path == READINESS_PATH and is_serving
        await answer.send_whole(200 if is_ready else 503, [], b"ready" if is_ready else b"not ready")


__all__ = ["Listeners"]
