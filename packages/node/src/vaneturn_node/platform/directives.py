"""Reads the response headers by which a server limits, delays or ends the requests that a node sends to it."""

from __future__ import annotations

from typing import Final

from vaneturn_core.faults import Fault
from vaneturn_core.traffic.directives import ServerDirectives
from vaneturn_node.http1.messages import MAX_REST_S, Headers, parse_decimal

RATE_LIMIT: Final = b"server-limit"
LEAVING: Final = b"server-leaving"
RETRY_AFTER: Final = b"retry-after"
MAX_RATE_PER_S: Final = 1e6  # requests; a larger rate is treated as an error of the server
REJECTION_STATUSES: Final = frozenset({429, 503})


def read_directives(status: int, headers: Headers) -> ServerDirectives:
    """Read the directives of a response; invalid ones are left out, or bounded, and reported as faults."""
    faults: list[Fault] = []
    rate = _read_decimal(headers, RATE_LIMIT, faults)
    if rate is not None and not 0 < rate <= MAX_RATE_PER_S:
        faults.append(Fault("Server-Limit", f"more than 0, at most {MAX_RATE_PER_S:.0f} requests per second"))
        rate = None
    rest = _read_decimal(headers, RETRY_AFTER, faults) if status in REJECTION_STATUSES else None
    if rest is not None and rest > MAX_REST_S:
        faults.append(Fault("Retry-After", f"at most {MAX_REST_S:.0f} seconds"))
        rest = MAX_REST_S
    leaving = _list_values(headers, LEAVING)
    if leaving not in ([], [b"1"]):
        faults.append(Fault("Server-Leaving", "1"))
    return ServerDirectives(
        rate_limit=rate,
        is_rate_unreadable=rate is None and bool(_list_values(headers, RATE_LIMIT)),
        rest=rest,
        is_leaving=leaving == [b"1"],
        faults=tuple(faults),
    )


def _read_decimal(headers: Headers, name: bytes, faults: list[Fault]) -> float | None:
    values = _list_values(headers, name)
    if not values:
        return None
    number = parse_decimal(values[0]) if len(values) == 1 else None
    if number is None:
        faults.append(Fault(name.decode().title(), "one decimal number"))
    return number


def _list_values(headers: Headers, name: bytes) -> list[bytes]:
    return [value.strip() for header, value in headers if header == name]


__all__ = ["RETRY_AFTER", "read_directives"]
