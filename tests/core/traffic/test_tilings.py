"""No tiling of a large hall uses slow servers only."""

from __future__ import annotations

from core.traffic.samples import ENGINE, make_server
from vaneturn_core.traffic.memory import ServerMemory
from vaneturn_core.traffic.tilings import HallTiler, Placement


def part_tilings(placements: list[Placement]) -> list[list[Placement]]:
    """Split placements into tilings; each begins at the first layer."""
    tilings: list[list[Placement]] = []
    for placement in placements:
        if placement.layers.first == 0:
            tilings.append([])
        tilings[-1].append(placement)
    return tilings


def test_fast_servers_are_dealt_evenly_over_the_tilings_of_a_hall() -> None:
    """If each tiling takes the fastest servers left, the last one uses only the slowest kind."""
    fleet = [make_server(number, "a100") for number in range(1, 5)]
    fleet += [make_server(number, "l40s") for number in range(5, 15)]
    fleet += [make_server(number, "l4") for number in range(15, 26)]
    placements, left_over = HallTiler(ENGINE, ServerMemory(ENGINE), 64.0).tile(fleet, 0.0)
    tilings = part_tilings(placements)
    assert len(tilings) >= 2
    for tiling in tilings:
        assert [one.layers.end for one in tiling[:-1]] == [one.layers.first for one in tiling[1:]]
        assert tiling[-1].layers.end == ENGINE.layers
        assert "a100" in {one.server.kind for one in tiling}
    assert len({one.server.id for one in placements} | {server.id for server in left_over}) == len(fleet)
