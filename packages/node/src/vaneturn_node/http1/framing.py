"""Checks the framing of requests before their bodies are read, and finds that of answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import h11

from vaneturn_core.traffic.completeness import Framing
from vaneturn_core.traffic.configuration import ClientLimits
from vaneturn_node.http1.messages import BODILESS_STATUSES, Headers, find_header, parse_count

HEADER_OVERHEAD_BYTES: Final = 4  # of a header line, besides its name and value
HEADER_MEMORY_BYTES: Final = 300  # of the objects of a header that was read, besides its name and value


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request that is refused before it reaches the handler."""

    status: int
    reason: str
    headers: Headers = ()


class BodyTooLongError(Exception):
    """A body has more bytes than the limits allow."""


def measure_head(headers: Headers) -> int:
    """Estimate the memory that headers need."""
    return sum(len(name) + len(value) + HEADER_MEMORY_BYTES for name, value in headers)


def check_framing(headers: Headers, limits: ClientLimits) -> Rejection | None:
    """Check sizes, and framing that a server could parse as another request than this node does (smuggling)."""
    if sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in headers) > limits.header_bytes:
        return Rejection(431, "the head is too long")
    length = find_header(headers, b"content-length")
    if length is not None and find_header(headers, b"transfer-encoding") is not None:
        return Rejection(400, "a length and a transfer encoding")
    if sum(name == b"host" for name, _ in headers) != 1:
        return Rejection(400, "not one host")
    size = parse_count(length) if length is not None else 0
    if size is None or size > limits.body_bytes:
        return Rejection(413, "the body is too long")
    return None


def find_framing(method: str, response: h11.Response) -> Framing:
    """Find how the end of the body is marked (RFC 9112, section 6.3)."""
    if method == "HEAD" or response.status_code in BODILESS_STATUSES:
        return Framing.LENGTH
    names = {name.lower() for name, _ in response.headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in names else Framing.CLOSE


__all__ = ["BodyTooLongError", "Rejection", "check_framing", "find_framing", "measure_head"]
