"""The streamed response that carries an answer."""

from __future__ import annotations

from starlette.responses import StreamingResponse
from starlette.types import Receive, Scope, Send

from vaneturn_node.answers.request import GeneratedToken
from vaneturn_node.http.answering import Answer


class AnswerResponse(StreamingResponse):
    """A streamed answer that is closed however the connection ends, even before its first event."""

    def __init__(self, answer: Answer, first: GeneratedToken | None) -> None:
        super().__init__(answer.stream(first), headers=answer.headers, media_type="text/event-stream")
        self._answer = answer

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the stream."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            await self._answer.close()


__all__ = ["AnswerResponse"]
