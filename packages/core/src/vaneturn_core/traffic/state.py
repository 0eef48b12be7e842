"""What a node tells operators of its traffic: its view, its servers, and what became of requests."""

from __future__ import annotations

from msgspec import Struct


class SeenServer(Struct, frozen=True):
    """One backend server as a node sees it."""

    id: str
    service: str
    address: str
    data_hall: str
    state: str
    layers: list[tuple[int, int]]  # [first, end)
    in_progress: int  # requests of this node
    failures: int  # in a row
    resting: float  # seconds for which it gets no new work
    slowness: float  # over 1: slower than its kind, by its own word
    rate_limit: float | None = None  # requests a second from all nodes that it takes, by its own word
    asked_rest: float = 0.0  # seconds for which it wants no request from this node
    is_leaving: bool = False  # by its own word


class TrafficState(Struct, frozen=True):
    """What a node believes, and how old that is."""

    vm: str
    node: str
    version: int | None  # of the configuration in force
    age: float  # seconds since the store confirmed what is believed
    is_ready: bool
    is_stopping: bool
    has_tenure: bool
    nodes: list[str]
    relay: str | None  # the node that tells it of changes; none when it asks the store
    in_progress: int
    servers: list[SeenServer]


class TrafficRequest(Struct, frozen=True):
    """What became of one request; the fields stand in the log line as well."""

    request: str | None
    route: str
    customer: str
    ending: str
    seconds: float
    version: int | None  # of the configuration in force at its end
    age: float  # seconds since the store had confirmed it
    steps: list[str]
    reason: str = ""
    cause: str = ""
    events: int = 0  # of a stream, passed on
    first_event: float = 0.0  # seconds from its arrival
    longest_pause: float = 0.0  # seconds between two of them
    looked: float = 0.0  # seconds into that pause until its servers were asked; 0 if they were not
    found: float = 0.0  # until one of them was known to be lost or to stall
    went_on: float = 0.0  # until another server was asked to go on
    content: str = ""  # digest of what it asks for, the same when it comes again under another id


__all__ = ["SeenServer", "TrafficRequest", "TrafficState"]
