"""The links of a node, each run by its own task, updated with the configuration."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import anyio
from anyio.abc import TaskGroup

from vaneturn_core.configuration.schema import Configuration, Server
from vaneturn_core.identifiers import VmId
from vaneturn_core.placing.parts import Holdings
from vaneturn_core.routing.health import ServerHealths
from vaneturn_node.metrics import Metrics
from vaneturn_node.stages.link import StageLink


class LinkPool:
    """Starts a link for each server in a stage of a pipeline, and stops links to other servers."""

    def __init__(self, tasks: TaskGroup, healths: ServerHealths, metrics: Metrics) -> None:
        self._tasks = tasks
        self._healths = healths
        self._metrics = metrics
        self._links: dict[VmId, StageLink] = {}
        self._scopes: dict[VmId, anyio.CancelScope] = {}
        self._listeners: list[Callable[[], None]] = []
        self._holdings_reported = anyio.Event()

    def on_holdings(self, listener: Callable[[], None]) -> None:
        """Call the listener when an engine reports its holdings."""
        self._listeners.append(listener)

    def list_holdings(self) -> Mapping[VmId, Holdings]:
        """List the holdings of the engines that have reported them."""
        known = ((vm, link.holding.holdings) for vm, link in self._links.items())
        return {vm: holdings for vm, holdings in known if holdings is not None}

    def __getitem__(self, vm: VmId) -> StageLink | None:
        return self._links.get(vm)

    def list_down(self) -> frozenset[VmId]:
        """List the servers whose link is not connected."""
        return frozenset(vm for vm, link in self._links.items() if not link.is_connected)

    def list_unresponsive(self) -> frozenset[VmId]:
        """List the servers that have not answered an order in time."""
        return frozenset(vm for vm, link in self._links.items() if link.holding.is_unresponsive)

    def follow(self, configuration: Configuration) -> None:
        """Start and stop links after a change of configuration."""
        used = {stage.vm for pipeline in configuration.pipelines for stage in pipeline.stages}
        wanted = {server.vm: server for server in configuration.servers if server.vm in used}
        for vm in [vm for vm, link in self._links.items() if wanted.get(vm) != link.server]:
            self._scopes.pop(vm).cancel()
            del self._links[vm]
        for vm, server in wanted.items():
            if vm not in self._links:
                self._start(server)

    def _start(self, server: Server) -> None:
        link = StageLink(server, self._healths, self._metrics, lambda: len(self.list_down()), self._notify)
        scope = anyio.CancelScope()
        self._links[server.vm] = link
        self._scopes[server.vm] = scope
        self._tasks.start_soon(_run_link, scope, link)

    async def wait_holdings(self) -> None:
        """Wait until an engine has reported its holdings, which shows that it accepts orders."""
        await self._holdings_reported.wait()

    def _notify(self) -> None:
        self._holdings_reported.set()
        for listener in self._listeners:
            listener()


async def _run_link(scope: anyio.CancelScope, link: StageLink) -> None:
    with scope:
        await link.run()


__all__ = ["LinkPool"]
