"""The placer: orders engines to hold parts of pipelines, in rounds."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import anyio

from vaneturn_core.configuration.schema import Server
from vaneturn_core.engine.messages import Hold
from vaneturn_core.identifiers import Revision, VmId
from vaneturn_core.placing.parts import Holdings
from vaneturn_core.placing.plan import HoldOrder, plan_holdings
from vaneturn_core.routing.health import ServerHealths
from vaneturn_node.clock import read_clock
from vaneturn_node.configuration.inforce import ConfigurationInForce
from vaneturn_node.metrics import Metrics
from vaneturn_node.placing.tenure import Tenure
from vaneturn_node.stages.pool import LinkPool

ROUND_INTERVAL_S: Final = 0.5
ORDER_TIMEOUT_S: Final = 1.0  # for an order to reach its engine; the tenure must last that much longer

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class _PlanInputs:
    """The inputs of a plan."""

    revision: Revision
    reports: Mapping[VmId, Holdings]
    unusable: frozenset[VmId]
    unresponsive: frozenset[VmId]


class Placer:
    """Compares the reported holdings with the declared ones, and orders the difference while it has the tenure."""

    def __init__(
        self, tenure: Tenure, in_force: ConfigurationInForce, pool: LinkPool, healths: ServerHealths, metrics: Metrics
    ) -> None:
        self._tenure = tenure
        self._in_force = in_force
        self._pool = pool
        self._healths = healths
        self._metrics = metrics
        self._stuck: tuple[str, ...] = ()
        self._settled_inputs: _PlanInputs | None = None  # the last inputs that needed no orders

    async def run(self) -> None:
        """Run rounds until cancelled; the tenure is sought only once an engine has reported holdings."""
        await self._pool.wait_holdings()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tenure.run)
            while True:
                self._note_fences()
                if self._tenure.is_sure(ORDER_TIMEOUT_S):
                    self._order()
                await anyio.sleep(ROUND_INTERVAL_S)

    def _note_fences(self) -> None:
        for vm, holdings in self._pool.list_holdings().items():
            server = self._in_force.find_server(vm)
            if server is not None and server.checks_fence:
                self._tenure.note_fence(holdings.fence)

    def _order(self) -> None:
        """Run one round, without an await between the plan and the orders."""
        unusable = self._pool.list_down() | self._healths.list_leaving()
        inputs = _PlanInputs(
            self._in_force.revision, self._pool.list_holdings(), unusable, self._pool.list_unresponsive()
        )
        if inputs == self._settled_inputs:
            return
        plan = plan_holdings(self._in_force.view.configuration, inputs.reports, unusable, inputs.unresponsive)
        self._settled_inputs = None if plan.orders else inputs
        if plan.stuck != self._stuck:
            self._stuck = plan.stuck
            logger.warning("servers cannot change without taking the last replica", extra={"servers": plan.stuck})
        for order in plan.orders:
            server = self._in_force.find_server(order.vm)
            if server is not None and self._may_order(server):
                self._send(order)

    def _may_order(self, server: Server) -> bool:
        """Tell whether no order of the previous holder can reach the server after this one."""
        if not self._tenure.is_sure(ORDER_TIMEOUT_S):
            return False
        return server.checks_fence or read_clock() >= self._tenure.acquired_at + ORDER_TIMEOUT_S

    def _send(self, order: HoldOrder) -> None:
        link = self._pool[order.vm]
        if link is None or link.holding.has_pending_order:
            return
        link.order(Hold(self._tenure.fence, order.parts), lambda: self._tenure.is_sure(ORDER_TIMEOUT_S))
        self._metrics.orders.inc()
        parts = [str(part) for part in order.parts]
        logger.info("engine ordered", extra={"server": order.vm, "parts": parts, "fence": self._tenure.fence})


__all__ = ["ORDER_TIMEOUT_S", "ROUND_INTERVAL_S", "Placer"]
