"""Headers as lists of lower-case names and values."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

Headers = Sequence[tuple[bytes, bytes]]

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


__all__ = ["Headers", "find_header", "list_connection_headers"]
