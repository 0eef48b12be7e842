"""The candidates of a choice: one in the node's hall and one in any hall, from a small fixed set."""

from __future__ import annotations

from collections import Counter

from core.traffic.samples import LARGE_ENGINE, LARGE_HALLS, make_fleet, make_server, place
from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.traffic.firsts import ASSIGNED_FIRSTS, pick_firsts
from vaneturn_core.traffic.servers import BackendServer

OSBORNE = DataHall("osborne")
FIRSTS = [one for one in place(LARGE_ENGINE, make_fleet(LARGE_HALLS)) if one.layers and one.layers[0].first == 0]


def pick_often(node: str, firsts: list[BackendServer]) -> Counter[str]:
    return Counter(server.id for _ in range(200) for server in pick_firsts(VmId(node), OSBORNE, firsts))


def test_node_keeps_to_few_firsts_of_which_one_is_in_its_hall() -> None:
    assert len(pick_often("entry-1", FIRSTS)) <= 2 * ASSIGNED_FIRSTS
    assert pick_firsts(VmId("entry-1"), OSBORNE, FIRSTS)[0].hall == OSBORNE


def test_nodes_are_dealt_evenly_over_the_firsts() -> None:
    dealt = Counter(server for number in range(390) for server in pick_often(f"entry-{number}", FIRSTS))
    outside = [dealt[server.id] for server in FIRSTS if server.hall != OSBORNE]
    assert min(outside) > 0
    assert max(outside) < 3 * sum(outside) / len(outside)


def test_loss_of_a_first_changes_only_the_nodes_that_had_it() -> None:
    lost = FIRSTS[-1]
    left = FIRSTS[:-1]
    for number in range(30):
        before, after = pick_often(f"entry-{number}", FIRSTS), pick_often(f"entry-{number}", left)
        assert lost.id in before or set(before) == set(after)


def test_first_elsewhere_is_taken_where_the_hall_has_none() -> None:
    other = [make_server(1, "a100", "malaga", (0, 30))]
    assert pick_firsts(VmId("entry-1"), OSBORNE, other) == other
    assert pick_firsts(VmId("entry-1"), OSBORNE, []) == []
