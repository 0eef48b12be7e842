"""Bodies of requests, within the byte budget of the process and with a limit on their time."""

from __future__ import annotations

from typing import Final

import anyio
from starlette.requests import Request

from vaneturn_core.outcomes import NotRun, Reason
from vaneturn_node.bytebudget import BudgetUsedUpError
from vaneturn_node.http.bounding import NO_MEMORY, RequestBounds, find_bounds
from vaneturn_node.http.refusing import RefusedRequest

MAX_BODY_BYTES: Final = 8 << 20
HELD_PER_BYTE: Final = 2  # copies of a whole body: the parsed content, or the request that is sent on
TOO_LARGE: Final = RefusedRequest(NotRun(Reason.TOO_LARGE), f"the body exceeds {MAX_BODY_BYTES} bytes")
_LEFT: Final = RefusedRequest(NotRun(Reason.CONNECTION_LOST), "the client left before the end of the body")
_TOO_SLOW: Final = RefusedRequest(NotRun(Reason.BODY_TOO_SLOW), "the body took too long to arrive")


async def read_body(request: Request, timeout: float, pause: float) -> bytes | RefusedRequest:  # noqa: ASYNC109 # an outcome, not an error
    """Read the whole body; its bytes stay in the budget until the request has ended.

    :param timeout: longest time for the whole body in seconds.
    :param pause: longest time without any byte of it in seconds.
    """
    if int(request.headers.get("Content-Length", "0") or 0) > MAX_BODY_BYTES:
        return TOO_LARGE
    bounds = find_bounds(request)
    body = bytearray()
    with anyio.CancelScope() as evicted:
        bounds.holder.on_evict = evicted.cancel
        try:
            with anyio.move_on_after(timeout):
                return await _read_parts(request, body, bounds, pause)
        except BudgetUsedUpError:
            return NO_MEMORY
        return _TOO_SLOW
    return NO_MEMORY


async def _read_parts(request: Request, body: bytearray, bounds: RequestBounds, pause: float) -> bytes | RefusedRequest:
    while True:
        with anyio.move_on_after(pause) as waiting:
            message = await request.receive()
        if waiting.cancelled_caught:
            return _TOO_SLOW
        if message["type"] == "http.disconnect":
            return _LEFT
        part = message.get("body", b"")
        if len(body) + len(part) > MAX_BODY_BYTES:
            return TOO_LARGE
        bounds.hold_body(len(body) + len(part))
        body += part
        if not message.get("more_body", False):
            bounds.holder.complete()
            bounds.hold_body(HELD_PER_BYTE * len(body))
            return bytes(body)


__all__ = ["MAX_BODY_BYTES", "read_body"]
