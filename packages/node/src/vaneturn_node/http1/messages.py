"""Headers as lists of lower-case names and values."""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import Final

Headers = Sequence[tuple[bytes, bytes]]

BODILESS_STATUSES: Final = frozenset({204, 304})
MAX_REST_S: Final = 3600.0  # servers may ask a node to send no requests for this long; longer times are capped
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
    """Find the value of the first header with a name."""
    return next((value for header, value in headers if header == name), None)


def parse_decimal(value: bytes) -> float | None:
    """Parse a decimal number without sign or exponent, as in Retry-After; return None for any other text."""
    return float(value) if _DECIMAL.fullmatch(value.strip()) else None


def list_connection_headers(headers: Headers) -> frozenset[bytes]:
    """List the hop-by-hop headers, including those that the Connection header names."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
        if token.strip()
    }
    return _CONNECTION_HEADERS | named


__all__ = ["BODILESS_STATUSES", "MAX_REST_S", "Headers", "find_header", "list_connection_headers", "parse_decimal"]
