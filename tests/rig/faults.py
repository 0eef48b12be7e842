"""Faulty answers of stand-in servers, one after the other."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from rig.traffic import Traffic
from standins.platform.servers import Run
from standins.platform.wire import Exchange

Fault = Callable[[Exchange, Run], Awaitable[None]]


def set_faults(traffic: Traffic, *faults: Fault) -> None:
    """Let the next runs end with faults, in this order; those after them are sound."""
    left = list(faults)

    async def fail(exchange: Exchange, run: Run) -> None:
        fault = left.pop(0)
        if not left:
            for server in traffic.fleet.servers.values():
                server.fault_handler = None
        await fault(exchange, run)

    for server in traffic.fleet.servers.values():
        server.fault_handler = fail


def break_off(events: int) -> Fault:
    """Send some events, then reset the connection."""

    async def fail(exchange: Exchange, run: Run) -> None:
        await exchange.begin(200, {"X-Request-Id": run.request, "X-Response-Seal": f"seal-{run.server}"})
        first = int(run.headers.get("last-event-id", "0")) + 1
        for number in range(first, first + events):
            await exchange.send(f"id: {number}\ndata: token {number} of {run.request}\n\n".encode())
        await exchange.reset()

    return fail


__all__ = ["Fault", "break_off", "set_faults"]
