"""Bounds what one request may cost the process: its bytes, the work for small parts, and an unread rest of its body."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

import anyio
from starlette.requests import Request
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from vaneturn_core.outcomes import NotRun, Reason
from vaneturn_node.bytebudget import RETRY_AFTER_S, BudgetUsedUpError, ByteBudget, ByteHolder
from vaneturn_node.http.connections import CONNECTION_KEY, Connection
from vaneturn_node.http.errors import answer_error
from vaneturn_node.http.refusing import RefusedRequest

SMALL_PART_BYTES: Final = 256  # average size of a body's parts below which its parts count as small
MIN_SMALL_PARTS: Final = 1024  # of a body, before they count as small
MAX_SMALL_SENDERS: Final = 16  # bodies in small parts that arrive at the same time
MAX_TURNS: Final = 2  # bodies in small parts of which a part is parsed at the same time
TURN_S: Final = 0.005  # longest wait for a part that keeps a turn
LINGER_S: Final = 1.0  # for a client to read its answer, while the rest of its body is discarded
REQUEST_BYTES: Final = 16_384  # of the objects of a request and of its answer
HEADER_BYTES: Final = 200  # of the objects of a header
MAX_HEADERS: Final = 128
NO_MEMORY: Final = RefusedRequest(
    NotRun(Reason.OVERLOAD, retry_after=RETRY_AFTER_S), "this node holds too many bytes of requests"
)
_TOO_MANY_HEADERS: Final = RefusedRequest(
    NotRun(Reason.TOO_MANY_HEADERS), f"the request has more than {MAX_HEADERS} headers"
)
BOUNDS_KEY: Final = "bounds"  # of a request's state


@dataclass
class Work:
    """The work for bodies in small parts, shared by all requests of the process."""

    turns: anyio.Semaphore = field(default_factory=lambda: anyio.Semaphore(MAX_TURNS))
    senders: int = 0


class RequestBounds:
    """What one request holds and costs."""

    def __init__(self, budget: ByteBudget, work: Work, connection: Connection | None, receive: Receive) -> None:
        self._budget = budget
        self._work = work
        self._connection = connection
        self._receive = receive
        self.holder = budget.open()  # released when the request has ended
        self._answer_holders: list[ByteHolder] = []  # likewise
        self._parts = 0
        self._bytes = 0
        self._is_small = False
        self.is_arrived = False  # whether the whole body has arrived, or the client has left
        self._is_running = False
        self._head_size = 0

    def hold_head(self, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Hold the bytes of the head.

        :raises BudgetUsedUpError: there is no room for them.
        """
        self._head_size = REQUEST_BYTES + sum(HEADER_BYTES + len(name) + len(value) for name, value in headers)
        self.holder.grow(self._head_size)

    def hold_body(self, size: int) -> None:
        """Hold the bytes of the body besides the head.

        :raises BudgetUsedUpError: there is no room for them, or the holder was evicted.
        """
        self.holder.grow(self._head_size + size)

    def hold_sent_body(self, size: int) -> None:
        """Hold the bytes of the body once, as the copy that was sent to a server is gone."""
        self.holder.resize(self._head_size + size)

    def open_answer(self) -> ByteHolder:
        """Open a holder for an answer to the request."""
        holder = self._budget.open()
        self._answer_holders.append(holder)
        return holder

    async def receive(self) -> Message:
        """Receive the next part of the body.

        :raises BudgetUsedUpError: too many bodies arrive in small parts.
        """
        message = await self._receive_in_turn() if self._is_small else await self._receive()
        if message["type"] != "http.request":
            self.is_arrived = True
            return message
        self._parts += 1
        self._bytes += len(message.get("body", b""))
        if self._connection is not None:
            self._connection.touch()
        if message.get("more_body", False):
            self._check_size()
        else:
            self._record_arrival()
        return message

    async def _receive_in_turn(self) -> Message:
        async with self._work.turns:
            with anyio.move_on_after(TURN_S):
                return await self._receive()
        return await self._receive()

    def _check_size(self) -> None:
        if self._is_small or self._parts < MIN_SMALL_PARTS or self._bytes >= self._parts * SMALL_PART_BYTES:
            return
        if self._work.senders >= MAX_SMALL_SENDERS:
            raise BudgetUsedUpError
        self._work.senders += 1
        self._is_small = True

    def _record_arrival(self) -> None:
        self.is_arrived = True
        self._leave_work()
        if self._connection is not None:
            self._connection.begin_running()
            self._is_running = True

    def _leave_work(self) -> None:
        if self._is_small:
            self._work.senders -= 1
            self._is_small = False

    async def discard_rest(self) -> None:
        """Receive the rest of the body and drop it."""
        while not self.is_arrived:
            try:
                await self.receive()
            except BudgetUsedUpError:
                return

    async def discard_all(self) -> None:
        """Drop whatever arrives, so that hypercorn never waits for the application."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def close(self) -> None:
        """Release everything when the request has ended."""
        self._leave_work()
        self.holder.release()
        for holder in self._answer_holders:
            holder.release()
        if self._connection is not None and self._is_running:
            self._connection.end_running()


class BoundedRequests:
    """The application with these bounds for each request."""

    def __init__(self, app: ASGIApp, budget: ByteBudget) -> None:
        self._app = app
        self._budget = budget
        self._work = Work()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run one request."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        state = scope.setdefault("state", {})
        bounds = state[BOUNDS_KEY] = RequestBounds(self._budget, self._work, state.get(CONNECTION_KEY), receive)

        async def send_bounded(message: Message) -> None:
            if message["type"] != "http.response.body" or message.get("more_body", False) or bounds.is_arrived:
                await send(message)
                return
            await send({**message, "more_body": True})
            with anyio.move_on_after(LINGER_S):
                await bounds.discard_rest()
            await _end(bounds, send)

        refusal = _check_head(bounds, scope["headers"])
        if refusal is not None:
            scope["headers"] = []  # frees them while the client reads the answer
        app = self._app if refusal is None else answer_error(refusal.outcome, refusal.message)
        try:
            await app(scope, bounds.receive, send_bounded)
        finally:
            bounds.close()


def _check_head(bounds: RequestBounds, headers: Sequence[tuple[bytes, bytes]]) -> RefusedRequest | None:
    if len(headers) > MAX_HEADERS:
        return _TOO_MANY_HEADERS
    try:
        bounds.hold_head(headers)
    except BudgetUsedUpError:
        return NO_MEMORY
    return None


async def _end(bounds: RequestBounds, send: Send) -> None:
    """End an answer whose request may go on arriving; hypercorn then closes the connection."""
    async with anyio.create_task_group() as tasks:
        if not bounds.is_arrived:
            tasks.start_soon(bounds.discard_all)
        await send({"type": "http.response.body", "body": b"", "more_body": False})
        tasks.cancel_scope.cancel()


def find_bounds(request: Request) -> RequestBounds:
    """Find the bounds of a request."""
    bounds: RequestBounds = getattr(request.state, BOUNDS_KEY)
    return bounds


__all__ = ["NO_MEMORY", "BoundedRequests", "RequestBounds", "find_bounds"]
