"""Messages of a node's operator interface."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from vaneturn_core.configuration.schema import Change, Configuration
from vaneturn_core.identifiers import ChangeId, CustomerName, DataHall, NodeId, PipelineName, RequestId, Revision, VmId


class ChangeStatus(Enum):
    """Status of a configuration change."""

    APPLIED = "applied"
    REJECTED = "rejected"  # the declared configuration has faults
    OVERTAKEN = "overtaken"  # another change was applied first
    NOT_ACCEPTED = "not_accepted"  # the key-value service could not be read
    UNSETTLED = "unsettled"  # the result is not known yet
    UNKNOWN = "unknown"  # no change with this id is kept


class ProposalBody(Struct, forbid_unknown_fields=True, frozen=True):
    """A configuration change as sent by the command line."""

    id: Annotated[ChangeId, Meta(min_length=8)]
    summary: str
    based_on: Revision
    declared: Configuration


class ChangeAnswer(Struct, frozen=True, omit_defaults=True):
    """The result of a configuration change."""

    result: ChangeStatus
    change: Change | None = None  # the change itself, or the one that was applied first
    faults: tuple[str, ...] = ()
    cause: str = ""


class ServerState(Struct, frozen=True):
    """State of a backend server as known to this node."""

    vm: VmId
    connected: bool
    in_progress: int
    latency: float  # seconds
    limit: float
    ejected: bool
    leaving: list[str]
    held: list[str] = []  # model parts that are ready
    loading: list[str] = []
    ending: list[str] = []  # kept for the sessions that use them, closed to new ones


class SessionState(Struct, frozen=True):
    """An answer in progress on this node."""

    request: RequestId
    customer: str
    pipeline: str
    routes: list[str]
    recoveries: int


class NodeState(Struct, frozen=True):
    """A node's answer to an operator's state query."""

    node: NodeId
    vm: VmId
    data_hall: DataHall
    stopping: bool
    revision: Revision
    digest: str
    servers: list[ServerState]
    sessions: list[SessionState]
    bounds: dict[PipelineName, float]
    fence: int = 0  # of its orders to engines; 0 on a node that sends none


class EndedRequest(Struct, frozen=True):
    """Result of an ended request."""

    request: RequestId
    customer: CustomerName
    target: str  # pipeline or service
    outcome: str  # completed, notrun or unknown
    reason: str
    seconds: float
    tokens: int
    vm: VmId


__all__ = [
    "ChangeAnswer",
    "ChangeStatus",
    "EndedRequest",
    "NodeState",
    "ProposalBody",
    "ServerState",
    "SessionState",
]
