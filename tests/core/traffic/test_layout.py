"""Planned layers form complete chains in each hall, fit into memory, and are repaired when a server is lost."""

from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from core.traffic.samples import ENGINE, HALLS, KINDS, make_fleet, make_server
from vaneturn_core.traffic.layout import LayoutPlanner, Placement
from vaneturn_core.traffic.memory import MAX_WEIGHTS_SHARE
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


def find_tiling(fleet: list[BackendServer], first: int = 0) -> list[BackendServer] | None:
    """Find servers whose ranges together cover all layers exactly once and in order."""
    if first == ENGINE.layers:
        return []
    for server in fleet:
        if server.layers and server.layers[0].first == first:
            rest = find_tiling(fleet, server.layers[0].end)
            if rest is not None:
                return [server, *rest]
    return None


def measure_step(servers: list[BackendServer]) -> float:
    return sum(len(server.layers[0]) * KINDS[server.kind or ""].step_factor for server in servers) / ENGINE.layers


def test_empty_halls_each_hold_all_layers() -> None:
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    for hall in HALLS:
        assert min(count_holders(placed, hall)) >= 1
        assert find_tiling([server for server in placed if server.hall == hall])


def test_fast_servers_hold_more_than_their_share_of_memory() -> None:
    """With layers in proportion to memory, a step in the slowest hall takes 9.8 times one of factor 1, not 7.1."""
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    for hall in HALLS:
        inside = [server for server in placed if server.hall == hall]
        memory = sum(KINDS[server.kind or ""].bytes for server in inside)
        in_proportion = sum(KINDS[one.kind or ""].step_factor * KINDS[one.kind or ""].bytes for one in inside) / memory
        assert measure_step(find_tiling(inside) or []) < 0.8 * in_proportion


def test_chain_has_room_for_most_of_the_requests_that_its_first_server_takes() -> None:
    fleet = make_fleet()
    tokens = ENGINE.usual_prompt + ENGINE.usual_answer
    for server in apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty()):
        assert server.compute_room(ENGINE) >= 0.5 * ENGINE.slots * tokens * len(server.layers[0])


def test_layers_of_lost_fast_servers_are_held_in_other_halls() -> None:
    """If fastest servers of all halls hold the same layers, replacing these in a release leaves no chain for 3 s."""
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    assert min(count_holders([server for server in placed if server.kind != "a100"])) >= 1


def test_servers_left_over_double_the_small_parts() -> None:
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    doubled = sum(count > 1 for hall in HALLS for count in count_holders(placed, hall))
    assert doubled >= 50
    for server in placed:
        counts = count_holders(placed, server.hall)
        if len(server.layers[0]) > 20:  # a large part gets a second copy only when no smaller one is left
            held = server.layers[0]
            assert sum(count > 1 for count in counts[held.first : held.end]) < len(held)


def test_spares_close_a_gap_that_their_neighbours_have_no_room_for() -> None:
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    lost = next(server for server in placed if server.kind == "a100")
    left = [server for server in placed if server is not lost]
    assert min(count_holders(left, lost.hall)) == 0
    mended = apply(left, LayoutPlanner(ENGINE, left).plan_repair())
    assert min(count_holders(mended, lost.hall)) >= 1


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
    lost = find_single(placed)
    returned = dataclasses.replace(lost, layers=())
    placements = LayoutPlanner(ENGINE, [returned if one is lost else one for one in placed]).plan_empty()
    counts = count_holders([one for one in placed if one is not lost], lost.hall)
    gap = [layer for layer, count in enumerate(counts) if not count]
    assert [(placement.layers.first, placement.layers.end) for placement in placements] == [(gap[0], gap[-1] + 1)]


def find_single(placed: list[BackendServer]) -> BackendServer:
    """Find a server with layers that no other server in its hall holds."""
    return next(
        one for one in placed if not min(count_holders([other for other in placed if other is not one], one.hall))
    )


def test_neighbours_close_a_gap() -> None:
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    lost = find_single(placed)
    left = [one for one in placed if one is not lost]
    mended = apply(left, LayoutPlanner(ENGINE, left).plan_repair())
    assert min(count_holders(mended, lost.hall)) == 1


def test_draining_server_counts_as_gone() -> None:
    fleet = make_fleet()
    placed = apply(fleet, LayoutPlanner(ENGINE, fleet).plan_empty())
    lost = find_single(placed)
    draining = dataclasses.replace(lost, state=ServerState.DRAINING)
    assert LayoutPlanner(ENGINE, [draining if one is lost else one for one in placed]).plan_repair()


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
