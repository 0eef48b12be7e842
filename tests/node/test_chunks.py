"""Bodies of many chunks are decoded as the parser of the library decodes them, whatever their bytes and pieces."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass

import anyio
import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from vaneturn_core.traffic.configuration import ClientLimits
from vaneturn_node.bytebudget import ByteBudget
from vaneturn_node.http1.clientanswer import ClientLeftError
from vaneturn_node.http1.connectiontable import ConnectionTable
from vaneturn_node.http1.framing import Rejection
from vaneturn_node.http1.idleconnections import IdleConnections
from vaneturn_node.http1.parsingturns import EVENTS_PER_TURN, ParsingTurns
from vaneturn_node.http1.requestreader import RequestReader
from vaneturn_node.http1.resources import SharedResources
from vaneturn_node.http1.tcp import TcpStream

pytestmark = pytest.mark.anyio

BUDGET_BYTES = 10_000_000
LIMITS = ClientLimits(header_bytes=200, body_bytes=5000)
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY = b"1\r\nx\r\n"
LAST = b"0\r\n\r\n"
NEXT = b"GET /next HTTP/1.1\r\n"


@dataclass(frozen=True)
class Outcome:
    """What became of a request: its body and the bytes behind it, or the status of its refusal; nothing if it left."""

    body: bytes | None = None
    rest: bytes = b""
    status: int | None = None


class PieceStream(TcpStream):
    """Delivers pieces, and then the end of the connection."""

    def __init__(self, pieces: list[bytes]) -> None:
        super().__init__()
        self._pieces = [piece for piece in pieces if piece]

    async def receive(self, max_bytes: int = 65536, limit: float = math.inf) -> bytes:
        assert limit > 0
        if not self._pieces:
            raise anyio.EndOfStream
        piece = self._pieces.pop(0)
        assert len(piece) <= max_bytes
        return piece

    async def send(self, item: bytes | memoryview, limit: float = math.inf) -> None:  # noqa: ARG002 # as a stream has it
        assert bytes(item).startswith(b"HTTP/1.1 100")


def parse(pieces: list[bytes]) -> Outcome:
    """Let the library parse the whole request."""
    parser = h11.Connection(our_role=h11.SERVER, max_incomplete_event_size=LIMITS.header_bytes)
    body, waiting = bytearray(), [piece for piece in pieces if piece]
    try:
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                if not waiting:
                    return Outcome()
                parser.receive_data(waiting.pop(0))
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > LIMITS.body_bytes:
                    return Outcome(status=413)
            elif isinstance(event, h11.EndOfMessage):
                return Outcome(bytes(body), parser.trailing_data[0] + b"".join(waiting))
    except h11.RemoteProtocolError as error:
        return Outcome(status=error.error_status_hint)


async def read(pieces: list[bytes], resources: SharedResources | None = None) -> Outcome:
    resources = resources or SharedResources(ByteBudget(BUDGET_BYTES))
    stream = PieceStream(pieces)
    slot = ConnectionTable("client", 1).add("", lambda: None)
    reader = RequestReader(stream, lambda: LIMITS, IdleConnections(), resources, slot)
    try:
        request = await reader.read()
    except h11.RemoteProtocolError as error:
        assert reader.protocol.our_state is h11.SEND_RESPONSE
        return Outcome(status=error.error_status_hint)
    except ClientLeftError:
        return Outcome()
    if isinstance(request, Rejection):
        return Outcome(status=request.status)
    assert request is not None
    assert reader.protocol.their_state is h11.DONE
    assert reader.protocol.our_state is h11.SEND_RESPONSE
    assert not reader.protocol.they_are_waiting_for_100_continue
    rest = reader.protocol.trailing_data[0]
    while True:
        try:
            rest += await stream.receive()
        except anyio.EndOfStream:
            return Outcome(request.body, rest)


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    marks = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[begin:end] for begin, end in itertools.pairwise(marks)]


chunk_heads = st.sampled_from(
    [b"%x", b"%X", b"00%x", b"%x  ", b"%x\t", b"%x;a=b", b"%x;", b"%x; a\rb ", b"%x ;a", b"%x\n", b" %x", b"%x;a\nb"]
)
chunks = st.tuples(st.one_of(st.just(b"%x"), st.just(b"%x"), st.just(b"%x"), chunk_heads), st.integers(1, 40)).map(
    lambda parts: parts[0] % parts[1] + b"\r\n" + b"y" * parts[1] + b"\r\n"
)
endings = st.sampled_from(
    [
        LAST,
        LAST + NEXT,
        b"000\r\n\r\n",
        b"0;a\r\nB: c\r\n\r\n" + NEXT,
        b"0\r\nbad trailer\r\n\r\n",
        b"",
        b"0\r\n",
        b"5\r\nab",
    ]
)
sound_chunks = st.integers(0, 300).map(lambda count: TINY * count)
bodies = st.builds(
    lambda sound, odd, ending: sound + b"".join(odd) + ending, sound_chunks, st.lists(chunks, max_size=6), endings
)
faults = st.none() | st.tuples(st.integers(0, 5000), st.binary(min_size=0, max_size=2))


@settings(max_examples=300, deadline=None)
@given(bodies, faults, st.lists(st.integers(0, 10_000), max_size=8))
def test_body_is_read_as_the_library_parses_it(body: bytes, fault: tuple[int, bytes] | None, cuts: list[int]) -> None:
    """A difference would let a server and this node see different requests on one connection."""
    if fault is not None:
        position = fault[0] % (len(body) + 1)
        body = body[:position] + fault[1] + body[position + 1 :]
    pieces = split(HEAD + body, cuts)

    async def run() -> Outcome:
        return await read(pieces)

    assert anyio.run(run) == parse(pieces)


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(TINY * 40 + LAST + NEXT, id="whole"),
        pytest.param(TINY * 40 + b"1;" + b"a" * 300, id="long head"),
        pytest.param(TINY * 40 + b"1;" + b" " * 300, id="long head of blanks"),
        pytest.param(TINY * 40 + b"x\r\n", id="no size"),
        pytest.param(TINY * 40 + b"f" * 20 + b"\r\nx", id="longest size"),
        pytest.param(TINY * 40 + b"f" * 21 + b"\r\nx", id="size too long"),
        pytest.param(TINY * 40 + b"1\r\nxy\r\n" + LAST, id="longer than its size"),
        pytest.param(TINY * 5001 + LAST, id="too long"),
        pytest.param(TINY * 5000 + LAST, id="as long as allowed"),
    ],
)
@pytest.mark.parametrize("size", [1, 7, 65536])
async def test_body_in_pieces_is_read_as_the_library_parses_it(sent: bytes, size: int) -> None:
    data = HEAD + sent
    pieces = [data[start : start + size] for start in range(0, len(data), size)]
    assert await read(pieces) == parse(pieces)


async def test_others_run_while_a_body_of_tiny_chunks_is_read() -> None:
    """A long body in a row would hold up the event loop."""

    class CountedTurns(ParsingTurns):
        count = 0

        async def take(self) -> None:
            self.count += 1
            await super().take()

    turns = CountedTurns()
    resources = SharedResources(ByteBudget(BUDGET_BYTES), turns)
    outcome = await read([HEAD + TINY * 5000 + LAST], resources)
    assert outcome.body == b"x" * 5000
    assert 5 <= turns.count <= 5000 / EVENTS_PER_TURN
