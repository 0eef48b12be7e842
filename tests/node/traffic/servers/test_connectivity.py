"""A node that cannot connect to any server of a service knows it, and blames no server for it."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack

import anyio
import pytest

from core.traffic.samples import make_server
from node.traffic.samples import make_parts
from rig.ports import find_port
from rig.traffic import wait_for
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.blame.contents import Fingerprint, digest_content
from vaneturn_core.traffic.blame.crashes import LostRequest, Suspicion
from vaneturn_core.traffic.servers import BackendServer, ServerAddress
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.link import LinkError
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.traffic.servers.exchange import TrafficParts

pytestmark = pytest.mark.anyio

SERVERS = 3


class Site:
    """Servers at addresses that a test opens and closes."""

    def __init__(self, stack: ExitStack) -> None:
        self._stack = stack
        view = PlatformView(5.0, time.monotonic)
        self.servers: list[BackendServer] = []
        for number in range(SERVERS):
            address = ServerAddress(f"127.0.0.1:{find_port()}")
            server = make_server(number, "a100", layers=(0, 80), address=address)
            self.servers.append(server)
            view.put_server(server)
        self.service = self.servers[0].service
        self.parts: TrafficParts = make_parts("entry-1", view, ServerStatuses(), Caller(LinkPool()))

    def open(self, server: BackendServer) -> None:
        host, _, port = server.address.rpartition(":")
        self._stack.enter_context(socket.create_server((host, int(port)), backlog=16))


@pytest.fixture
def site() -> Iterator[Site]:
    with ExitStack() as stack:
        yield Site(stack)


async def test_one_server_that_refuses_does_not_lose_the_path(site: Site) -> None:
    site.open(site.servers[0])
    with pytest.raises(LinkError) as caught:
        await site.parts.connectivity.acquire(site.servers[1])
    assert caught.value.is_refused
    assert not caught.value.has_no_path
    assert not site.parts.connectivity.is_lost(site.service)


async def test_path_is_lost_when_all_refuse_and_regained_by_probes(site: Site) -> None:
    with pytest.raises(LinkError) as caught:
        await site.parts.connectivity.acquire(site.servers[0])
    assert caught.value.has_no_path
    assert not caught.value.was_sent
    assert site.parts.connectivity.list_lost() == [site.service]
    for server in site.servers:
        site.open(server)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(site.parts.connectivity.run)
        await wait_for(lambda: not site.parts.connectivity.list_lost())
        tasks.cancel_scope.cancel()


async def test_requests_that_fail_together_share_a_round_of_probes(site: Site, monkeypatch: pytest.MonkeyPatch) -> None:
    rounds = []
    run_round = site.parts.connectivity._run_round

    async def count_round(service: object) -> None:
        rounds.append(service)
        await run_round(service)  # type: ignore[arg-type]

    monkeypatch.setattr(site.parts.connectivity, "_run_round", count_round)
    async with anyio.create_task_group() as tasks:
        for _ in range(10):
            tasks.start_soon(site.parts.connectivity.check, site.service, time.monotonic() + 10)
    assert len(rounds) == 1


async def test_failures_on_a_lost_path_are_forgotten(site: Site) -> None:
    for server in site.servers:
        site.parts.beliefs[server.id].record_failure(time.monotonic())
    assert not await site.parts.connectivity.check(site.service, time.monotonic())
    assert site.parts.beliefs.list_failed(time.monotonic()) == {}


@pytest.mark.parametrize("reaches_others", [True, False])
async def test_refused_connection_shows_a_crash_only_beside_servers_that_accept(
    site: Site, *, reaches_others: bool
) -> None:
    """A node whose connections are all refused took each server for crashed, and barred the requests sent to them."""
    if reaches_others:
        site.open(site.servers[1])
    fingerprint = Fingerprint(digest_content("host", "POST", "/letter/1", "broker", b"letter"))
    has_crashed = await site.parts.crash_watch.record_cut_connection(
        site.servers[0], LostRequest(fingerprint, Suspicion.BEGUN)
    )
    assert has_crashed is reaches_others
    assert bool(site.parts.crashes.list_crashes()) is reaches_others
