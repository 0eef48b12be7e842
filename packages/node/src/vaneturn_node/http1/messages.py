"""Headers as lists of lower-case names and values."""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import Final

Headers = Sequence[tuple[bytes, bytes]]

BODILESS_STATUSES: Final = frozenset({204, 304})
MAX_STATUS: Final = 599  # RFC 9110, section 15; parsers accept any three digits from 100 on
MAX_REST_S: Final = 3600.0  # servers may ask a node to send no requests for this long; longer times are capped
MAX_COUNT_DIGITS: Final = 12
_COUNT: Final = re.compile(rb"[0-9]+")
_CONTROL: Final = re.compile(rb"[\x00-\x1f\x7f]|^ +| +$")
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


def parse_count(value: bytes, max_digits: int = MAX_COUNT_DIGITS) -> int | None:
    """Parse a whole number without a sign; return None for any other text, or one with more digits."""
    digits = value.strip()
    return int(digits) if len(digits) <= max_digits and _COUNT.fullmatch(digits) else None


def encode_name(name: str) -> bytes:
    """Encode a name as the value of a header: Latin-1, else UTF-8; what a value cannot contain is percent-encoded."""
    try:
        encoded = name.encode("latin-1")
    except UnicodeEncodeError:
        encoded = name.encode("utf-8", "replace")
    return _CONTROL.sub(lambda match: b"".join(b"%%%02X" % byte for byte in match[0]), encoded)


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


__all__ = [
    "BODILESS_STATUSES",
    "MAX_REST_S",
    "MAX_STATUS",
    "Headers",
    "encode_name",
    "find_header",
    "list_connection_headers",
    "parse_count",
    "parse_decimal",
]
