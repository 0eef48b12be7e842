"""Backend servers: names, ids, and their entries in the list of servers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, NewType

from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.configuration import EngineProfile

ServerName = NewType("ServerName", str)  # of a backend server; stays the same when it restarts
ServerId = NewType("ServerId", str)  # of one start of a backend server; its status ends with that start
Software = NewType("Software", str)  # service and version of what a server runs
ServerAddress = NewType("ServerAddress", str)  # IP address and port; another server may get it later


def identify_start(name: ServerName, born: int | None) -> ServerId:
    """Return the id of one start of a server."""
    return ServerId(name if born is None else f"{name}@{born}")


class ServerLoad(NamedTuple):
    """Requests in progress on a server."""

    leading: int  # whose first server it is
    reserved: float  # tokens times layers


class Slowness(NamedTuple):
    """How much slower a server is than its kind, by its own report."""

    factor: float  # above 1, it is slower
    measured_at: float  # monotonic time


class ServerState(Enum):
    """The state that a server reports for itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class LayerRange:
    """The layers [first, end)."""

    first: int
    end: int

    def __len__(self) -> int:
        return self.end - self.first

    def list(self) -> range:
        """List the numbers of the layers."""
        return range(self.first, self.end)


@dataclass(frozen=True, slots=True)
class BackendServer:
    """The newest entry of a server in the list."""

    id: ServerId
    name: ServerName
    service: ServiceName
    address: ServerAddress
    hall: str
    state: ServerState
    slots: int
    kind: str | None  # of its accelerator; none for a plain service
    layers: tuple[LayerRange, ...]  # loaded and ready for requests
    version: str = ""  # of its software
    born: int | None = None  # start time in Unix milliseconds; none on platforms that do not report it

    @property
    def software(self) -> Software:
        """Name its software; servers of two services may have the same version and still run different programs."""
        return Software(f"{self.service}/{self.version}")

    @property
    def can_lead(self) -> bool:
        """Tell whether requests may be sent to it: it belongs to a plain service or holds the first layer."""
        return self.kind is None or any(layers.first == 0 for layers in self.layers)

    def compute_room(self, engine: EngineProfile) -> float:
        """Compute the memory that is not used by its layers, in tokens times layers."""
        kind = engine.kinds.get(self.kind or "")
        if kind is None:
            return 0.0
        held = sum(len(layers) for layers in self.layers)
        return max(0.0, kind.bytes - held * engine.layer_bytes) / engine.cache_bytes


__all__ = [
    "BackendServer",
    "LayerRange",
    "ServerAddress",
    "ServerId",
    "ServerLoad",
    "ServerName",
    "ServerState",
    "Slowness",
    "Software",
    "identify_start",
]
