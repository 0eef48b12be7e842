"""What another node has used of a request that is taken back from it."""

from __future__ import annotations

import contextlib
import time
from dataclasses import dataclass, field

import anyio
import pytest
from anyio.abc import SocketStream

from node.traffic.samples import make_parts
from node.traffic.serving.test_peerforwarding import make_answer, make_context
from rig.ports import find_port
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.link import LinkError
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.traffic.serving.peerforwarding import PeerAnswer, PeerForwarder
from vaneturn_node.traffic.sharing.forwarding import AnswerKind, AnswerMarks, build_marks

pytestmark = pytest.mark.anyio

ARRIVAL_TIME_S = 0.05
FIRST, SECOND = ServerId("i-0001"), ServerId("i-0002")


@dataclass
class WithdrawnNode:
    """Takes a request, and states what it has used of it once the first node has sent the end of its bytes."""

    head: bytes  # sent before that
    last_bytes: bytes
    accepted: anyio.Event = field(default_factory=anyio.Event)
    answered: anyio.Event = field(default_factory=anyio.Event)

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
            await stream.receive()
            await stream.send(self.head)
            self.accepted.set()
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(self.last_bytes)
        self.answered.set()


def make_stream_head(marks: AnswerMarks) -> bytes:
    lines = [name + b": " + value for name, value in build_marks(marks)]
    return b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"Transfer-Encoding: chunked", b"", b""])


def make_last_chunk(marks: AnswerMarks) -> bytes:
    lines = [name + b": " + value for name, value in build_marks(marks)]
    return b"\r\n".join([b"0", *lines, b"", b""])


UNUSED = AnswerMarks(AnswerKind.BROKEN_OFF, 1, 1, attempted=frozenset({FIRST}))
USED = AnswerMarks(AnswerKind.BROKEN_OFF, 2, 1, attempted=frozenset({FIRST, SECOND}))
BEGUN = AnswerMarks(AnswerKind.SERVER, 1, 1, attempted=frozenset({FIRST}))
WITHDRAWN = "502 Bad Gateway"


@pytest.mark.parametrize(
    ("head", "last_bytes", "expected"),
    [
        pytest.param(b"", make_answer(WITHDRAWN, build_marks(UNUSED)), (1, {FIRST}), id="unused"),
        pytest.param(b"", make_answer(WITHDRAWN, build_marks(USED)), (2, {FIRST, SECOND}), id="used"),
        pytest.param(b"", b"", (2, {FIRST}), id="no answer"),
        pytest.param(b"", b"HTTP/1.1 502 ", (2, {FIRST}), id="part of an answer"),
        pytest.param(b"", make_answer(WITHDRAWN, []), (2, {FIRST}), id="no marks"),
        pytest.param(make_stream_head(BEGUN), make_last_chunk(UNUSED), (1, {FIRST}), id="begun, unused"),
        pytest.param(make_stream_head(BEGUN), make_last_chunk(USED), (2, {FIRST, SECOND}), id="begun, used"),
        pytest.param(make_stream_head(BEGUN), b"", (2, {FIRST}), id="begun, no end"),
        pytest.param(make_stream_head(BEGUN), b"0\r\n\r\n", (2, {FIRST}), id="begun, ended in full"),
    ],
)
async def test_attempt_of_a_withdrawn_request_counts_as_the_other_node_has_used_it(
    head: bytes, last_bytes: bytes, expected: tuple[int, set[ServerId]]
) -> None:
    """A kept try went on while another node was asked; the attempt stayed spent on a server that was not known."""
    view = PlatformView(5.0, time.monotonic)
    forwarder = PeerForwarder(make_parts("entry-1", view, ServerStatuses(), Caller(LinkPool())))
    context, node = make_context(), WithdrawnNode(head, last_bytes)
    context.attempts.record(FIRST)

    async def offer() -> None:
        answer = await forwarder.offer(context, None, 1.0)
        assert isinstance(answer, PeerAnswer)
        try:
            with contextlib.suppress(LinkError):
                await answer.link.read_data(1.0)
        finally:
            await forwarder.release(answer, is_whole=False)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(forwarder.withdrawals.run)
        port = find_port()
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        tasks.start_soon(listener.serve, node.serve)
        view.nodes[VmId("entry-2")] = f"127.0.0.1:{port}"
        async with anyio.create_task_group() as offering:
            offering.start_soon(offer)
            await node.accepted.wait()
            await anyio.sleep(ARRIVAL_TIME_S)
            offering.cancel_scope.cancel()
        assert context.attempts.count == 2
        await node.answered.wait()
        await anyio.sleep(ARRIVAL_TIME_S)
        tasks.cancel_scope.cancel()
    assert (context.attempts.count, context.attempts.servers) == expected
