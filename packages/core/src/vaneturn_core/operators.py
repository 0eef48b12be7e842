"""Messages of the operators' interface of a node."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from vaneturn_core.configuration.schema import Change, Configuration
from vaneturn_core.identifiers import ChangeId, CustomerName, DataHall, NodeId, PipelineName, RequestId, Revision, VmId


class ChangeStatus(Enum):
    """What became of a change."""

    APPLIED = "applied"
    REJECTED = "rejected"  # the declarations have faults
    OVERTAKEN = "overtaken"  # another change came first
    NOT_ACCEPTED = "not_accepted"  # the key-value service could not be read
    UNSETTLED = "unsettled"  # not known yet
    UNKNOWN = "unknown"  # no change with this id is remembered


class ProposalBody(Struct, forbid_unknown_fields=True, frozen=True):
    """A change as the command line sends it."""

    id: Annotated[ChangeId, Meta(min_length=8)]
    summary: str
    based_on: Revision
    declared: Configuration


class ChangeAnswer(Struct, frozen=True, omit_defaults=True):
    """What became of a change."""

    result: ChangeStatus
    change: Change | None = None  # the change itself, or the one that came first
    faults: tuple[str, ...] = ()
    cause: str = ""


class ServerState(Struct, frozen=True):
    """A backend server as this node sees it."""

    vm: VmId
    connected: bool
    in_progress: int
    latency: float  # seconds
    limit: float
    ejected: bool
    leaving: list[str]
    held: list[str] = []  # parts of models that are ready
    loading: list[str] = []
    ending: list[str] = []  # kept for the sessions on them


class SessionState(Struct, frozen=True):
    """An answer in progress on this node."""

    request: RequestId
    customer: str
    pipeline: str
    routes: list[str]
    recoveries: int


class NodeState(Struct, frozen=True):
    """What a node answers to an operator's query."""

    node: NodeId
    vm: VmId
    data_hall: DataHall
    stopping: bool
    revision: Revision
    digest: str
    servers: list[ServerState]
    sessions: list[SessionState]
    bounds: dict[PipelineName, float]
    fence: int = 0  # of its orders to engines; 0 on a node that gives none


class EndedRequest(Struct, frozen=True):
    """What became of a request."""

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
