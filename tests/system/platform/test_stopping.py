"""A planned stop: not ready at once, all requests in progress completed, connections closed between requests."""

from __future__ import annotations

import contextlib
import signal

import anyio
import httpx
import pytest

from rig.traffic import Traffic, wait_for

pytestmark = pytest.mark.anyio

STREAMS_AT_ONCE = 8  # the slots of a server of the stand-in


async def test_stream_under_way_is_answered_in_full(traffic: Traffic) -> None:
    """Closing the listener must not cancel the requests of connections that it accepted."""
    await traffic.add_chains()
    traffic.fleet.answer_tokens = 350  # takes longer than new clients are accepted
    answers: list[httpx.Response] = []
    node = traffic.nodes[0]
    async with anyio.create_task_group() as tasks:

        async def ask() -> None:
            answers.append(await traffic.ask("/letter/1", X_Deadline_Ms="15000"))

        tasks.start_soon(ask)
        await wait_for(lambda: any(run.tokens for run in traffic.fleet.runs))
        node.process.send(signal.SIGTERM)
        await anyio.sleep(0.1)
        assert not await node.is_ready(traffic.client)
    assert answers[0].text.count("id: ") == 350
    assert node.process.popen.wait(10) == 0


async def test_open_connection_closes_after_the_response_in_progress(traffic: Traffic) -> None:
    """A connection that stays open after SIGTERM would take requests until the process ends."""
    desk = await traffic.add_desk()
    desk.work_time = 0.5
    async with anyio.create_task_group() as tasks:

        async def ask() -> None:
            answer = await traffic.ask("/check/1", "GET")
            assert answer.status_code == 200
            assert answer.headers["connection"] == "close"

        tasks.start_soon(ask)
        await wait_for(lambda: bool(traffic.fleet.runs))
        traffic.nodes[0].process.send(signal.SIGTERM)


async def test_client_that_comes_after_the_signal_is_served(traffic: Traffic) -> None:
    await traffic.add_desk()
    traffic.nodes[0].process.send(signal.SIGTERM)
    await anyio.sleep(0.5)
    assert (await traffic.ask("/once/1")).status_code == 200


async def test_settings_are_reloaded_at_a_signal(traffic: Traffic) -> None:
    await traffic.add_desk()
    traffic.nodes[0].process.send(signal.SIGHUP)
    await wait_for(lambda: any(line["message"] == "settings reloaded" for line in traffic.nodes[0].read_log()))
    assert (await traffic.ask("/once/1")).status_code == 200


async def test_metrics_count_requests(traffic: Traffic) -> None:
    await traffic.add_desk()
    await traffic.ask("/once/1")
    answer = await traffic.client.get(f"http://127.0.0.1:{traffic.nodes[0].metrics_port}/metrics")
    assert 'vaneturn_requests_total{ending="status 200"} 1.0' in answer.text
    assert 'customer="broker",route="once"' in answer.text


@pytest.mark.parametrize("path", ["/letter/1", "/once/1"])
async def test_request_that_has_arrived_with_the_signal_is_served(traffic: Traffic, path: str) -> None:
    """A planned stop must not close a connection on which a request has arrived that is not read yet.

    On a busy machine a request may stay unread for the 0.2 s between its arrival and the signal (2 of 74 randomised
    runs). If the signal closes each connection that waits for a request, whether or not bytes have arrived, the client
    sees it end without a response, and the node logs nothing of the request. So each connection is read once more. The
    test freezes the node until both request and signal have arrived; 2 of 3 runs fail without that read.

    Not this fault: a stream that is cut at the end of its deadline after servers stopped responding for over a second,
    as on a machine with ten busy processes, where the node logs "broken off, 6 events" and "4971ms time is up". That is
    allowed.
    """
    await traffic.add_chains()
    await traffic.add_desk()
    assert (await traffic.ask(path)).status_code == 200
    node = traffic.nodes[0]
    answers: list[httpx.Response] = []

    async def ask() -> None:
        answers.append(await traffic.ask(path))

    async with anyio.create_task_group() as tasks:
        node.process.send(signal.SIGSTOP)
        for _ in range(3):
            tasks.start_soon(ask)
        await anyio.sleep(0.3)
        node.process.send(signal.SIGTERM)
        node.process.send(signal.SIGCONT)
    assert [answer.status_code for answer in answers] == [200] * 3


async def test_open_connection_takes_no_request_long_after_the_signal(traffic: Traffic) -> None:
    """A request that is taken after the listener has closed may not end before the process does.

    A response that began before the signal cannot announce that its connection closes. If the connection is read once
    more after such a response, a request sent on it 3.4 s after the signal is taken and cut 7.2 s after the signal.
    """
    await traffic.add_chains()
    traffic.fleet.answer_tokens = 400
    node = traffic.nodes[0]
    async with anyio.create_task_group() as tasks:

        async def ask_twice() -> None:
            first = await traffic.ask("/letter/1", X_Deadline_Ms="15000")
            assert first.text.count("id: ") == 400
            with pytest.raises(httpx.TransportError):
                await traffic.ask("/letter/1")

        tasks.start_soon(ask_twice)
        await wait_for(lambda: any(run.tokens for run in traffic.fleet.runs))
        node.process.send(signal.SIGTERM)
    assert len(traffic.fleet.runs) == 1


async def test_connection_that_rests_across_the_signal_is_closed_before_its_first_request(traffic: Traffic) -> None:
    """A connection opened after the signal took its first request seconds later, and the end of the process cut it."""
    await traffic.add_chains()
    node = traffic.nodes[0]
    node.process.send(signal.SIGTERM)
    await anyio.sleep(0.4)
    traffic.fleet.answer_tokens = 500  # takes over 5 s
    async with await anyio.connect_tcp("127.0.0.1", node.client_port) as client, anyio.create_task_group() as tasks:
        tasks.start_soon(traffic.ask, "/letter/1")  # keeps the process running
        with anyio.fail_after(4.0), pytest.raises(anyio.EndOfStream):
            await client.receive()
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("short_streams", [0, 320])
async def test_request_that_cannot_end_before_the_process_is_refused_as_not_run(
    traffic: Traffic, short_streams: int
) -> None:
    """The end of the process cut a stream that had arrived four seconds after the signal.

    After many short streams, their mean duration let the node accept a long one that it had to cut.
    """
    await traffic.add_chains()
    node = traffic.nodes[0]
    traffic.fleet.answer_tokens = 5
    for _ in range(short_streams // STREAMS_AT_ONCE):
        async with anyio.create_task_group() as tasks:
            for _ in range(STREAMS_AT_ONCE):
                tasks.start_soon(traffic.ask, "/letter/1")
    ended = len(traffic.fleet.runs)
    traffic.fleet.answer_tokens = 500  # takes over 5 s
    answer = b""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(traffic.ask, "/letter/1")  # keeps the process running
        await wait_for(lambda: len(traffic.fleet.runs) > ended)
        request = traffic.build("/letter/1", X_Request_Id="late")
        head = "".join(f"{name}: {value}\r\n" for name, value in request.headers.items())
        node.process.send(signal.SIGTERM)
        await anyio.sleep(1.9)
        async with await anyio.connect_tcp("127.0.0.1", node.client_port) as client:
            await client.send(f"POST /letter/1 HTTP/1.1\r\n{head}\r\n".encode())  # without its body
            await anyio.sleep(0.9)
            await client.send(request.content)
            with anyio.fail_after(4.0):
                while not answer.endswith(b"}"):
                    answer += await client.receive()
        tasks.cancel_scope.cancel()
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b'"stopping"' in answer
    assert not traffic.fleet.find_runs("late")


@pytest.mark.parametrize("delay", [0.2, 0.6])
async def test_connection_without_a_request_yet_is_served_after_the_signal(traffic: Traffic, delay: float) -> None:
    """It was closed after 50 ms, while a connection that was opened after the signal was served."""
    await traffic.add_desk()
    node = traffic.nodes[0]
    request = traffic.build("/check/1", "GET")
    head = "".join(f"{name}: {value}\r\n" for name, value in request.headers.items())
    async with await anyio.connect_tcp("127.0.0.1", node.client_port) as client:
        await anyio.sleep(0.1)
        node.process.send(signal.SIGTERM)
        await anyio.sleep(delay)
        await client.send(f"GET /check/1 HTTP/1.1\r\n{head}\r\n".encode() + request.content)
        answer = b""
        with anyio.fail_after(4.0), contextlib.suppress(anyio.EndOfStream):
            while True:
                answer += await client.receive()
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in answer.lower()


async def test_connection_between_two_requests_is_closed_at_the_signal(traffic: Traffic) -> None:
    """Its client may use another one, which the platform leads to another node."""
    await traffic.add_desk()
    node = traffic.nodes[0]
    request = traffic.build("/check/1", "GET")
    head = "".join(f"{name}: {value}\r\n" for name, value in request.headers.items())
    async with await anyio.connect_tcp("127.0.0.1", node.client_port) as client:
        await client.send(f"GET /check/1 HTTP/1.1\r\n{head}\r\n".encode() + request.content)
        assert (await client.receive()).startswith(b"HTTP/1.1 200 ")
        node.process.send(signal.SIGTERM)
        with anyio.fail_after(2.0), contextlib.suppress(anyio.EndOfStream):
            while True:
                await client.receive()
