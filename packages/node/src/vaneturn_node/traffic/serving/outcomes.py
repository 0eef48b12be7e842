"""Outcomes of one try at one server, and the answers that this node makes itself."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

from vaneturn_core.traffic.retries import RetryReason
from vaneturn_node.http1.messages import Headers
from vaneturn_node.traffic.serving.sends import Evidence


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request has not run where it was sent, and will not; only the functions of `notrun` make this outcome."""

    cause: str
    evidence: Evidence
    is_unreachable: bool = False  # the server did not even accept a connection
    has_no_path: bool = False  # this node reaches no server of the service
    is_rate_limited: bool = False  # it was not sent, because of the server's rate limit


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """At least one byte was sent, and no whole answer came back."""

    cause: str
    has_no_memory: bool = False  # one came, but this node had no room for it


@dataclass(frozen=True, slots=True)
class Answered:
    """The server answered in full."""

    status: int
    headers: Headers
    body: bytes


TryOutcome = NotRun | MayHaveRun | Answered


def classify_retry(outcome: TryOutcome | None) -> RetryReason:
    """Tell why a request is sent once more, from how its previous try ended.

    :param outcome: none if another node made that try.
    """
    if isinstance(outcome, Answered):
        return RetryReason.FAILED
    if isinstance(outcome, NotRun) and not outcome.is_unreachable and not outcome.has_no_path:
        return RetryReason.REFUSED
    return RetryReason.LOST


class Reason(Enum):
    """Why this node answers a request itself; the values appear in answers, logs and metrics."""

    INTERNAL_ERROR = "internal_error"  # an unexpected error of this node; no server got the request
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"
    KEYS_TOO_OLD = "keys_too_old"
    NO_SERVER = "no_server"
    NO_PATH = "no_path"  # neither this node nor any that it has asked reaches a server of the service
    NO_CHAIN = "no_chain"
    CROSSINGS_FULL = "crossings_full"
    SERVERS_LIMITED = "servers_limited"
    NOT_RUN = "not_run"
    RETRY_BUDGET = "retry_budget"  # servers refused it, and this node may not retry for now
    MAY_HAVE_RUN = "may_have_run"
    TIMEOUT = "timeout"
    STOPPING = "stopping"  # the request may not end before this node does
    ENDS_SERVERS = "ends_servers"
    QUARANTINED = "quarantined"  # requests like it may crash servers; one of them is tried first
    OVERLOADED = "overloaded"  # the service has no free capacity
    CUSTOMER_SHARE = "customer_share"  # the customer sends more than its share of an overloaded service


@dataclass(frozen=True, slots=True)
class OwnAnswer:
    """An answer that this node makes itself; 503 promises that the request has not run and never will."""

    status: int
    reason: Reason
    retry_after: float | None = None  # seconds
    cause: str = ""


REFUSAL_STATUS: Final = 503  # promises that the request has not run


def refuse(reason: Reason, retry_after: float, cause: str = "") -> OwnAnswer:
    """Refuse a request that has not run."""
    return OwnAnswer(REFUSAL_STATUS, reason, retry_after, cause)


__all__ = [
    "REFUSAL_STATUS",
    "Answered",
    "MayHaveRun",
    "NotRun",
    "OwnAnswer",
    "Reason",
    "TryOutcome",
    "classify_retry",
    "refuse",
]
