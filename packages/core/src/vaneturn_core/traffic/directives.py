"""Directives that a backend server sends to a node in the header of an answer."""

from __future__ import annotations

from dataclasses import dataclass

from vaneturn_core.faults import Fault


@dataclass(frozen=True, slots=True)
class ServerDirectives:
    """The directives of one answer; a field without a value means that the server does not ask for it."""

    rate_limit: float | None = None  # requests per second from all nodes together
    is_rate_unreadable: bool = False  # a limit was given, but not as a usable number
    rest: float | None = None  # seconds for which it wants no request from this node
    is_leaving: bool = False
    faults: tuple[Fault, ...] = ()  # fields that could not be parsed


__all__ = ["ServerDirectives"]
