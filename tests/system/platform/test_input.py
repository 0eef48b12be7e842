"""Client input: no malformed, oversized or smuggled request reaches a server."""

from __future__ import annotations

import anyio
import pytest

from rig.traffic import Traffic, wait_for
from standins.platform.operator import HOST, KEY, configure, make_configuration

pytestmark = pytest.mark.anyio

HEAD = f"POST /once/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"


async def send(traffic: Traffic, data: str) -> bytes:
    async with await anyio.connect_tcp("127.0.0.1", traffic.nodes[0].client_port) as stream:
        await stream.send(data.encode())
        received = b""
        with anyio.move_on_after(3.0):
            while True:
                try:
                    received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    break
        return received


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param("nonsense\r\n\r\n", b"400", id="no request"),
        pytest.param(HEAD + "Content-Length: x\r\n\r\n", b"400", id="length"),
        pytest.param(
            HEAD + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", b"400", id="two framings"
        ),
        pytest.param(HEAD + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", b"400", id="two lengths"),
        pytest.param(HEAD + "Transfer-Encoding: gzip\r\n\r\n", b"501", id="encoding"),
        pytest.param(HEAD + "Host: other.example\r\nContent-Length: 0\r\n\r\n", b"400", id="two hosts"),
        pytest.param(HEAD + "X: " + "y" * 20000 + "\r\n\r\n", b"431", id="long head"),
        pytest.param(HEAD + "Content-Length: 200000\r\n\r\n", b"413", id="long body"),
        pytest.param(HEAD + "Content-Length: 5\r\n\r\nab", b"408", id="slow body"),
    ],
)
async def test_bad_request_gets_a_clear_answer_and_reaches_no_server(
    traffic: Traffic, data: str, status: bytes
) -> None:
    await traffic.add_desk()
    answer = await send(traffic, data)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert b"connection: close" in answer.lower()
    assert not traffic.fleet.runs


async def test_request_of_another_node_that_is_not_read_whole_is_marked_as_declined(traffic: Traffic) -> None:
    """Without marks, the node that forwarded it must assume that it may have run."""
    head = HEAD.replace("/once/1", "/forwarded") + "Content-Length: 5\r\n\r\n"
    async with await anyio.connect_tcp("127.0.0.1", traffic.nodes[0].peer_port) as node:
        await node.send((head + "ab").encode())
        answer = await node.receive()
    assert answer.startswith(b"HTTP/1.1 408")
    assert b"vaneturn-answer: declined" in answer
    assert b"vaneturn-answer" not in await send(traffic, HEAD + "Content-Length: 5\r\n\r\nab")


async def test_pipelined_requests_are_answered_in_order(traffic: Traffic) -> None:
    await traffic.add_desk()
    data = "".join(HEAD + f"X-Request-Id: r{n}\r\nContent-Length: 2\r\n\r\nab" for n in range(2))
    data += HEAD + "X-Request-Id: r2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    answer = await send(traffic, data)
    assert answer.count(b"HTTP/1.1 200") == 3
    assert answer.index(b"answer to r0") < answer.index(b"answer to r1") < answer.index(b"answer to r2")


async def test_body_that_arrives_slowly_is_read_to_its_end(traffic: Traffic) -> None:
    """It got 408 when the time for the head of a request, 1 s here, had passed."""
    await traffic.add_desk()
    async with await anyio.connect_tcp("127.0.0.1", traffic.nodes[0].client_port) as client:
        head = HEAD.replace("/once/1", "/check/1")
        await client.send((head + "X-Request-Id: slow\r\nContent-Length: 6\r\n\r\n").encode())
        for part in (b"ab", b"cd", b"ef"):
            await anyio.sleep(0.4)
            await client.send(part)
        assert (await client.receive()).startswith(b"HTTP/1.1 200")
    assert traffic.fleet.runs[0].body == b"abcdef"


async def test_kept_connection_follows_the_limits_in_force(traffic: Traffic) -> None:
    """A connection kept the limits of the configuration at its opening, and refused what a newer one allows."""
    await traffic.add_desk()
    request = HEAD + "Content-Length: 150000\r\n\r\n" + "x" * 150_000
    async with await anyio.connect_tcp("127.0.0.1", traffic.nodes[0].client_port) as client:
        await client.send((HEAD + "X-Request-Id: first\r\nContent-Length: 1\r\n\r\nx").encode())
        assert (await client.receive()).startswith(b"HTTP/1.1 200")
        configuration = make_configuration(2)
        configuration["limits"]["max_body_bytes"] = 200_000
        configure(traffic.fleet.store, configuration)
        await wait_for(lambda: any(line.get("version") == 2 for line in traffic.nodes[0].read_log()))
        await client.send(request.replace("\r\n", "\r\nX-Request-Id: second\r\n", 1).encode())
        assert (await client.receive()).startswith(b"HTTP/1.1 200")


async def test_smuggled_request_stays_a_body(traffic: Traffic) -> None:
    await traffic.add_desk()
    inner = HEAD.replace("/once/1", "/once/smuggled") + "Content-Length: 0\r\n\r\n"
    data = HEAD + f"X-Request-Id: outer\r\nConnection: close\r\nContent-Length: {len(inner)}\r\n\r\n{inner}"
    await send(traffic, data)
    assert [run.request for run in traffic.fleet.runs] == ["outer"]
    assert traffic.fleet.runs[0].body == inner.encode()


async def test_chunked_body_arrives_whole(traffic: Traffic) -> None:
    await traffic.add_desk()
    data = HEAD + "X-Request-Id: r\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    await send(traffic, data + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert traffic.fleet.runs[0].body == b"abcde"
    assert "transfer-encoding" not in traffic.fleet.runs[0].headers


async def test_headers_of_the_connection_do_not_travel(traffic: Traffic) -> None:
    await traffic.add_desk()
    data = HEAD + "X-Request-Id: r\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nX-Other: 2\r\nContent-Length: 0\r\n\r\n"
    await send(traffic, data)
    headers = traffic.fleet.runs[0].headers
    assert "x-mine" not in headers
    assert headers["x-other"] == "2"
