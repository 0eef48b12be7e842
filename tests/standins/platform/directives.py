"""Records the directives that servers sent to nodes, and the requests that reached the servers."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import NamedTuple


class Arrival(NamedTuple):
    """A request that reached a server."""

    at: float  # when it was received, which may be long before a frozen server goes on
    server: str
    node: str  # address of the caller
    request: str = ""  # its id


class Directive(NamedTuple):
    """The directives in one answer to a node."""

    at: float
    server: str
    node: str
    rate_limit: float | None
    rest: float | None  # seconds
    is_leaving: bool
    passed_at: float | None = None  # when the answer had passed the node's link; None if that is not known


@dataclass
class DirectiveRecord:
    """All arrivals, in the order in which servers took them up, and directives, in order of time."""

    arrivals: list[Arrival] = field(default_factory=list)
    directives: list[Directive] = field(default_factory=list)

    def note_arrival(self, server: str, node: str, at: float, request: str) -> None:
        self.arrivals.append(Arrival(at, server, node, request))

    def note_answer(self, server: str, node: str, headers: dict[str, str]) -> int:
        """Record the directives in an answer that is about to be sent; return their place in the list."""
        limit, rest = headers.get("Server-Limit"), headers.get("Retry-After")
        if headers.keys() & {"Server-Limit", "Retry-After", "Server-Leaving"}:
            directive = Directive(
                time.monotonic(),
                server,
                node,
                float(limit) if limit is not None else None,
                float(rest) if rest is not None else None,
                "Server-Leaving" in headers,
            )
            self.directives.append(directive)
        return len(self.directives) - 1

    def note_passed(self, place: int) -> None:
        """Record that the answer with the directives at a place has passed the node's link."""
        self.directives[place] = self.directives[place]._replace(passed_at=time.monotonic())


__all__ = ["Arrival", "Directive", "DirectiveRecord"]
