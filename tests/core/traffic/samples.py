"""Engines and servers for tests of decisions."""

from __future__ import annotations

from vaneturn_core.identifiers import DataHall, ServiceName
from vaneturn_core.traffic.configuration import EngineProfile, ServerKind
from vaneturn_core.traffic.servers import BackendServer, LayerRange, ServerAddress, ServerId, ServerState

KINDS = {
    "a100": ServerKind("a100", 72e9, 2.4),
    "l40s": ServerKind("l40s", 43.2e9, 5.6),
    "l4": ServerKind("l4", 21.6e9, 16.0),
}
HALLS = {
    "osborne": {"a100": 1, "l40s": 3, "l4": 8},
    "welshpool": {"a100": 1, "l40s": 6, "l4": 5},
    "malaga": {"a100": 2, "l40s": 2, "l4": 5},
}
ENGINE = EngineProfile(
    model="m",
    slots=96,
    layers=80,
    layer_bytes=1750e6,
    cache_bytes=22950.0,
    step=0.00102,
    step_growth=1.1e-8,
    handover_bytes=91800,
    pipe_rate=26e9 / 8,
    usual_prompt=774,
    usual_answer=200,
    kinds=KINDS,
    delays={(DataHall(one), DataHall(other)): 0.00075 for one in HALLS for other in HALLS if one != other},
)


def make_server(
    number: int, kind: str | None, hall: str = "osborne", layers: tuple[int, int] | None = None, **changes: object
) -> BackendServer:
    fields: dict[str, object] = {
        "id": ServerId(f"i-{number}"),
        "service": ServiceName("llm"),
        "address": ServerAddress(f"10.1.0.{number}:80"),
        "hall": hall,
        "state": ServerState.READY,
        "slots": 96,
        "kind": kind,
        "layers": (LayerRange(*layers),) if layers else (),
    }
    return BackendServer(**{**fields, **changes})  # type: ignore[arg-type]


def make_fleet() -> list[BackendServer]:
    """Make the servers of the users' three halls, all empty."""
    fleet: list[BackendServer] = []
    for hall, kinds in HALLS.items():
        for kind, count in kinds.items():
            fleet += [make_server(len(fleet) + index, kind, hall) for index in range(1, count + 1)]
    return fleet
