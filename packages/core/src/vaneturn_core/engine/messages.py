"""Messages of the engine's stage link: MessagePack lists of tagged arrays over one WebSocket.

An engine runs steps of many sessions at once. Its replies carry all fields that identify the step, so that a late,
mismatched or duplicate reply can be distinguished from the expected one.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

import msgspec
from msgspec import Struct

from vaneturn_core.identifiers import SessionId
from vaneturn_core.placing.parts import Holdings, Part

LINK_PATH: Final = "/v1/link"
CACHE_PATH: Final = "/v1/cache"  # GET exports and PUT imports the KV cache of one session and attempt


class Open(Struct, frozen=True, tag="open", array_like=True):
    """Prepare the session's KV cache for a range of layers; idempotent for the same content."""

    session: SessionId
    attempt: int
    model: str
    version: str
    adapter: str | None
    first: int
    end: int
    priority: int


class Step(Struct, frozen=True, tag="step", array_like=True):
    """Run the layers over the positions [position, position + count).

    The positions must directly follow those in the stage's cache. A repeat of the newest step gets the stored reply.
    A rebuild step may cover positions already in the cache: the stage recomputes their output and leaves its cache
    unchanged.
    """

    session: SessionId
    attempt: int
    position: int
    count: int
    inputs: bytes  # first stage: count 4-byte tokens; later stages: activations of the previous stage
    seed: int  # for sampling, used by the last stage
    rebuild: bool = False


class Close(Struct, frozen=True, tag="close", array_like=True):
    """Discard the session, including its running steps."""

    session: SessionId


class Hold(Struct, frozen=True, tag="hold", array_like=True):
    """Hold exactly these parts; idempotent. The engine replies with Holdings, whether or not it accepted the order.

    Other parts that sessions in progress use are kept until the last of these ends, and get no new sessions.
    """

    fence: int  # of the ordering placer; engines that check fences reject orders older than the newest they have seen
    parts: tuple[Part, ...]


class Done(Struct, frozen=True, tag="done", array_like=True):
    """The engine ran the layers once over the positions."""

    session: SessionId
    attempt: int
    position: int
    count: int
    first: int
    end: int
    outputs: bytes  # activations; empty on the last stage
    token: int | None  # last stage: the token at position + count
    text: str  # last stage: the text of the token
    last: bool  # last stage: whether the answer ends with this token
    queued: int  # steps waiting at the server
    rebuild: bool = False


class Refusal(Enum):
    """Why an engine did not run a step."""

    NO_SESSION = "no_session"  # the cache was evicted or never created
    POSITION = "position"  # not the next position
    ATTEMPT = "attempt"  # the step belongs to an older attempt of the session
    NOT_HELD = "not_held"  # the layers, version or adapter are not loaded
    OVERLOAD = "overload"
    LEAVING = "leaving"  # accepts no new sessions


class Refused(Struct, frozen=True, tag="refused", array_like=True):
    """The engine did not run the step."""

    session: SessionId
    attempt: int
    position: int
    refusal: Refusal
    expected: int  # the position that the stage would accept
    queued: int


class Leaving(Struct, frozen=True, tag="leaving", array_like=True):
    """The server will stop: it accepts no new sessions, and sessions in progress should move."""

    deadline: float  # seconds from now


Order = Open | Step | Close | Hold
Reply = Done | Refused | Leaving | Holdings

ORDER_DECODER: Final = msgspec.msgpack.Decoder(list[Order])
REPLY_DECODER: Final = msgspec.msgpack.Decoder(list[Reply])
ENCODER: Final = msgspec.msgpack.Encoder()

TOKEN_BYTES: Final = 4

__all__ = [
    "CACHE_PATH",
    "ENCODER",
    "LINK_PATH",
    "ORDER_DECODER",
    "REPLY_DECODER",
    "TOKEN_BYTES",
    "Close",
    "Done",
    "Hold",
    "Holdings",
    "Leaving",
    "Open",
    "Order",
    "Refusal",
    "Refused",
    "Reply",
    "Step",
]
