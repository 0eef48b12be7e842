"""Time of one choice of a chain and of one layout, by the number of servers; ratios to the smallest fleet."""

from __future__ import annotations

import dataclasses
import statistics
import time
from collections.abc import Callable

from core.traffic.samples import ENGINE, make_fleet
from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.chains import ChainChooser
from vaneturn_core.traffic.layermap import LayerMap
from vaneturn_core.traffic.layout import LayoutPlanner
from vaneturn_core.traffic.servers import BackendServer, ServerAddress, ServerId, ServerName

FLEETS = (1, 3, 25)  # times the users' 33 servers
ROUNDS = 9


def make_fleets(times: int) -> list[BackendServer]:
    return [
        dataclasses.replace(
            one,
            id=ServerId(f"{one.id}-{copy}"),
            name=ServerName(f"{one.id}-{copy}"),
            address=ServerAddress(f"{one.address}{copy}"),
        )
        for copy in range(times)
        for one in make_fleet()
    ]


def measure(action: Callable[[], object]) -> float:
    times = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        action()
        times.append(time.perf_counter() - started)
    return statistics.median(times)


def main() -> None:
    first: tuple[float, float] | None = None
    for times in FLEETS:
        fleet = make_fleets(times)
        planner_time = measure(lambda fleet=fleet: LayoutPlanner(ENGINE, fleet).plan_empty())  # type: ignore[misc]
        held = {one.server.id: (one.layers,) for one in LayoutPlanner(ENGINE, fleet).plan_empty()}
        placed = [dataclasses.replace(server, layers=held.get(server.id, ())) for server in fleet]
        layer_map = LayerMap(ENGINE, placed)
        chooser = ChainChooser(
            layer_map=layer_map,
            statuses=ServerStatuses(),
            node=VmId("entry-1"),
            hall=DataHall("osborne"),
            share=8.0,
            prompt=774.0,
            tokens=974.0,
            now=0.0,
        )
        choice_time = measure(lambda chooser=chooser, placed=placed: chooser.choose(placed))  # type: ignore[misc]
        first = first or (choice_time, planner_time)
        print(
            f"{len(fleet)} servers: choice {choice_time * 1000:.1f} ms (x {choice_time / first[0]:.1f}),"
            f" layout {planner_time * 1000:.1f} ms (x {planner_time / first[1]:.1f})"
        )


if __name__ == "__main__":
    main()
