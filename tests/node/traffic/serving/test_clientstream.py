"""Where the next try of a stream goes on, and which event it is to repeat."""

from __future__ import annotations

from typing import Any

import pytest

from vaneturn_core.traffic.servers import ServerId
from vaneturn_node.http1.link import AnswerHead
from vaneturn_node.traffic.serving.clientstream import ClientStream
from vaneturn_node.traffic.serving.events import EventSplitter

pytestmark = pytest.mark.anyio

SERVER = ServerId("i-1")


class Answer:
    """Takes the parts of an answer."""

    async def begin(self, status: int, headers: Any) -> None:
        pass

    async def send_part(self, data: bytes) -> None:
        pass


async def relay(last_event: str | None, text: str) -> ClientStream:
    """Relay events after one that the client has, and record a server without further ones."""
    answer: Any = Answer()
    client = ClientStream(answer, last_event, lambda _: None)
    client.set_head(AnswerHead(200, []))
    await client.relay(EventSplitter(), text.encode())
    client.empty_ends.record(SERVER, None)
    return client


@pytest.mark.parametrize(
    ("last_event", "text", "repeated", "resume_point"),
    [
        pytest.param(None, "id: 1\n\nid: 4\n\n", "4", "1", id="two events"),
        pytest.param(None, "id: 1\n\n", "1", None, id="first event of the stream"),
        pytest.param("7", "id: 9\n\n", "9", "7", id="first event after the one of the client"),
        pytest.param("7", "", None, "7", id="no event"),
        pytest.param(None, "id: 1\n\nid: 1\n\n", None, "1", id="ids that do not rise"),
    ],
)
async def test_try_after_an_empty_answer_repeats_the_newest_event(
    last_event: str | None, text: str, repeated: str | None, resume_point: str | None
) -> None:
    client = await relay(last_event, text)
    assert (client.repeated_event, client.resume_point) == (repeated, resume_point)


async def test_stream_goes_on_after_its_newest_event_while_no_server_was_without_one() -> None:
    client = await relay(None, "id: 1\n\nid: 4\n\n")
    client.empty_ends.clear()
    assert (client.repeated_event, client.resume_point) == (None, "4")
