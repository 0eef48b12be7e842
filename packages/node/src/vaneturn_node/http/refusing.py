"""Requests that are refused before they run."""

from __future__ import annotations

from dataclasses import dataclass

from vaneturn_core.outcomes import NotRun


@dataclass(frozen=True)
class RefusedRequest:
    """A request that is invalid or not allowed, and why."""

    outcome: NotRun
    message: str


__all__ = ["RefusedRequest"]
