"""Messages for a request that one node forwards to another: the request, and the headers of its answer."""

from __future__ import annotations

import logging
import math
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import Final
from urllib.parse import quote, unquote

import msgspec
from msgspec import Struct

from vaneturn_core.decoding import MalformedError, decode_msgpack
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.peerchoice import DeclineReason
from vaneturn_core.traffic.servers import ServerId
from vaneturn_node.http1.messages import Headers, find_header, parse_count

FORWARDED_PATH: Final = "/forwarded"
_KIND: Final = b"vaneturn-answer"
_RUNS: Final = b"vaneturn-runs"
_VERSION: Final = b"vaneturn-version"
_REASON: Final = b"vaneturn-reason"
_ATTEMPTED: Final = b"vaneturn-attempted"
_EXHAUSTED: Final = b"vaneturn-exhausted"
MAX_VERSION_DIGITS: Final = 20  # of a configuration
MAX_STATED_SERVERS: Final = 16  # by id, in one message
MAX_STATED_ID_BYTES: Final = 256  # as encoded
_NAMES: Final = frozenset({_KIND, _RUNS, _VERSION, _REASON, _ATTEMPTED, _EXHAUSTED})

logger = logging.getLogger(__name__)


class ForwardedRequest(Struct):
    """A client's request, and what the first node has done with it."""

    vm: VmId  # that forwards it
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]  # of the client
    body: bytes
    elapsed: float  # seconds since it arrived from the client
    version: int  # of the configuration; the answer must not come from an older one
    sends: int = 0  # to servers, which may have received it
    runs: int = 0  # servers that count as attempts
    may_have_run: bool = False
    last_event_id: str | None = None  # that the client has received from this answer or an earlier one
    is_resumed: bool = False  # the client has received a part of this answer
    must_run_once: bool = False  # by the first node's configuration
    has_retry: bool = False  # of the first node's budget, for the next send
    avoided: list[ServerId] = []  # servers on which the first node has lost it or was refused
    attempted: list[ServerId] = []  # servers that count as attempts, as far as the first node knows them
    reads_servers: bool = False  # the first node reads the ids of servers in marks; an older build would pass them on
    exhausted: list[ServerId] = []  # servers without an event after the last one that the client has


class AnswerKind(Enum):
    """Who decided on the answer to a forwarded request."""

    SERVER = "server"
    NODE = "node"  # that the request was forwarded to
    DECLINED = "declined"  # that node has not sent it to any server and will not
    BROKEN_OFF = "broken off"  # that node has ended without a whole answer; in trailers once it has begun


@dataclass(frozen=True, slots=True)
class AnswerMarks:
    """What a node adds to the answer to a forwarded request."""

    kind: AnswerKind
    runs: int  # of the request that count as attempts, over both nodes
    version: int  # of the configuration in force at the answering node
    reason: DeclineReason = DeclineReason.NO_PATH  # of a declined request; builds before this field state none
    attempted: frozenset[ServerId] = frozenset()  # servers that count as attempts, as far as they are known and stated
    exhausted: frozenset[ServerId] = frozenset()  # servers without an event after the newest one


def encode_forwarded(request: ForwardedRequest) -> bytes:
    """Encode a forwarded request."""
    return msgspec.msgpack.encode(request)


def decode_forwarded(body: bytes) -> ForwardedRequest | None:
    """Decode a forwarded request; None if it is invalid."""
    try:
        request = decode_msgpack(body, ForwardedRequest)
    except MalformedError as error:
        logger.warning("forwarded request not understood", extra={"fault": str(error)})
        return None
    return request if math.isfinite(request.elapsed) else None


def build_marks(marks: AnswerMarks) -> Headers:
    """Build the headers that mark an answer."""
    reason = [(_REASON, marks.reason.value.encode())] if marks.kind is AnswerKind.DECLINED else []
    return [
        (_KIND, marks.kind.value.encode()),
        (_RUNS, str(marks.runs).encode()),
        (_VERSION, str(marks.version).encode()),
        *reason,
        *_encode_servers(_ATTEMPTED, marks.attempted),
        *_encode_servers(_EXHAUSTED, marks.exhausted),
    ]


def _encode_servers(name: bytes, servers: Collection[ServerId]) -> list[tuple[bytes, bytes]]:
    """Encode the ids of servers as a header; none without servers."""
    encoded = [quote(server, safe="@:").encode() for server in sorted(servers)]
    stated = [each for each in encoded if len(each) <= MAX_STATED_ID_BYTES][:MAX_STATED_SERVERS]
    return [(name, b",".join(stated))] if stated else []


def _decode_servers(headers: Headers, name: bytes) -> frozenset[ServerId]:
    """Decode the ids of servers; nodes of an older build state none."""
    stated = (find_header(headers, name) or b"").split(b",")[:MAX_STATED_SERVERS]
    return frozenset(
        ServerId(unquote(each.strip().decode("latin-1"))) for each in stated if 0 < len(each) <= MAX_STATED_ID_BYTES
    )


def read_marks(headers: Headers) -> AnswerMarks | None:
    """Read the marks of an answer; None if it has none, as from a node of an older build."""
    kind, runs, version, stated = (find_header(headers, name) or b"" for name in (_KIND, _RUNS, _VERSION, _REASON))
    counts = parse_count(runs), parse_count(version, MAX_VERSION_DIGITS)
    if kind.decode("latin-1") not in {each.value for each in AnswerKind} or counts[0] is None or counts[1] is None:
        return None
    reasons = {each.value: each for each in DeclineReason}
    reason = reasons.get(stated.decode("latin-1"), DeclineReason.NO_PATH)
    return AnswerMarks(
        AnswerKind(kind.decode("latin-1")),
        counts[0],
        counts[1],
        reason,
        attempted=_decode_servers(headers, _ATTEMPTED),
        exhausted=_decode_servers(headers, _EXHAUSTED),
    )


def drop_marks(headers: Headers) -> Headers:
    """Drop the marks, which clients do not get."""
    return [(name, value) for name, value in headers if name not in _NAMES]


__all__ = [
    "FORWARDED_PATH",
    "MAX_STATED_SERVERS",
    "AnswerKind",
    "AnswerMarks",
    "ForwardedRequest",
    "build_marks",
    "decode_forwarded",
    "drop_marks",
    "encode_forwarded",
    "read_marks",
]
