"""The part of the operators' configuration that concerns traffic, indexed for requests."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from vaneturn_core.identifiers import CustomerName, DataHall, Revision, ServiceName


class Repeatability(Enum):
    """Whether a request may be repeated after a try whose outcome is unknown."""

    SAFE = "safe"  # may run any number of times
    UNSAFE = "unsafe"  # runs at most once
    STREAM = "stream"  # a series of events; at most once unless the route is resumable


@dataclass(frozen=True, slots=True)
class Target:
    """A service that gets a share of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class TrafficRoute:
    """The operators' rules for requests under one path prefix of a host."""

    name: str
    host: str
    prefix: str  # of the path; begins and ends with a slash
    repeatability: Repeatability
    timeout: float  # seconds from the arrival of a request to its last byte
    objective: float  # seconds to the answer, or to the first event of a stream
    priority: int  # 0 is the highest
    targets: tuple[Target, ...]
    max_attempts: int  # largest number of backend servers that one request may run on
    is_public: bool  # needs no key
    is_resumable: bool
    pause_objective: float | None  # longest acceptable pause between two events, seconds

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may run a second time."""
        return self.repeatability is Repeatability.SAFE or self.is_resumable


@dataclass(frozen=True, slots=True)
class ServerKind:
    """A kind of accelerator."""

    name: str
    bytes: float
    step_factor: float  # multiplies the times of steps and of their growth
    read_factor: float | None = None  # multiplies the time to read a prompt


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """How the engines of a service run their model; times are for all layers on a kind with step factor 1."""

    model: str
    slots: int  # requests that a server runs at once
    layers: int
    layer_bytes: float
    cache_bytes: float  # cache of one token on one layer
    step: float  # seconds per token step
    step_growth: float  # seconds that each token of the requests in progress adds to a token step
    handover_bytes: float  # activations of one token, sent from one server of a chain to the next
    pipe_rate: float  # bytes per second of the link between two data halls, shared by all
    usual_prompt: int  # tokens
    usual_answer: int  # tokens
    kinds: Mapping[str, ServerKind]
    delays: Mapping[tuple[DataHall, DataHall], float]  # one-way network delay between data halls, seconds
    read_rate: float | None = None  # prompt tokens read per second; without it, reading times are unknown
    pair_time: float = 0.0  # seconds of reading for each pair of a token and one before it
    chunk_tokens: int | None = None  # largest number of prompt tokens read in one step
    pass_steps: int = 1  # token steps in one pass


@dataclass(frozen=True, slots=True)
class BackendService:
    """A service and, for a model, its engines."""

    name: ServiceName
    engine: EngineProfile | None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size of a client's request and on the time to send it."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_time: float = 3.0  # seconds from the first byte of a request to the end of its head; longest pause of a body
    idle_time: float = 15.0  # seconds between requests on a connection; longest time of a request to arrive


@dataclass(frozen=True, slots=True)
class TrafficCustomer:
    """A customer and the priority of its requests, if it differs from that of the route."""

    name: CustomerName
    priority: int | None


@dataclass(frozen=True)
class TrafficConfiguration:
    """One complete version of the configuration."""

    version: Revision
    routes: Sequence[TrafficRoute]
    services: Mapping[ServiceName, BackendService]
    limits: ClientLimits
    customers: Mapping[str, TrafficCustomer]  # by key
    needs_keys: bool
    _by_host: dict[str, dict[str, TrafficRoute]] = field(init=False, repr=False, compare=False)
    _shortest_objectives: Mapping[ServiceName, float] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: defaultdict[str, dict[str, TrafficRoute]] = defaultdict(dict)
        for route in self.routes:
            by_host[route.host][route.prefix] = route
        object.__setattr__(self, "_by_host", dict(by_host))
        object.__setattr__(self, "_shortest_objectives", _find_shortest_objectives(self.routes))

    def get_shortest_objective(self, service: ServiceName) -> float | None:
        """Return the shortest objective of the streams of a prioritized service; none for other services."""
        return self._shortest_objectives.get(service)

    def list_engines(self) -> list[ServiceName]:
        """List the services whose servers run models."""
        return [name for name, service in self.services.items() if service.engine is not None]

    def find_route(self, host: str, path: str) -> TrafficRoute | None:
        """Find the route of the host with the longest prefix that matches the path."""
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


def _find_shortest_objectives(routes: Sequence[TrafficRoute]) -> dict[ServiceName, float]:
    """Find the shortest objective of each service whose streaming routes have at least two priorities."""
    priorities: defaultdict[ServiceName, set[int]] = defaultdict(set)
    objectives: defaultdict[ServiceName, list[float]] = defaultdict(list)
    for route in routes:
        for target in route.targets if route.repeatability is Repeatability.STREAM else ():
            priorities[target.service].add(route.priority)
            objectives[target.service] += [route.objective] if route.objective > 0 else []
    return {service: min(known) for service, known in objectives.items() if known and len(priorities[service]) > 1}


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
