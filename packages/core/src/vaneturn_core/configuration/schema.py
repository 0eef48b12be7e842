"""Schema of the configuration document; unknown keys are rejected."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from vaneturn_core.identifiers import (
    ChangeId,
    ClassName,
    CustomerName,
    DataHall,
    PipelineName,
    Revision,
    ServiceName,
    VmId,
)
from vaneturn_core.settings import Address

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Count = Annotated[int, Meta(ge=1)]
Rate = Annotated[float, Meta(gt=0)]
Priority = Annotated[int, Meta(ge=0, le=9, description="0 is served first")]


class Preference(Enum):
    """What a pipeline weighs more when the two conflict."""

    THROUGHPUT = "throughput"
    RECOVERY = "recovery"


class ClaimMode(Enum):
    """How requests that must run at most once are claimed."""

    BY_KEY = "by_key"  # with a compare-and-swap in the key-value service for each request
    BY_SLOT = "by_slot"  # at the node that owns the key's slot; keys must be UUIDs of version 7


class Server(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A backend server VM."""

    vm: VmId
    address: Address
    data_hall: DataHall
    accelerator: str = ""
    checks_fence: bool = False  # whether it rejects orders with an older fencing number
    memory: Annotated[int, Meta(ge=0)] = 0  # bytes for weights; 0 means unlimited


class Stage(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The layers [first, end) of a pipeline that one server may run."""

    vm: VmId
    first: Annotated[int, Meta(ge=0)]
    end: Count
    rate: Rate  # tokens per second over the whole range


class Pipeline(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A model with its version and adapter, and the servers of each of its parts."""

    name: PipelineName
    model: Name
    version: Name
    previous_version: Name | None = None  # keeps serving until all servers have the new version
    adapter: Name | None = None
    layers: Count
    layer_bytes: Annotated[int, Meta(ge=0)] = 0  # weights of one layer
    stages: tuple[Stage, ...]
    preference: Preference = Preference.THROUGHPUT
    token_time: Rate = 0.058  # target seconds between tokens
    cache_bytes: Count = 4096  # of the KV cache, per position and layer


class Service(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A plain HTTP service beside the model engines."""

    name: ServiceName
    servers: Annotated[tuple[VmId, ...], Meta(min_length=1)]
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")  # requests with other methods need an Idempotency-Key


class WorkClass(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A kind of work, its priority and its share under load."""

    name: ClassName
    priority: Priority
    weight: Rate = 1.0
    max_wait: Annotated[float, Meta(ge=0)] = 1.0  # seconds in the queue of a pipeline


class Customer(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A customer and its limits."""

    name: CustomerName
    key_sha256: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]  # of the bearer key, which is not stored
    work_class: ClassName
    max_in_progress: Count = 64  # requests on one node


class Link(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The expected link between two data halls."""

    halls: tuple[DataHall, DataHall]
    latency: Annotated[float, Meta(ge=0)]  # seconds, one way
    bandwidth: Rate  # bytes per second


class Change(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One accepted change; the newest are kept in the document."""

    id: ChangeId
    revision: Revision
    operator: str
    time: float  # seconds since the epoch
    summary: str = ""


class Configuration(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The whole document, held as one value under one key."""

    revision: Revision = Revision(0)
    changes: tuple[Change, ...] = ()
    servers: tuple[Server, ...] = ()
    pipelines: tuple[Pipeline, ...] = ()
    services: tuple[Service, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    customers: tuple[Customer, ...] = ()
    links: tuple[Link, ...] = ()
    draining: tuple[VmId, ...] = ()
    loads_at_once: Count = 4  # engines that may load from the weight store at a time
    claims: ClaimMode = ClaimMode.BY_KEY  # BY_SLOT cannot be reverted, since claims by slot are not in the store


__all__ = [
    "Change",
    "ClaimMode",
    "Configuration",
    "Customer",
    "Link",
    "Pipeline",
    "Preference",
    "Server",
    "Service",
    "Stage",
    "WorkClass",
]
