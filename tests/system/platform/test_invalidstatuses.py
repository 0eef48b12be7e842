"""An answer whose status is none of the protocol reaches no client, whatever else it holds."""

from __future__ import annotations

import pytest

from rig.traffic import Traffic, list_ids
from standins.platform.servers import Run
from standins.platform.wire import Exchange

pytestmark = pytest.mark.anyio

STATUSES = ["000", "099", "101", "103", "600", "999", "0200", "2000", "20", "abc"]
FRAMINGS = {
    "length": b"Content-Length: 5\r\n\r\nwrong",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
    "close": b"Connection: close\r\n\r\nwrong",
}


def answer_first_with(traffic: Traffic, status: str, framing: str) -> None:
    """Let the server that runs the first request send an answer with a status of its own."""

    async def answer(exchange: Exchange, run: Run) -> None:
        for server in traffic.fleet.servers.values():
            server.fault_handler = None
        names = f"X-Request-Id: {run.request}\r\nX-Response-Seal: seal-{run.server}\r\n"
        await exchange.send_raw(f"HTTP/1.1 {status} Odd\r\n{names}".encode() + FRAMINGS[framing])
        await exchange.close()

    for server in traffic.fleet.servers.values():
        server.fault_handler = answer


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", STATUSES)
async def test_status_that_is_none_is_no_answer(traffic: Traffic, status: str, framing: str) -> None:
    """Clients got statuses from 600 on as answers; a server in trouble may send 000."""
    for _ in range(2):
        await traffic.add_desk()
    answer_first_with(traffic, status, framing)
    once = await traffic.ask("/once/1", X_Request_Id="once")
    assert (once.status_code, len(traffic.fleet.find_runs("once"))) == (502, 1)
    assert "x-response-seal" not in once.headers
    answer_first_with(traffic, status, framing)
    safe = await traffic.ask("/check/1", "GET", X_Request_Id="safe")
    assert (safe.status_code, len(traffic.fleet.find_runs("safe"))) == (200, 2)


@pytest.mark.parametrize("status", STATUSES)
async def test_status_that_is_none_begins_no_stream(traffic: Traffic, status: str) -> None:
    await traffic.add_chains(per_hall=4)
    answer_first_with(traffic, status, "length")
    notice = await traffic.ask("/notice/1", X_Request_Id="notice")
    assert (notice.status_code, len(traffic.fleet.find_runs("notice"))) == (502, 1)
    assert "x-response-seal" not in notice.headers
    answer_first_with(traffic, status, "length")
    letter = await traffic.ask("/letter/1", X_Request_Id="letter")
    assert letter.status_code == 200
    assert list_ids(letter.text) == list(range(1, 11))
