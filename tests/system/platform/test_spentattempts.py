"""A begun stream whose attempts are spent waits for a server that ran it, for as long as its client waits."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import anyio
import pytest

from rig.faults import Fault, break_off, set_faults
from rig.traffic import Traffic, list_ids
from standins.platform.servers import Run, Server
from standins.platform.wire import Exchange
from system.platform.test_attempts import HALLS, MAX_ATTEMPTS, list_servers

pytestmark = pytest.mark.anyio

EVENTS = 10  # of an answer
DEADLINE_MS = "9000"


class Outage(Enum):
    """What a server does with calls for a while."""

    SILENT = "silent"  # they wait until it goes on
    RESETTING = "resetting"  # it resets new connections
    LOSING = "losing"  # they are lost, and their connections stay silent

    def begin(self, server: Server) -> Callable[[], None]:
        """Begin the outage; return what ends it."""
        if self is Outage.SILENT:
            server.freeze()
            return server.thaw
        if self is Outage.LOSING:
            server.is_unresponsive = True
            return lambda: setattr(server, "is_unresponsive", False)
        server.max_connections = 0
        return lambda: setattr(server, "max_connections", None)


def cut_with_outage(traffic: Traffic, events: int, outage: Outage, duration_s: float) -> Fault:
    """Send some events, reset the connection, and take no calls for a while."""
    cut = break_off(events)

    async def recover(end_outage: Callable[[], None]) -> None:
        await anyio.sleep(duration_s)
        end_outage()

    async def fail(exchange: Exchange, run: Run) -> None:
        server = next(each for each in traffic.fleet.servers.values() if each.id == run.server)
        traffic.fleet.tasks.start_soon(recover, outage.begin(server))
        await cut(exchange, run)

    return fail


async def require_whole(traffic: Traffic, request: str) -> None:
    answer = await traffic.ask("/letter/1", X_Deadline_Ms=DEADLINE_MS, X_Request_Id=request)
    steps = (await traffic.nodes[0].wait_for_log(request))["steps"]
    assert list_ids(answer.text) == list(range(1, EVENTS + 1)), steps
    assert len(list_servers(traffic, request)) <= MAX_ATTEMPTS, steps


@pytest.mark.parametrize("duration_s", [1.3, 2.5])
@pytest.mark.parametrize("outage", Outage)
async def test_stream_is_whole_when_a_server_that_counts_comes_back(
    traffic: Traffic, outage: Outage, duration_s: float
) -> None:
    """It was broken off after a second, though its client waited on."""
    await traffic.add_chains(HALLS, per_hall=4)
    set_faults(traffic, *[cut_with_outage(traffic, events, outage, duration_s) for events in (4, 2)])
    await require_whole(traffic, "back")


@pytest.mark.parametrize("duration_s", [1.3, 2.5])
@pytest.mark.parametrize("outage", Outage)
async def test_stream_that_lost_only_its_end_is_whole_when_its_server_comes_back(
    traffic: Traffic, outage: Outage, duration_s: float
) -> None:
    await traffic.add_chains(HALLS, per_hall=4)
    set_faults(traffic, cut_with_outage(traffic, EVENTS, outage, duration_s))
    await require_whole(traffic, "end")


async def test_stream_whose_servers_lose_it_again_and_again_is_whole_while_each_relays_events(traffic: Traffic) -> None:
    """It was broken off after five sends, though each of them had brought it further."""
    await traffic.add_chains(per_hall=4)
    set_faults(traffic, *[break_off(1)] * 7)
    answer = await traffic.ask("/letter/1", X_Request_Id="advancing", X_Deadline_Ms="9000")
    steps = (await traffic.nodes[0].wait_for_log("advancing"))["steps"]
    assert list_ids(answer.text) == list(range(1, EVENTS + 1)), steps
    assert len({run.server for run in traffic.fleet.runs}) <= MAX_ATTEMPTS, steps
