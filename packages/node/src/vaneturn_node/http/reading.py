"""Parsing of requests: keys, bodies and headers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from starlette.requests import Request

from vaneturn_core.configuration.schema import Customer
from vaneturn_core.identifiers import RepeatKey
from vaneturn_core.outcomes import NotRun, Reason
from vaneturn_node.http.bodies import read_body
from vaneturn_node.http.refusing import RefusedRequest
from vaneturn_node.view import ConfigurationView

TIMEOUT_HEADER: Final = "Vaneturn-Timeout"  # seconds that the caller waits for the whole answer
REPEAT_HEADER: Final = "Vaneturn-Repeat"  # "never" marks a request that must run at most once
SESSION_HEADER: Final = "Vaneturn-Session"  # requests of one session prefer the same servers
RESUME_HEADER: Final = "Last-Event-ID"  # id of the last event that the caller received of a streamed answer
KEY_HEADER: Final = "Idempotency-Key"
DEFAULT_TIMEOUT_S: Final = 600.0
MAX_TIMEOUT_S: Final = 3600.0
_BEARER: Final = "Bearer "


@dataclass(frozen=True)
class Call:
    """The data that all requests of customers have in common."""

    customer: Customer
    body: bytes
    timeout: float  # seconds
    repeat_key: RepeatKey | None  # of a request that must run at most once


async def read_call(request: Request, customer: Customer, pause: float, *, key_required: bool) -> Call | RefusedRequest:
    """Read the parts that chat requests and calls of plain services have in common.

    :param pause: longest time without any byte of the body in seconds.
    """
    timeout = read_timeout(request)
    if isinstance(timeout, RefusedRequest):
        return timeout
    repeat_key = read_repeat_key(request, required=key_required)
    if isinstance(repeat_key, RefusedRequest):
        return repeat_key
    body = await read_body(request, timeout, pause)
    if isinstance(body, RefusedRequest):
        return body
    return Call(customer, body, timeout, repeat_key)


def read_bearer_key(request: Request) -> str:
    """Read the bearer key; return an empty string without one."""
    value = request.headers.get("Authorization", "")
    return value.removeprefix(_BEARER) if value.startswith(_BEARER) else ""


def find_customer(request: Request, view: ConfigurationView) -> Customer | RefusedRequest:
    """Find the customer by the request's bearer key."""
    if not view.configuration.revision:
        return RefusedRequest(NotRun(Reason.NO_CONFIGURATION), "this node has no configuration yet")
    customer = view.find_customer(read_bearer_key(request))
    if customer is None:
        return RefusedRequest(NotRun(Reason.UNKNOWN_KEY), "unknown key")
    return customer


def read_timeout(request: Request) -> float | RefusedRequest:
    """Read the seconds that the caller waits."""
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return DEFAULT_TIMEOUT_S
    try:
        timeout = float(text)
    except ValueError:
        timeout = 0.0
    if not 0 < timeout <= MAX_TIMEOUT_S:
        return RefusedRequest(NotRun(Reason.MALFORMED), f"{TIMEOUT_HEADER}: expected seconds up to {MAX_TIMEOUT_S}")
    return timeout


def read_repeat_key(request: Request, *, required: bool) -> RepeatKey | RefusedRequest | None:
    """Read the key of a request that must run at most once; return None if it may be repeated."""
    marked = request.headers.get(REPEAT_HEADER, "").lower() == "never"
    if not marked and not required:
        return None
    key = request.headers.get(KEY_HEADER, "")
    if not key:
        message = f"a request that must not be repeated needs the header {KEY_HEADER}"
        return RefusedRequest(NotRun(Reason.MALFORMED), message)
    return RepeatKey(key)


__all__ = [
    "DEFAULT_TIMEOUT_S",
    "RESUME_HEADER",
    "SESSION_HEADER",
    "Call",
    "RefusedRequest",
    "find_customer",
    "read_bearer_key",
    "read_call",
]
