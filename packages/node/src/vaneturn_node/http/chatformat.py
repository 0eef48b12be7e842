"""Messages of the OpenAI chat-completions format."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

MAX_TOKENS = 1 << 20


class TextPart(Struct, frozen=True, tag="text", tag_field="type"):
    """A part of a message; only text is served."""

    text: str


class ChatMessage(Struct, frozen=True):
    """One message of a conversation."""

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[TextPart] = ""

    def list_texts(self) -> list[str]:
        """List the texts of all parts."""
        if isinstance(self.content, str):
            return [self.content]
        return [part.text for part in self.content]


class ChatRequest(Struct, frozen=True):
    """A request; unknown fields are ignored, as callers send many that are not used here."""

    model: str
    messages: Annotated[list[ChatMessage], Meta(min_length=1)]
    stream: bool = False
    max_tokens: Annotated[int, Meta(ge=1, le=MAX_TOKENS)] | None = None
    max_completion_tokens: Annotated[int, Meta(ge=1, le=MAX_TOKENS)] | None = None
    seed: int | None = None
    user: str | None = None


class Delta(Struct, frozen=True, omit_defaults=True):
    """The text that one event adds."""

    role: str | None = None
    content: str | None = None


class ChunkChoice(Struct, frozen=True):
    """The one choice of an event."""

    delta: Delta
    finish_reason: str | None = None
    index: int = 0


class Chunk(Struct, frozen=True):
    """One event of a streamed answer."""

    id: str
    created: int
    model: str
    choices: list[ChunkChoice]
    object: str = "chat.completion.chunk"


class AnswerMessage(Struct, frozen=True):
    """The text of a whole answer."""

    content: str
    role: str = "assistant"


class Choice(Struct, frozen=True):
    """The one choice of a whole answer."""

    message: AnswerMessage
    finish_reason: str
    index: int = 0


class Usage(Struct, frozen=True):
    """Token counts."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ChatCompletion(Struct, frozen=True):
    """A whole answer."""

    id: str
    created: int
    model: str
    choices: list[Choice]
    usage: Usage
    object: str = "chat.completion"


class ErrorDetail(Struct, frozen=True):
    """An error in the format's shape, with whether the work ran."""

    message: str
    type: str
    code: str
    run: Literal["not_run", "unknown"]
    param: str | None = None


class ErrorBody(Struct, frozen=True):
    """The body of an error answer."""

    error: ErrorDetail


class ModelCard(Struct, frozen=True):
    """One entry of the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "vaneturn"


class ModelList(Struct, frozen=True):
    """The list of models."""

    data: list[ModelCard]
    object: str = "list"


__all__ = [
    "AnswerMessage",
    "ChatCompletion",
    "ChatMessage",
    "ChatRequest",
    "Choice",
    "Chunk",
    "ChunkChoice",
    "Delta",
    "ErrorBody",
    "ErrorDetail",
    "ModelCard",
    "ModelList",
    "TextPart",
    "Usage",
]
