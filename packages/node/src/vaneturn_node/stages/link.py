"""A multiplexed WebSocket to one model engine, shared by all answers of this node."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Final

import anyio
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from vaneturn_core.configuration.schema import Server
from vaneturn_core.decoding import MalformedError, decode_with
from vaneturn_core.engine.messages import (
    ENCODER,
    LINK_PATH,
    REPLY_DECODER,
    Done,
    Hold,
    Holdings,
    Leaving,
    Order,
    Refused,
    Reply,
    Step,
)
from vaneturn_core.routing.health import LeavingSource, ServerHealths
from vaneturn_core.routing.hops import Hop
from vaneturn_node.clock import read_clock
from vaneturn_node.metrics import Metrics
from vaneturn_node.stages.holding import Holding
from vaneturn_node.stages.steps import AwaitedStep, Lost, StepKey, StepResult, compute_step_key, is_matching_reply
from vaneturn_node.stages.window import StepWindow

CONNECT_TIMEOUT_S: Final = 1.0
MIN_BACKOFF_S: Final = 0.05  # between attempts to connect, doubled up to the maximum, with jitter
MAX_BACKOFF_S: Final = 2.0  # while few links are down
BACKOFF_PER_DOWN_LINK_S: Final = 0.25  # raises the maximum backoff, to bound retries after the loss of a data hall
PING_INTERVAL_S: Final = 20.0  # detects dead idle servers, as a dead server in use is detected by its steps
PING_TIMEOUT_S: Final = 5.0
MAX_FRAME_BYTES: Final = 64 << 20

logger = logging.getLogger(__name__)


class StageLink:
    """Sends orders in batches and dispatches each reply to the step that awaits it."""

    def __init__(
        self,
        server: Server,
        healths: ServerHealths,
        metrics: Metrics,
        count_down: Callable[[], int],
        on_holdings: Callable[[], None],
    ) -> None:
        """Create a link that is not connected yet.

        :param count_down: counts the links of this node that are down.
        :param on_holdings: called when the engine reports its holdings.
        """
        self.server = server
        self._count_down = count_down
        self._healths = healths
        self._metrics = metrics
        self._outgoing: list[Order] = []
        self._wake = anyio.Event()
        self._awaited: dict[StepKey, AwaitedStep] = {}
        self._connected = anyio.Event()
        self._on_holdings = on_holdings
        self.holding = Holding()
        self.window = StepWindow()

    def order(self, order: Hold, is_valid: Callable[[], bool]) -> None:
        """Order the engine to hold parts.

        :param is_valid: checked again right before the order is written.
        """
        if not self.is_connected:
            return
        self.holding.order(order, is_valid)
        self._wake.set()

    @property
    def is_connected(self) -> bool:
        """Whether orders can be sent now."""
        return self._connected.is_set()

    async def wait_connected(self) -> None:
        """Wait for the first connection or the next one."""
        await self._connected.wait()

    def send(self, order: Order) -> None:
        """Queue an order that has no reply; it is dropped when the link is down."""
        if not self.is_connected:
            return
        self._outgoing.append(order)
        self._wake.set()

    async def run_step(self, step: Step, hop: Hop, timeout: float) -> StepResult:  # noqa: ASYNC109 # an outcome, not an error
        """Run a step and wait for its reply.

        :param hop: the hop whose layers the reply must state.
        """
        await self.window.enter()
        try:
            return await self._run_in_window(step, hop, timeout)
        finally:
            self.window.leave()

    async def _run_in_window(self, step: Step, hop: Hop, timeout: float) -> StepResult:  # noqa: ASYNC109 # see above
        if not self.is_connected:
            return Lost(sent=False)
        key = compute_step_key(step)
        if key in self._awaited:
            raise AssertionError(f"step awaited twice: {key}")
        awaited = self._awaited[key] = AwaitedStep(step, hop, anyio.Event(), Lost(sent=True))
        health = self._healths[self.server.vm]
        health.in_progress += 1
        started = read_clock()
        try:
            self.send(step)
            with anyio.move_on_after(timeout):
                await awaited.done.wait()
        finally:
            del self._awaited[key]
            health.in_progress -= 1
        self._record_result(awaited.result, started, step.count)
        return awaited.result

    def _record_result(self, result: StepResult, started: float, positions: int) -> None:
        self._metrics.steps.labels(type(result).__name__.lower()).inc()
        if isinstance(result, Lost):
            self._healths.record_failure(self.server.vm, started)
            return
        self._healths.record_reply(self.server.vm, read_clock() - started, positions)

    async def run(self) -> None:
        """Keep the link connected until cancelled."""
        backoff = MIN_BACKOFF_S
        while True:
            try:
                uri = f"ws://{self.server.address}{LINK_PATH}"
                async with connect(
                    uri,
                    open_timeout=CONNECT_TIMEOUT_S,
                    max_size=MAX_FRAME_BYTES,
                    compression=None,
                    ping_interval=PING_INTERVAL_S,
                    ping_timeout=PING_TIMEOUT_S,
                ) as connection:
                    backoff = MIN_BACKOFF_S
                    await self._run_connection(connection)
            except* (OSError, TimeoutError, WebSocketException, MalformedError) as errors:
                logger.info("stage link down", extra={"server": self.server.vm, "cause": repr(errors.exceptions[0])})
            await anyio.sleep(random.uniform(backoff / 2, backoff))
            backoff = min(max(MAX_BACKOFF_S, BACKOFF_PER_DOWN_LINK_S * self._count_down()), backoff * 2)

    async def _run_connection(self, connection: ClientConnection) -> None:
        self._outgoing.clear()
        self.holding.forget_order()
        # A server that is still leaving announces it again right after the connection.
        self._healths.unmark_leaving(self.server.vm, LeavingSource.SERVER)
        self._connected.set()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, connection)
                await self._read(connection)
                tasks.cancel_scope.cancel()
        finally:
            self._connected = anyio.Event()
            self._end_awaited()

    async def _write(self, connection: ClientConnection) -> None:
        """Send all that was queued since the last frame as one frame."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            batch, self._outgoing = self._outgoing, []
            batch += self.holding.take_due_order()
            if not batch:
                continue
            try:
                await connection.send(ENCODER.encode(batch))
            except WebSocketException:
                return  # the reader ends with the same closed connection

    async def _read(self, connection: ClientConnection) -> None:
        async for frame in connection:
            data = frame if isinstance(frame, bytes) else frame.encode()
            for reply in decode_with(REPLY_DECODER, data):
                if not self._dispatch(reply):
                    return  # protocol error: close the connection

    def _dispatch(self, reply: Reply) -> bool:
        """Dispatch a reply to its step; false if the server violated the protocol."""
        if isinstance(reply, Leaving):
            self._healths.mark_leaving(self.server.vm, LeavingSource.SERVER)
            return True
        if isinstance(reply, Holdings):
            self.holding.record_report(reply)
            self._on_holdings()
            return True
        rebuild = isinstance(reply, Done) and reply.rebuild
        awaited = self._awaited.get((reply.session, reply.attempt, reply.position, rebuild))
        if awaited is None and isinstance(reply, Refused):
            awaited = self._awaited.get((reply.session, reply.attempt, reply.position, True))
        if awaited is None or awaited.done.is_set():
            self._metrics.dropped.labels("late").inc()
            return True
        if isinstance(reply, Done) and not is_matching_reply(reply, awaited):
            self._metrics.dropped.labels("mismatch").inc()
            logger.error("reply does not match the work of its step", extra={"server": self.server.vm})
            return False
        awaited.result = reply
        awaited.done.set()
        return True

    def _end_awaited(self) -> None:
        for awaited in self._awaited.values():
            awaited.done.set()


__all__ = ["Lost", "StageLink", "StepResult"]
