"""Error answers to requests that were refused or whose outcome is unknown."""

from __future__ import annotations

import math
from typing import Final

import msgspec
from starlette.responses import Response

from vaneturn_core.identifiers import RequestId
from vaneturn_core.outcomes import NotRun, Reason, Unknown
from vaneturn_node.http.chatformat import ErrorBody, ErrorDetail

REQUEST_HEADER: Final = "Vaneturn-Request"  # the id by which operators find the request

_STATUSES: Final = {
    Reason.UNKNOWN_KEY: 401,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.MALFORMED: 400,
    Reason.TOO_LARGE: 413,
    Reason.TOO_MANY_HEADERS: 431,
    Reason.BODY_TOO_SLOW: 408,
    Reason.CUSTOMER_LIMIT: 429,
    Reason.CLAIMED: 409,
    Reason.KEY_TOO_OLD: 409,
    Reason.KEY_WITHOUT_TIME: 400,
    Reason.KEY_FROM_THE_FUTURE: 400,
    Reason.NOT_RESUMABLE: 409,
}
_DEFAULT_STATUS: Final = 503
_UNKNOWN_STATUS: Final = 502
_RETRYABLE_STATUSES: Final = frozenset({429, *range(500, 600)})
_TYPES: Final = {
    400: "invalid_request_error",
    408: "invalid_request_error",
    401: "authentication_error",
    429: "rate_limit_error",
}


def describe_error(outcome: NotRun | Unknown, message: str = "") -> ErrorBody:
    """Describe an outcome in the chat-completions format."""
    may_have_run = isinstance(outcome, Unknown)
    status = find_status(outcome)
    text = message or ("the request may have run" if may_have_run else "the request was not run")
    detail = ErrorDetail(
        text, _TYPES.get(status, "server_error"), outcome.reason.value, "unknown" if may_have_run else "not_run"
    )
    return ErrorBody(detail)


def find_status(outcome: NotRun | Unknown) -> int:
    """Find the HTTP status of an outcome."""
    if isinstance(outcome, Unknown) and outcome.reason not in _STATUSES:
        return _UNKNOWN_STATUS
    return _STATUSES.get(outcome.reason, _DEFAULT_STATUS)


def answer_error(outcome: NotRun | Unknown, message: str = "", request: RequestId | None = None) -> Response:
    """Make an error answer; a temporary refusal says when to retry."""
    status = find_status(outcome)
    headers: dict[str, str] = {REQUEST_HEADER: request} if request else {}
    if isinstance(outcome, NotRun) and status in _RETRYABLE_STATUSES:
        headers["Retry-After"] = str(max(1, math.ceil(outcome.retry_after)))
    body = msgspec.json.encode(describe_error(outcome, message))
    return Response(body, status, headers, "application/json")


__all__ = ["REQUEST_HEADER", "answer_error", "describe_error", "find_status"]
