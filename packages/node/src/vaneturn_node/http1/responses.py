"""The ends of answers that were read with httpx, which takes any orderly close for the end of a body."""

from __future__ import annotations

from typing import Final

import httpx

from vaneturn_core.traffic.completeness import AnswerEnd, BodyEnd, Ending, Framing, find_document_end
from vaneturn_node.http1.messages import BODILESS_STATUSES

JSON_TYPE: Final = "application/json"


def find_framing(response: httpx.Response) -> Framing:
    """Find how the end of the body is marked (RFC 9112, section 6.3)."""
    if response.request.method == "HEAD" or response.status_code in BODILESS_STATUSES:
        return Framing.LENGTH
    if "Transfer-Encoding" in response.headers:
        return Framing.CHUNKS
    return Framing.LENGTH if "Content-Length" in response.headers else Framing.CLOSE


def find_end(response: httpx.Response, body: bytes) -> AnswerEnd:
    """Describe the end of an answer whose body was read without an error."""
    framing = find_framing(response)
    media_type = response.headers.get("Content-Type", "").partition(";")[0].strip().lower()
    body_end = find_document_end(body) if media_type == JSON_TYPE else BodyEnd.UNKNOWN
    return AnswerEnd(framing, Ending.CLOSED if framing is Framing.CLOSE else Ending.FRAMED, body_end)


__all__ = ["find_end", "find_framing"]
