"""A request of a client, as its handler gets it."""

from __future__ import annotations

from dataclasses import dataclass

from vaneturn_node.http1.messages import Headers


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A whole request."""

    method: str
    target: str
    path: str
    headers: Headers  # lower-case names
    body: bytes
    arrived: float  # monotonic time, seconds


__all__ = ["ClientRequest"]
