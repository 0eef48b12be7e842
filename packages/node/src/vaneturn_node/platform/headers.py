"""Reads and builds the headers of requests and responses on the users' platform."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.blame.contents import PromptPart
from vaneturn_core.traffic.chain import Chain, Part
from vaneturn_core.traffic.directives import ServerDirectives
from vaneturn_core.traffic.servers import ServerAddress, ServerName
from vaneturn_node.http1.messages import (
    Headers,
    encode_name,
    find_header,
    list_connection_headers,
    parse_count,
)
from vaneturn_node.platform.directives import read_directives

REQUEST_ID: Final = b"x-request-id"
DEADLINE: Final = b"x-deadline-ms"
EXPECTED_SERVER: Final = b"x-expect-instance"
CUSTOMER: Final = b"x-tenant"
PRIORITY: Final = b"priority"
CHAIN: Final = b"path"
LAST_EVENT_ID: Final = b"last-event-id"
TOKEN_USAGE: Final = b"x-token-usage"
PROMPT_PARTS: Final = b"x-prompt-prefix"
AUTHORIZATION: Final = b"authorization"
KEY_SCHEME: Final = b"Token "
SEAL: Final = b"x-response-seal"
NOT_RUN: Final = b"x-not-executed"
FAULTY_SERVER: Final = b"at-server"
SERVER_LOAD: Final = b"x-instance-load"
WRONG_SERVER: Final = 421
MAX_PROMPT_PARTS: Final = 32  # of one request; further ones are ignored
MAX_PART_DIGITS: Final = 16  # hexadecimal digits of the id of a part; longer ones are digested to as many
_PART: Final = re.compile(rb"[0-9a-fA-F]+:[0-9]+")  # id and number of tokens
_REPLACED_HEADERS: Final = frozenset(
    {AUTHORIZATION, DEADLINE, EXPECTED_SERVER, CUSTOMER, PRIORITY, CHAIN, LAST_EVENT_ID, b"content-length", b"expect"}
)


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the headers of a client's request say."""

    id: RequestId | None
    host: str
    deadline: float | None  # seconds for which the client waits
    key: str | None
    last_event_id: str | None  # id of the last event that the client received
    prompt_tokens: int
    max_answer_tokens: int
    shared_parts: tuple[PromptPart, ...] = ()  # of its prompt, in order; the last part, which is its own, is left out


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the headers of a server's response say."""

    id: RequestId | None
    status: int
    was_refused: bool  # the server has not run the request and will not
    is_wrong_server: bool  # the address belongs to another server, or a part of the chain lacks its layers
    is_sealed: bool
    faulty: ServerAddress | None  # the part of the chain that failed
    load: tuple[int, int, int] | None  # running requests, waiting requests, slots
    directives: ServerDirectives


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What the router adds to the headers of a request to one server."""

    server: ServerName
    deadline: float | None  # seconds left
    customer: str | None
    priority: int
    chain: Chain | None
    last_event_id: str | None


def read_request_facts(headers: Headers) -> RequestFacts:
    """Read the headers of a request; invalid values count as absent."""
    request = find_header(headers, REQUEST_ID)
    deadline = _read_number(find_header(headers, DEADLINE))
    key = find_header(headers, AUTHORIZATION)
    prompt, answer = _read_token_counts(find_header(headers, TOKEN_USAGE))
    last_event_id = find_header(headers, LAST_EVENT_ID)
    return RequestFacts(
        id=RequestId(request.decode("latin-1")) if request else None,
        host=(find_header(headers, b"host") or b"").decode("latin-1").lower(),
        deadline=None if deadline is None else deadline / 1000,
        key=key[len(KEY_SCHEME) :].decode("latin-1") if key and key.startswith(KEY_SCHEME) else None,
        last_event_id=last_event_id.decode("latin-1") if last_event_id is not None else None,
        prompt_tokens=prompt,
        max_answer_tokens=answer,
        shared_parts=_read_shared_parts(headers),
    )


def read_answer_facts(status: int, headers: Headers) -> AnswerFacts:
    """Read the headers of a response."""
    request = find_header(headers, REQUEST_ID)
    faulty = find_header(headers, FAULTY_SERVER)
    return AnswerFacts(
        id=RequestId(request.decode("latin-1")) if request else None,
        status=status,
        was_refused=status == WRONG_SERVER or find_header(headers, NOT_RUN) is not None,
        is_wrong_server=status == WRONG_SERVER,
        is_sealed=find_header(headers, SEAL) is not None,
        faulty=ServerAddress(faulty.decode("latin-1")) if faulty else None,
        load=_read_load(find_header(headers, SERVER_LOAD)),
        directives=read_directives(status, headers),
    )


def build_server_headers(headers: Headers, dispatch: Dispatch) -> list[tuple[bytes, bytes]]:
    """Build the headers for a server: those of the client, less hop-by-hop and replaced ones, plus the dispatch."""
    dropped = _REPLACED_HEADERS | list_connection_headers(headers)
    sent = [(name, value) for name, value in headers if name not in dropped]
    sent.append((EXPECTED_SERVER, encode_name(dispatch.server)))
    sent.append((PRIORITY, str(dispatch.priority).encode()))
    if dispatch.deadline is not None:
        sent.append((DEADLINE, str(max(1, int(dispatch.deadline * 1000))).encode()))
    if dispatch.customer is not None:
        sent.append((CUSTOMER, encode_name(dispatch.customer)))
    if dispatch.chain is not None:
        sent.append((CHAIN, encode_name(format_chain(dispatch.chain.parts))))
    if dispatch.last_event_id is not None:
        sent.append((LAST_EVENT_ID, encode_name(dispatch.last_event_id)))
    return sent


def replace_last_event_id(headers: Headers, last_event_id: str | None) -> list[tuple[bytes, bytes]]:
    """Replace the id of the last event that the client has received."""
    kept = [(name, value) for name, value in headers if name != LAST_EVENT_ID]
    return kept if last_event_id is None else [*kept, (LAST_EVENT_ID, encode_name(last_event_id))]


def build_client_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Build the headers for the client: those of the server without the hop-by-hop headers."""
    dropped = list_connection_headers(headers) | {b"content-length"}
    return [(name, value) for name, value in headers if name not in dropped]


def format_chain(parts: Sequence[Part]) -> str:
    """Format a chain as a list of servers with their layer ranges; the end of a range is exclusive."""
    return ",".join(f"{part.server.address}={part.first}-{part.end}" for part in parts)


def _read_number(value: bytes | None) -> int | None:
    return None if value is None else parse_count(value)


def _read_token_counts(value: bytes | None) -> tuple[int, int]:
    match [parse_count(number) for number in (value or b"").split(b",")]:
        case [int() as prompt, int() as answer]:
            return prompt, answer
    return 0, 0


def _read_shared_parts(headers: Headers) -> tuple[PromptPart, ...]:
    """Read the parts of a prompt but the last; a malformed list counts as absent."""
    listed = b",".join(value for name, value in headers if name == PROMPT_PARTS)
    entries = [entry.strip() for entry in listed.split(b",")]
    if not all(_PART.fullmatch(entry) for entry in entries):
        return ()
    return tuple(_read_part(entry.partition(b":")[0]) for entry in entries[:-1][:MAX_PROMPT_PARTS])


def _read_part(digits: bytes) -> PromptPart:
    significant = digits.lower().lstrip(b"0")
    if len(significant) <= MAX_PART_DIGITS:
        return PromptPart(int(significant or b"0", 16))
    return PromptPart(int(hashlib.blake2b(significant, digest_size=MAX_PART_DIGITS // 2).hexdigest(), 16))


def _read_load(value: bytes | None) -> tuple[int, int, int] | None:
    match [parse_count(number) for number in (value or b"").split(b",")]:
        case [int() as running, int() as waiting, int() as slots]:
            return running, waiting, slots
    return None


__all__ = [
    "AnswerFacts",
    "Dispatch",
    "RequestFacts",
    "build_client_headers",
    "build_server_headers",
    "format_chain",
    "read_answer_facts",
    "read_request_facts",
    "replace_last_event_id",
]
