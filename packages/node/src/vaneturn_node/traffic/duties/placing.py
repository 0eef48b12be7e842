"""Assigns layers to backend servers while this node holds the tenure."""

from __future__ import annotations

import dataclasses
import logging
from dataclasses import dataclass
from typing import Final

import anyio

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.layout import LayoutPlanner, Placement
from vaneturn_core.traffic.servers import BackendServer, LayerRange, ServerId
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Failed
from vaneturn_node.platform.servers import OrderOutcome, ServerCalls
from vaneturn_node.traffic.duties.tenure import Tenure

ROUND: Final = 0.3
# How long the set of servers must be unchanged before the first plan, and before a server becomes a spare.
# Servers appear one after another, and in a release each new one appears a second before the old one leaves.
SETTLE_TIME: Final = 1.3
LOAD_WAIT: Final = 20.0  # after it an order without visible effect is repeated
MOVE_INTERVAL: Final = 4.0  # so that the effect of one move shows before the next
RETRY_AFTER_SILENCE: Final = 0.7  # after an order or a call for a report that failed

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Pending:
    """An order, or the delay after a failed one. It ends when the list shows the layers, or when it expires."""

    layers: LayerRange
    until: float


class Placer:
    """Plans each round from scratch, based on the current list of servers, and sends the orders."""

    def __init__(self, tenure: Tenure, view: PlatformView, calls: ServerCalls) -> None:
        self._tenure = tenure
        self._view = view
        self._calls = calls
        self._pending: dict[ServerId, _Pending] = {}
        self._known: frozenset[ServerId] = frozenset()
        self._changed_at = read_clock()
        self._moved_at = float("-inf")

    async def run(self) -> None:
        """Plan and send orders until cancelled."""
        while True:
            await anyio.sleep(ROUND)
            if not self._tenure.is_sure() or self._view.configuration is None:
                self._pending.clear()
                continue
            for service in self._view.configuration.services.values():
                if service.engine is not None:
                    await self._run_round(service.engine, self._view.list_servers(service.name))

    async def _run_round(self, engine: EngineProfile, servers: list[BackendServer]) -> None:
        now = read_clock()
        known = frozenset(server.id for server in servers)
        if known != self._known:
            self._known = known
            self._changed_at = now
        self._drop_settled(servers, now)
        planned = [self._imagine(server) for server in servers]
        is_settled = now - self._changed_at >= SETTLE_TIME
        is_begun = any(server.layers for server in planned)
        planner = LayoutPlanner(engine, planned)
        placements = planner.plan_empty(takes_spare=is_settled) if is_settled or is_begun else []
        if placements:
            await self._order_all(placements)
            return
        if self._pending or now - self._moved_at < MOVE_INTERVAL or not is_settled:
            return
        move = planner.plan_move()
        placements = planner.plan_repair() or ([move] if move is not None else [])
        if placements:
            self._moved_at = now
            await self._order_all(placements)

    def _drop_settled(self, servers: list[BackendServer], now: float) -> None:
        """Drop orders that took effect, that expired, or whose server is no longer listed."""
        held = {server.id: server.layers for server in servers}
        for server, pending in list(self._pending.items()):
            if server not in held or pending.layers in held[server] or pending.until <= now:
                del self._pending[server]

    def _imagine(self, server: BackendServer) -> BackendServer:
        """Return the server as it will be once its pending order has taken effect."""
        pending = self._pending.get(server.id)
        if pending is None:
            return server
        return dataclasses.replace(server, layers=(pending.layers,))

    async def _order_all(self, placements: list[Placement]) -> None:
        async with anyio.create_task_group() as tasks:
            for placement in placements:
                tasks.start_soon(self._order, placement)

    async def _order(self, placement: Placement) -> None:
        """Send one order, on condition of the number of orders that the server has begun: a late one is rejected."""
        server = placement.server
        report = await self._calls.read_report(server)
        if isinstance(report, Failed):
            logger.info("report of server not available", extra={"server": server.id, "cause": report.cause})
            self._wait(placement, RETRY_AFTER_SILENCE)
            return
        if report.is_loading or placement.layers in report.layers:
            self._wait(placement, LOAD_WAIT)
            return
        if not self._tenure.is_sure():
            return
        fence = self._tenure.fence
        outcome = await self._calls.place(server, placement.layers, fence, report.orders)
        extra = {
            "server": server.id,
            "layers": [placement.layers.first, placement.layers.end],
            "held": [[layers.first, layers.end] for layers in report.layers],
            "orders": report.orders,
            "fence": fence,
            "outcome": outcome.value,
        }
        logger.info("server ordered", extra=extra)
        if outcome is OrderOutcome.FENCED:
            self._tenure.note_fenced()
        self._wait(placement, LOAD_WAIT if outcome is OrderOutcome.TAKEN else RETRY_AFTER_SILENCE)

    def _wait(self, placement: Placement, seconds: float) -> None:
        self._pending[placement.server.id] = _Pending(placement.layers, read_clock() + seconds)


__all__ = ["Placer"]
