"""A request counts against a rest from when it has reached its server, also while that server is silent."""

from __future__ import annotations

import time

import anyio
import httpx
import pytest

from rig.ports import find_port
from standins.platform.servers import open_fleet

pytestmark = pytest.mark.anyio

FREEZE_S = 0.5


async def test_request_at_a_frozen_server_has_arrived_before_the_server_goes_on() -> None:
    """It counted from when the server went on, over half a second after its node had been asked for rest."""
    async with open_fleet(f"127.0.0.1:{find_port()}") as fleet, httpx.AsyncClient(timeout=5.0) as client:
        server = await fleet.add(f"127.0.0.1:{find_port()}", "desk", "east", None)
        server.freeze()

        async def ask() -> None:
            await client.post(f"http://{server.address}/check/1", headers={"X-Request-Id": "r-1"}, content=b"letter")

        async with anyio.create_task_group() as tasks:
            asked_at = time.monotonic()
            tasks.start_soon(ask)
            await anyio.sleep(FREEZE_S)
            thawed_at = time.monotonic()
            server.thaw()
        arrivals = fleet.record.arrivals
    assert [arrival.server for arrival in arrivals] == [server.id]
    assert asked_at <= arrivals[0].at < thawed_at
