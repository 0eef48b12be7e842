"""The operators' configuration as the traffic sees it, indexed for requests."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from vaneturn_core.identifiers import CustomerName, DataHall, Revision, ServiceName


class Repeatability(Enum):
    """What may be done again after a try whose outcome is unknown."""

    SAFE = "safe"  # may run any number of times
    UNSAFE = "unsafe"  # runs at most once
    STREAM = "stream"  # a series of events; at most once unless the route is resumable


@dataclass(frozen=True, slots=True)
class Target:
    """A service that carries a part of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class TrafficRoute:
    """What operators say of the requests under one path prefix of a host."""

    name: str
    host: str
    prefix: str  # begins and ends with a slash
    repeatability: Repeatability
    timeout: float  # seconds from the arrival of a request to its last byte
    objective: float  # seconds to the answer, or to the first event
    priority: int  # 0 is served first
    targets: tuple[Target, ...]
    max_attempts: int  # backend servers that one request may run on
    is_public: bool  # needs no key
    is_resumable: bool
    pause_objective: float | None  # seconds between two events

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may run a second time."""
        return self.repeatability is Repeatability.SAFE or self.is_resumable


@dataclass(frozen=True, slots=True)
class ServerKind:
    """A kind of accelerator."""

    name: str
    bytes: float
    step_factor: float  # on the times of steps and of context


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """How the engines of a service run their model; times are for all layers on a kind of factor 1."""

    model: str
    slots: int
    layers: int
    layer_bytes: float
    cache_bytes: float  # of one token on one layer
    step: float  # seconds of a token step
    step_growth: float  # seconds that each token of the requests in progress adds to a token step
    handover_bytes: float  # of a token's activations, from one server of a chain to the next
    pipe_rate: float  # bytes a second between two data halls, shared by all
    usual_prompt: int  # tokens
    usual_answer: int  # tokens
    kinds: Mapping[str, ServerKind]
    delays: Mapping[tuple[DataHall, DataHall], float]  # seconds one way between data halls


@dataclass(frozen=True, slots=True)
class BackendService:
    """A service and, for a model, its engines."""

    name: ServiceName
    engine: EngineProfile | None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_time: float = 3.0  # seconds from the first byte of a request to the end of its head
    idle_time: float = 15.0  # seconds


@dataclass(frozen=True, slots=True)
class TrafficCustomer:
    """A customer and the rank of its requests, if it has one of its own."""

    name: CustomerName
    priority: int | None


@dataclass(frozen=True)
class TrafficConfiguration:
    """One version of the configuration, whole."""

    version: Revision
    routes: Sequence[TrafficRoute]
    services: Mapping[ServiceName, BackendService]
    limits: ClientLimits
    customers: Mapping[str, TrafficCustomer]  # by key
    needs_keys: bool
    _by_host: dict[str, dict[str, TrafficRoute]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: defaultdict[str, dict[str, TrafficRoute]] = defaultdict(dict)
        for route in self.routes:
            by_host[route.host][route.prefix] = route
        object.__setattr__(self, "_by_host", dict(by_host))

    def find_route(self, host: str, path: str) -> TrafficRoute | None:
        """Find the route of the host whose prefix is the longest that begins the path."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


__all__ = [
    "BackendService",
    "ClientLimits",
    "EngineProfile",
    "Repeatability",
    "ServerKind",
    "Target",
    "TrafficConfiguration",
    "TrafficCustomer",
    "TrafficRoute",
]
