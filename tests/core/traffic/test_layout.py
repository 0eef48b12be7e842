"""What servers should hold: whole chains in each hall, within memory, mended when a server is lost."""

from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from core.traffic.samples import ENGINE, HALLS, KINDS, make_fleet, make_server
from vaneturn_core.traffic.layout import MAX_WEIGHTS_SHARE, LayoutPlanner, Placement
from vaneturn_core.traffic.servers import BackendServer, ServerState


def apply(fleet: list[BackendServer], placements: list[Placement]) -> list[BackendServer]:
    held = {placement.server.id: (placement.layers,) for placement in placements}
    return [dataclasses.replace(server, layers=held.get(server.id, server.layers)) for server in fleet]


def count_holders(fleet: list[BackendServer], hall: str | None = None) -> list[int]:
    counts = [0] * ENGINE.layers
    for server in fleet:
        for layers in server.layers if hall in {None, server.hall} else ():
            for layer in range(layers.first, layers.end):
                counts[layer] += 1
    return counts


def test_empty_halls_each_hold_all_layers_once() -> None:
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    for hall in HALLS:
        assert count_holders(placed, hall) == [1] * ENGINE.layers


def test_no_server_is_ordered_more_than_its_memory_holds() -> None:
    fleet = make_fleet()
    for placement in LayoutPlanner(ENGINE, fleet).plan_empty():
        limit = MAX_WEIGHTS_SHARE * KINDS[placement.server.kind or ""].bytes
        assert len(placement.layers) * ENGINE.layer_bytes <= limit


def test_large_hall_is_dealt_into_several_chains() -> None:
    fleet = [make_server(number, "l40s") for number in range(1, 25)]
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    assert min(count_holders(placed)) >= 2


def test_returned_server_fills_the_gap_in_its_hall() -> None:
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    lost = placed[5]
    returned = dataclasses.replace(lost, layers=())
    placements = LayoutPlanner(ENGINE, [*placed[:5], returned, *placed[6:]]).plan_empty()
    assert [placement.layers for placement in placements] == list(lost.layers)


def test_neighbours_close_a_gap() -> None:
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    left = placed[:5] + placed[6:]
    mended = apply(left, LayoutPlanner(ENGINE, left).plan_repair())
    assert min(count_holders(mended, placed[5].hall)) == 1


def test_draining_server_counts_as_gone() -> None:
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    draining = dataclasses.replace(placed[5], state=ServerState.DRAINING)
    assert LayoutPlanner(ENGINE, [*placed[:5], draining, *placed[6:]]).plan_repair()


def test_whole_layout_needs_no_order() -> None:
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    planner = LayoutPlanner(ENGINE, placed)
    assert not planner.plan_empty()
    assert not planner.plan_repair()
    assert planner.plan_move() is None


def test_layers_that_nobody_holds_get_a_server_from_elsewhere() -> None:
    fleet = [make_server(number, "l40s", layers=(0, 20)) for number in range(1, 7)]
    fleet.append(make_server(9, "l40s", layers=(20, 40)))
    move = LayoutPlanner(ENGINE, fleet).plan_move()
    assert move is None or move.layers.first >= 20


@given(st.lists(st.tuples(st.sampled_from(sorted(KINDS)), st.sampled_from(sorted(HALLS))), min_size=1, max_size=60))
def test_any_fleet_is_placed_within_memory_and_layers(kinds: list[tuple[str, str]]) -> None:
    fleet = [make_server(number, kind, hall) for number, (kind, hall) in enumerate(kinds, 1)]
    for placement in LayoutPlanner(ENGINE, fleet).plan_empty():
        assert 0 <= placement.layers.first < placement.layers.end <= ENGINE.layers
        assert len(placement.layers) * ENGINE.layer_bytes <= KINDS[placement.server.kind or ""].bytes
