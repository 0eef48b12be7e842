"""An answer belongs to one send of a request, not to each request with its id."""

from __future__ import annotations

import anyio
import pytest

from rig.traffic import LISTING_TIME_S, Traffic, list_ids, wait_for
from standins.platform.wire import Exchange, KeptConnection

pytestmark = pytest.mark.anyio

REQUEST = "mine"
HEADS = {
    "refusal": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1",
    "wrong server": "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1",
    "server error": "HTTP/1.1 500 Internal Server Error\r\nX-Response-Seal: surplus",
    "empty answer": "HTTP/1.1 200 OK\r\nX-Response-Seal: surplus\r\nContent-Type: text/event-stream",
}


@pytest.mark.parametrize("head", [pytest.param(head, id=name) for name, head in HEADS.items()])
@pytest.mark.parametrize("path", ["/notice/1", "/letter/1"])
async def test_surplus_answer_to_the_first_send_is_not_taken_for_that_to_the_second(
    traffic: Traffic, path: str, head: str
) -> None:
    """A surplus refusal of the first send let a stream that must run once run on two servers."""
    await add_chains_with_one_first(traffic)
    traffic.fleet.token_time = 0.1  # the surplus answer comes before the first event
    surplus = f"{head}\r\nX-Request-Id: {REQUEST}\r\nContent-Length: 0\r\n\r\n".encode()

    async def send_surplus(connection: KeptConnection) -> None:
        await wait_for(lambda: bool(traffic.fleet.find_runs(REQUEST)))
        await connection.send_surplus(surplus)

    def follow_refusal(exchange: Exchange, connection: KeptConnection) -> None:
        if exchange.call.headers.get("x-request-id") == REQUEST:
            traffic.fleet.tasks.start_soon(send_surplus, connection)

    traffic.fleet.after_answer = follow_refusal
    traffic.fleet.refused_once.add(REQUEST)
    answer = await traffic.ask(path, X_Request_Id=REQUEST)
    sends = (await traffic.nodes[0].wait_for_log(REQUEST))["sends"]
    assert [send["target"] for send in sends] == [sends[0]["target"]] * 2
    assert len(traffic.fleet.find_runs(REQUEST)) == 1
    assert answer.status_code == 200
    assert list_ids(answer.text) == list(range(1, 11))


async def add_chains_with_one_first(traffic: Traffic) -> None:
    """Add chains of which those in the hall of the node begin at the same server."""
    servers = await traffic.add_chains(per_hall=4)
    firsts = [server for server in servers if server.hall == "east" and server.held and server.held[0] == 0]
    for server in firsts[1:]:
        server.state = "draining"
        server.announce()
    await anyio.sleep(LISTING_TIME_S)
