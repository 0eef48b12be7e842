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
from vaneturn_node.traffic.servers.connectivity import Connectivity

ROUND_INTERVAL_S: Final = 0.3
# How long the set of servers must be unchanged before the first plan, and before a server becomes a spare.
# Servers appear one after another, and in a release each new one appears a second before the old one leaves.
SETTLE_TIME_S: Final = 1.3
LOAD_TIMEOUT_S: Final = 20.0  # after it an order without visible effect is repeated
MOVE_INTERVAL_S: Final = 4.0  # so that the effect of one move shows before the next
RETRY_DELAY_S: Final = 0.7  # after an order or a call for a report that failed

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _PendingOrder:
    """An order, or the delay after a failed one. It ends when the list shows the layers, or when it expires."""

    layers: LayerRange
    expires_at: float


class Placer:
    """Plans and sends orders in one task; each round plans from scratch, based on the current list of servers."""

    def __init__(self, tenure: Tenure, view: PlatformView, calls: ServerCalls, connectivity: Connectivity) -> None:
        self._connectivity = connectivity
        self._tenure = tenure
        self._view = view
        self._calls = calls
        self._pending: dict[ServerId, _PendingOrder] = {}
        self._server_ids: frozenset[ServerId] = frozenset()
        self._servers_changed_at = read_clock()
        self._moved_at = float("-inf")

    async def run(self) -> None:
        """Plan and send orders until cancelled."""
        while True:
            await anyio.sleep(ROUND_INTERVAL_S)
            if not self._tenure.is_valid() or self._view.configuration is None:
                self._pending.clear()
                continue
            if any(self._connectivity.is_confirmed_lost(name) for name in self._view.configuration.list_engines()):
                logger.warning("tenure given up, as no server can be reached")
                await self._tenure.step_down()
                continue
            for service in self._view.configuration.services.values():
                if service.engine is not None:
                    await self._run_round(service.engine, self._view.list_servers(service.name))

    async def _run_round(self, engine: EngineProfile, servers: list[BackendServer]) -> None:
        now = read_clock()
        server_ids = frozenset(server.id for server in servers)
        if server_ids != self._server_ids:
            self._server_ids = server_ids
            self._servers_changed_at = now
        self._drop_finished(servers, now)
        projected = [self._apply_pending(server) for server in servers]
        is_settled = now - self._servers_changed_at >= SETTLE_TIME_S
        has_layers = any(server.layers for server in projected)
        planner = LayoutPlanner(engine, projected)
        placements = planner.plan_empty(takes_spare=is_settled) if is_settled or has_layers else []
        if placements:
            await self._send_orders(placements)
            return
        if self._pending or now - self._moved_at < MOVE_INTERVAL_S or not is_settled:
            return
        move = planner.plan_move()
        placements = planner.plan_repair() or ([move] if move is not None else [])
        if placements:
            self._moved_at = now
            await self._send_orders(placements)

    def _drop_finished(self, servers: list[BackendServer], now: float) -> None:
        """Drop orders that took effect, that expired, or whose server is no longer listed."""
        held_layers = {server.id: server.layers for server in servers}
        for server, pending in list(self._pending.items()):
            if server not in held_layers or pending.layers in held_layers[server] or pending.expires_at <= now:
                del self._pending[server]

    def _apply_pending(self, server: BackendServer) -> BackendServer:
        """Return the server as it will be once its pending order has taken effect."""
        pending = self._pending.get(server.id)
        if pending is None:
            return server
        return dataclasses.replace(server, layers=(pending.layers,))

    async def _send_orders(self, placements: list[Placement]) -> None:
        async with anyio.create_task_group() as tasks:
            for placement in placements:
                tasks.start_soon(self._send_order, placement)

    async def _send_order(self, placement: Placement) -> None:
        """Send one order that is bound to the number of orders the server has begun: a delayed one is rejected."""
        server = placement.server
        report = await self._calls.read_report(server)
        if isinstance(report, Failed):
            logger.info("report of server not available", extra={"server": server.id, "cause": report.cause})
            await self._connectivity.check(server.service, read_clock())
            self._set_pending(placement, RETRY_DELAY_S)
            return
        if report.is_loading or placement.layers in report.layers:
            self._set_pending(placement, LOAD_TIMEOUT_S)
            return
        if not self._tenure.is_valid():
            return
        fence = self._tenure.fence
        outcome = await self._calls.place(server, placement.layers, fence, report.orders_begun)
        extra = {
            "server": server.id,
            "layers": [placement.layers.first, placement.layers.end],
            "held": [[layers.first, layers.end] for layers in report.layers],
            "orders": report.orders_begun,
            "fence": fence,
            "outcome": outcome.value,
        }
        logger.info("server ordered", extra=extra)
        if outcome is OrderOutcome.FENCED:
            self._tenure.note_fenced()
        self._set_pending(placement, LOAD_TIMEOUT_S if outcome is OrderOutcome.TAKEN else RETRY_DELAY_S)

    def _set_pending(self, placement: Placement, seconds: float) -> None:
        self._pending[placement.server.id] = _PendingOrder(placement.layers, read_clock() + seconds)


__all__ = ["Placer"]
