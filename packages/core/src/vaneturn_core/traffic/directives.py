"""What a backend server asks of a node in the head of an answer."""

from __future__ import annotations

from dataclasses import dataclass

from vaneturn_core.faults import Fault


@dataclass(frozen=True, slots=True)
class ServerDirectives:
    """What one answer says; absent fields say that the server does not ask for it."""

    rate_limit: float | None = None  # requests a second from all nodes together
    is_rate_unreadable: bool = False  # a limit was named, but not as a number that can be kept
    rest: float | None = None  # seconds for which it wants no request from this node
    is_leaving: bool = False
    faults: tuple[Fault, ...] = ()  # fields that could not be read


__all__ = ["ServerDirectives"]
