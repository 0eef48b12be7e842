"""Headers as lists of lower-case names and values."""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import Final

Headers = Sequence[tuple[bytes, bytes]]

MAX_REST: Final = 3600.0  # seconds that a server may ask a node to stay away; longer times are cut to it
_DECIMAL: Final = re.compile(rb"\d{1,12}(\.\d{1,12})?")
_CONNECTION_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Find the first header of a name."""
    return next((value for one, value in headers if one == name), None)


def parse_decimal(value: bytes) -> float | None:
    """Parse a decimal number without sign or exponent, as in Retry-After; none where it is something else."""
    return float(value) if _DECIMAL.fullmatch(value.strip()) else None


def list_connection_headers(headers: Headers) -> frozenset[bytes]:
    """List the headers that concern one connection only, those named by the connection header included."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
        if token.strip()
    }
    return _CONNECTION_HEADERS | named


__all__ = ["MAX_REST", "Headers", "find_header", "list_connection_headers", "parse_decimal"]
