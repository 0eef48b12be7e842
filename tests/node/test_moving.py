"""Moving a hop of an answer that was resumed from another node."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from vaneturn_core.configuration.schema import Server
from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.routing.health import ServerHealths
from vaneturn_core.routing.hops import Hop, Route
from vaneturn_core.routing.recovery import LinkTable, Method
from vaneturn_node.answers.moving import Mover

pytestmark = pytest.mark.anyio

LAYERS = 8
KEPT, OLD, NEW = VmId("engine-1"), VmId("engine-2"), VmId("engine-3")


class Caches:
    """Moves every cache."""

    hall = DataHall("east")
    links = LinkTable()

    async def move(self, session: object, old: Server, new: Server) -> bool:
        return session is not None and old is not new


@pytest.mark.parametrize("has_latency", [True, False])
async def test_hop_of_a_resumed_route_is_moved_though_the_route_states_no_rates(*, has_latency: bool) -> None:
    """A division by zero broke off the answer."""
    healths = ServerHealths()
    if has_latency:
        healths.record_reply(KEPT, 0.01)
    caches: Any = Caches()
    servers = {vm: Server(vm=vm, address="10.0.0.1:80", data_hall=caches.hall) for vm in (OLD, NEW)}
    request: Any = SimpleNamespace(id="request-1", session="session-1", pipeline=SimpleNamespace(cache_bytes=1000))
    old = Route(LAYERS, (Hop(KEPT, 0, 4), Hop(OLD, 4, LAYERS)))
    new = Route(LAYERS, (Hop(KEPT, 0, 4), Hop(NEW, 4, LAYERS, rate=50.0)))
    method = await Mover(healths, caches, servers.get).move_cache(request, old, new, 1, positions=100)
    assert method in set(Method)
