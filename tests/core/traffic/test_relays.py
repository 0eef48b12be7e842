"""All nodes select the same relays, more than one of them, and rank them in the same way."""

from __future__ import annotations

from collections import Counter

import pytest

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.relays import (
    MAX_DIRECT_NODES,
    NODES_PER_RELAY,
    RelayTimes,
    count_relays,
    list_relays,
    rank_candidate,
    rank_relays,
)


def make_nodes(count: int) -> list[VmId]:
    return [VmId(f"entry-{number}") for number in range(count)]


@pytest.mark.parametrize(
    ("nodes", "relays"), [(1, 1), (MAX_DIRECT_NODES, MAX_DIRECT_NODES), (8, 2), (85, 2), (195, 5), (390, 9)]
)
def test_relays_grow_much_more_slowly_than_nodes(nodes: int, relays: int) -> None:
    assert count_relays(nodes) == relays


def test_all_nodes_find_the_same_relays() -> None:
    nodes = make_nodes(40)
    assert list_relays(nodes) == list_relays(nodes[::-1])


def test_relays_and_nodes_of_a_small_installation_ask_the_store() -> None:
    nodes = make_nodes(40)
    assert all(not rank_relays(relay, nodes) for relay in list_relays(nodes))
    assert all(not rank_relays(node, nodes[:MAX_DIRECT_NODES]) for node in nodes[:MAX_DIRECT_NODES])


def test_every_other_node_may_ask_each_relay_and_first_choices_are_spread() -> None:
    nodes = make_nodes(390)
    relays = list_relays(nodes)
    ranked = {node: rank_relays(node, nodes) for node in nodes if node not in relays}
    assert all(sorted(order) == sorted(relays) for order in ranked.values())
    first = Counter(order[0] for order in ranked.values())
    assert set(first) == set(relays)
    assert max(first.values()) < 3 * NODES_PER_RELAY


@pytest.mark.parametrize("bound", [0.5, 2.0, 3.0, 10.0])
def test_lost_relay_is_left_before_the_bound(bound: float) -> None:
    times = RelayTimes.derive(bound)
    assert times.watch < times.hold < times.hold_arriving < times.ask
    assert times.gather + times.ask <= 2 / 3 * bound


def test_candidates_for_the_tenure_are_the_relays_in_turn_and_then_all_others() -> None:
    nodes = make_nodes(195)
    relays = list_relays(nodes)
    assert [rank_candidate(relay, nodes) for relay in relays] == list(range(len(relays)))
    assert {rank_candidate(node, nodes) for node in nodes if node not in relays} == {len(relays)}


def test_node_that_is_not_listed_yet_is_no_candidate() -> None:
    assert rank_candidate(VmId("entry-9"), make_nodes(3)) is None


def test_next_nodes_of_the_order_stand_in_for_relays_that_were_left() -> None:
    nodes = [VmId(f"entry-{number}") for number in range(64)]
    relays = list_relays(nodes)
    followers = [node for node in nodes if node not in relays]
    asked = {rank_relays(node, nodes, relays)[0] for node in followers if rank_relays(node, nodes, relays)}
    own = [node for node in followers if not rank_relays(node, nodes, relays)]
    assert len(asked) == len(own) == len(relays)
    assert asked == set(own)
    assert not asked & set(relays)
