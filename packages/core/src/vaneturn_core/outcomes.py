"""Outcomes of work sent to a backend server; returned as values, never raised as exceptions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Reason(Enum):
    """Why work was refused or its outcome is unknown; the value appears in answers, logs and metrics."""

    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    TOO_MANY_HEADERS = "too_many_headers"
    BODY_TOO_SLOW = "body_too_slow"
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    CUSTOMER_LIMIT = "customer_limit"
    OVERLOAD = "overload"
    DEADLINE = "deadline"
    STOPPING = "stopping"
    CLAIMED = "claimed"
    CLAIM_STORE_DOWN = "claim_store_down"
    CLAIM_OWNER_AWAY = "claim_owner_away"
    KEY_TOO_OLD = "key_too_old"
    KEY_WITHOUT_TIME = "key_without_time"
    KEY_FROM_THE_FUTURE = "key_from_the_future"
    CONNECTION_LOST = "connection_lost"
    NOT_RESUMABLE = "not_resumable"
    SUPERSEDED = "superseded"


@dataclass(frozen=True)
class Completed:
    """A plain service answered in full."""

    status: int
    content_type: str
    body: bytes
    retry_after: str | None = None  # header value as sent by the server


@dataclass(frozen=True)
class NotRun:
    """No byte of the work was sent to a server, or the server replied that it did not run it."""

    reason: Reason
    retry_after: float = 1.0  # seconds


@dataclass(frozen=True)
class Unknown:
    """The work may have run."""

    reason: Reason


Outcome = Completed | NotRun | Unknown

__all__ = ["Completed", "NotRun", "Outcome", "Reason", "Unknown"]
