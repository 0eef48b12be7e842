"""Decodes the operators' configuration from the format of the platform's store."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from vaneturn_core.decoding import MalformedError, decode_json, require_unsigned
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import CustomerName, DataHall, Revision, ServiceName
from vaneturn_core.traffic.configuration import (
    BackendService,
    ClientLimits,
    EngineProfile,
    Repeatability,
    ServerKind,
    Target,
    TrafficConfiguration,
    TrafficCustomer,
    TrafficRoute,
)

CONFIGURATION_KEY = "op/config"
_S_PER_MS = 0.001
_BYTES_PER_MB = 1e6
_BYTES_PER_MBIT = 1e6 / 8
_S_PER_MS_PER_MILLION = 1e-9
_Positive = Annotated[float, Meta(gt=0)]
_Count = Annotated[int, Meta(ge=1)]


class _Backend(Struct):
    service: str
    weight: float = 1.0


class _Route(Struct):
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    name: str = ""
    slo_ms: float = 0.0
    priority: int = 5
    service: str | None = None
    backends: list[_Backend] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None


class _Kind(Struct):
    name: str
    mb: float
    pace: float = 1.0
    read_x: _Positive | None = None  # factor on reading, as pace is the factor on steps


class _Delay(Struct, rename={"one": "from", "other": "target_version"}):  # the second zone, not a version
    one: str
    other: str
    delay_ms: float


class _Model(Struct):
    name: str


class _Usual(Struct, frozen=True):
    prompt: int = 500
    answer: int = 200


class _Engine(Struct):
    slots: int = 1
    kv_token_bytes: float = 0.0  # of one token over all layers
    models: list[_Model] = []
    step_ms: float = 1.0
    per_seq_ms: float = 0.0  # added to a step by each request in progress
    context_per_k: float = 0.0  # ms added to a step by each thousand tokens of a request's context
    delays: list[_Delay] = []
    usual: _Usual = _Usual()
    layers: int = 0
    layer_mb: float = 0.0
    act_bytes: float = 0.0  # of one token, sent from one part of a chain to the next
    pipe_mbps: float = 0.0  # between two zones; 0: unlimited
    kinds: list[_Kind] = []
    read_per_s: _Positive | None = None  # prompt tokens, through all layers, with factor 1
    pairs_per_m: Annotated[float, Meta(ge=0)] | None = None  # ms per million pairs of a token and one before it
    chunk: _Count | None = None  # maximum number of prompt tokens read in one step
    stride: _Count | None = None  # token steps in one pass


class _Service(Struct):
    name: str
    engine: _Engine | None = None


class _Limits(Struct, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Document(Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


def decode_configuration(value: bytes) -> TrafficConfiguration | Fault:
    """Decode a configuration; a fault names the path of the invalid value."""
    try:
        document = decode_json(value, _Document)
        require_unsigned(document.version)
        return TrafficConfiguration(
            version=Revision(document.version),
            routes=[_convert_route(route) for route in document.routes],
            services={ServiceName(service.name): _convert_service(service) for service in document.services},
            limits=_convert_limits(document.limits),
            customers={
                key: TrafficCustomer(CustomerName(tenant.name), tenant.priority)
                for tenant in document.tenants or []
                for key in tenant.api_keys
            },
            needs_keys=document.tenants is not None,
        )
    except MalformedError as error:
        return error.fault
    except ValueError as error:
        return Fault("$", str(error))


def _convert_route(route: _Route) -> TrafficRoute:
    backends = [_Backend(route.service)] if route.service is not None else route.backends
    return TrafficRoute(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        repeatability=Repeatability(route.route_type),
        timeout=route.timeout_ms * _S_PER_MS,
        objective=route.slo_ms * _S_PER_MS,
        priority=route.priority,
        targets=tuple(Target(ServiceName(backend.service), backend.weight) for backend in backends),
        max_attempts=route.max_attempts,
        is_public=route.public,
        is_resumable=route.resumable,
        pause_objective=None if route.gap_aim_ms is None else route.gap_aim_ms * _S_PER_MS,
    )


def _convert_service(service: _Service) -> BackendService:
    engine = service.engine
    profile = _convert_engine(engine) if engine is not None and engine.models and engine.layers else None
    return BackendService(ServiceName(service.name), profile)


def _convert_engine(engine: _Engine) -> EngineProfile:
    delays = {}
    for delay in engine.delays:
        delays[DataHall(delay.one), DataHall(delay.other)] = delay.delay_ms * _S_PER_MS
        delays[DataHall(delay.other), DataHall(delay.one)] = delay.delay_ms * _S_PER_MS
    return EngineProfile(
        model=engine.models[0].name,
        slots=engine.slots,
        layers=engine.layers,
        layer_bytes=engine.layer_mb * _BYTES_PER_MB,
        cache_bytes=engine.kv_token_bytes / engine.layers,
        step=engine.step_ms * _S_PER_MS,
        step_growth=_compute_step_growth(engine),
        handover_bytes=engine.act_bytes,
        pipe_rate=engine.pipe_mbps * _BYTES_PER_MBIT or float("inf"),
        usual_prompt=engine.usual.prompt,
        usual_answer=engine.usual.answer,
        kinds={
            kind.name: ServerKind(kind.name, kind.mb * _BYTES_PER_MB, kind.pace, kind.read_x) for kind in engine.kinds
        },
        delays=delays,
        read_rate=engine.read_per_s,
        pair_time=(engine.pairs_per_m or 0.0) * _S_PER_MS_PER_MILLION,
        chunk_tokens=engine.chunk,
        pass_steps=engine.stride or 1,
    )


def _compute_step_growth(engine: _Engine) -> float:
    """Compute the seconds that each token in progress adds to a step, its share of the cost per request included."""
    tokens = max(1, engine.usual.prompt + engine.usual.answer)
    return (engine.per_seq_ms / tokens + engine.context_per_k / 1000) * _S_PER_MS


def _convert_limits(limits: _Limits) -> ClientLimits:
    return ClientLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_time=limits.header_timeout_ms * _S_PER_MS,
        idle_time=limits.idle_timeout_ms * _S_PER_MS,
    )


__all__ = ["CONFIGURATION_KEY", "decode_configuration"]
