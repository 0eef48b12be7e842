"""The state that a node shows to operators: its view, its servers, and the outcomes of requests."""

from __future__ import annotations

from msgspec import Struct


class SeenServer(Struct, frozen=True):
    """One backend server as this node sees it."""

    id: str
    service: str
    address: str
    data_hall: str
    state: str
    layers: list[tuple[int, int]]  # [first, end)
    in_progress: int  # requests of this node
    failures: int  # consecutive
    resting: float  # remaining seconds of backoff
    slowness: float  # reported by the server; above 1, it is slower than its kind
    rate_limit: float | None = None  # set by the server; requests per second from all nodes
    asked_rest: float = 0.0  # remaining seconds of the rest that the server asked for
    is_leaving: bool = False  # reported by the server


class SeenService(Struct, frozen=True):
    """A prioritized service as this node admits requests to it."""

    name: str
    limit: float  # of requests in progress, over all nodes
    in_progress: float  # over all nodes
    waiting: int  # requests of this node
    age: float  # seconds; of the figures of other nodes
    refusing_for: float | None  # seconds since the first refusal of the current overload; none without one
    shares: dict[int, float]  # admitted share of the arrivals, by priority
    customer_rates: dict[int, float]  # largest admitted requests per second of one customer, by priority
    customers: dict[str, float]  # arrivals per second of the largest customers


class SeenBlock(Struct, frozen=True):
    """An identity of requests that is blocked because servers crashed when they began to run them."""

    id: str  # hexadecimal: the part as in requests, or the content as in the log
    kind: str  # part or content
    companions: list[str]  # further ids; a request is rejected if it has all of them
    servers: list[str]  # that crashed
    software: list[str]  # of these servers: service/version
    age: float  # seconds since the newest crash
    remaining: float  # seconds until it is tried again
    is_confirmed: bool
    is_contested: bool = False  # another part or request explains nearly as many of the crashes


class SeenRetryBudget(Struct, frozen=True):
    """The part of the retry budget of a service that this node may spend; counts by reason since its start."""

    service: str
    limit: int  # retries of the slack in the window
    used: int  # of them, in the window
    earned: int  # further ones that first sends have earned and that are still valid
    nodes: int  # that share the slack
    sent: dict[str, int]
    accepted: dict[str, int]  # by a server
    declined: dict[str, int]  # for lack of budget


class SeenError(Struct, frozen=True):
    """An unexpected error."""

    place: str  # what it has ended: request, connection, or the name of a background task
    request: str
    error: str  # its type, and the line of the code
    age: float  # seconds


class TrafficState(Struct, frozen=True):
    """The view of a node and its age."""

    vm: str
    node: str
    version: int | None  # of the configuration in force
    age: float  # seconds since the store confirmed the view
    is_ready: bool
    is_stopping: bool
    has_tenure: bool
    nodes: list[str]
    relay: str | None  # the node from which it gets changes; none when it asks the store
    in_progress: int
    servers: list[SeenServer]
    services: list[SeenService] = []  # prioritized ones
    blocks: list[SeenBlock] = []  # of requests that crash servers
    retry_budgets: list[SeenRetryBudget] = []  # of services with requests since the start
    errors: list[SeenError] = []  # the newest unexpected ones
    lost_paths: dict[str, float] = {}  # seconds since no server of a service could be reached, by service


class AdmissionRecord(Struct, frozen=True):
    """Why a request to an overloaded service waited or was refused; the decision and its inputs."""

    service: str
    verdict: str
    priority: int
    share: float  # admitted share of the arrivals of its priority
    in_progress: float  # requests, over all nodes
    limit: float  # of requests in progress
    age: float  # seconds; of the figures of other nodes
    waited: float = 0.0  # seconds
    expected_wait: float | None = None  # seconds; none for a request that could not wait
    retry_after: float | None = None  # seconds
    shares: dict[int, float] = {}  # admitted share of the arrivals at that time, by priority
    customer_rates: dict[int, float] = {}  # largest admitted requests per second of one customer, by priority
    customers: dict[str, float] = {}  # arrivals per second of the largest customers at that time


class TrafficSend(Struct, frozen=True):
    """One send of a request to a server or to another node."""

    target: str
    at: float  # seconds from the arrival of the request
    connection: int  # its number within the process of the node
    exchange: int  # its number on the connection, from 1
    not_run: str = ""  # what shows that the request has not run there; empty if it may have


class TrafficRequest(Struct, frozen=True):
    """The outcome of one request; the fields are also those of its log line."""

    request: str | None
    route: str
    customer: str
    ending: str
    seconds: float
    version: int | None  # of the configuration in force at its end
    age: float  # of the view at its end: seconds since the store confirmed it
    steps: list[str]
    reason: str = ""
    cause: str = ""
    events: int = 0  # of a stream, passed on to the client
    first_event: float = 0.0  # seconds from the arrival of the request
    last_event: float = 0.0  # the same of the newest event
    longest_pause: float = 0.0  # seconds between two events
    looked: float = 0.0  # seconds from the beginning of that pause until its servers were probed; 0 if they were not
    found: float = 0.0  # the same until one of them was known to be lost or stalled
    went_on: float = 0.0  # the same until another server was asked to resume the answer
    keys_age: float = 0.0  # seconds since the store confirmed the keys, at its end
    content: str = ""  # digest of what it asks for; a retry with another id has the same digest
    shared_parts: list[str] = []  # of its prompt: ids of all parts but the last
    admission: AdmissionRecord | None = None  # of a request that was not admitted at once; not in the log line
    answer_framing: str = ""  # of the newest answer of a server that ended by itself: length, chunks or close
    answer_end: str = ""  # how its bytes ended: framed, closed, reset, silent or invalid
    answer_body_end: str = ""  # where its body ended: after event, inside event, empty, not needed or unknown
    forwarded_by: str = ""  # the node that forwarded it to this one
    sends: list[TrafficSend] = []  # in their order


__all__ = [
    "AdmissionRecord",
    "SeenBlock",
    "SeenError",
    "SeenRetryBudget",
    "SeenServer",
    "SeenService",
    "TrafficRequest",
    "TrafficSend",
    "TrafficState",
]
