"""Nodes that declined are left alone for a while, and requests are spread over the others."""

from __future__ import annotations

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.peerchoice import DECLINE_BACKOFF_S, PeerChoice

OWN = VmId("entry-0")
NODES: dict[VmId, str | None] = {VmId(f"entry-{number}"): f"127.0.0.1:{number}" for number in range(6)}


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_own_node_and_those_without_an_address_are_never_chosen() -> None:
    choice = PeerChoice(OWN, Clock())
    nodes = {OWN: "127.0.0.1:0", VmId("a"): None, VmId("b"): "127.0.0.1:1"}
    assert {choice.choose(nodes, set()) for _ in range(20)} == {"b"}
    assert choice.choose(nodes, {VmId("b")}) is None


def test_node_that_declined_is_asked_again_after_a_while() -> None:
    clock = Clock()
    choice = PeerChoice(OWN, clock)
    for vm in NODES:
        if vm != "entry-3":
            choice.record_declined(vm)
    assert {choice.choose(NODES, set()) for _ in range(20)} == {"entry-3"}
    clock.now += DECLINE_BACKOFF_S
    assert len({choice.choose(NODES, set()) for _ in range(200)}) == len(NODES) - 1


def test_requests_are_spread_by_those_in_progress() -> None:
    choice = PeerChoice(OWN, Clock())
    counts = dict.fromkeys(NODES, 0)
    for _ in range(100):
        vm = choice.choose(NODES, set())
        assert vm is not None
        choice.record_begun(vm)
        counts[vm] += 1
    others = [count for vm, count in counts.items() if vm != OWN]
    assert max(others) - min(others) <= 5
