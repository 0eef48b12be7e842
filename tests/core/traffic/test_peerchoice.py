"""Nodes that declined are left alone for a while, and requests are spread over the others."""

from __future__ import annotations

import pytest

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.peerchoice import BACKOFFS_S, DEMOTION_S, DeclineReason, PeerChoice

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


def decline_all_but(choice: PeerChoice, spared: str, reason: DeclineReason) -> None:
    for vm in NODES:
        if vm != spared:
            choice.record_declined(vm, reason)


def draw(choice: PeerChoice, excluded: frozenset[VmId] = frozenset()) -> set[VmId | None]:
    return {choice.choose(NODES, excluded) for _ in range(200)}


@pytest.mark.parametrize("reason", list(DeclineReason), ids=[reason.value for reason in DeclineReason])
def test_node_that_declined_is_asked_again_after_a_while(reason: DeclineReason) -> None:
    clock = Clock()
    choice = PeerChoice(OWN, clock)
    decline_all_but(choice, "entry-3", reason)
    if BACKOFFS_S[reason]:
        assert draw(choice) == {"entry-3"}
        assert draw(choice, frozenset({VmId("entry-3")})) == {None}
    clock.now += BACKOFFS_S[reason]
    assert len(draw(choice, frozenset({VmId("entry-3")}))) == len(NODES) - 2
    clock.now += DEMOTION_S
    assert len(draw(choice)) == len(NODES) - 1


def test_node_without_a_path_is_asked_after_one_that_served() -> None:
    """Nodes that had all lost their paths asked each other once a second, and some of their requests were refused."""
    clock = Clock()
    choice = PeerChoice(OWN, clock)
    decline_all_but(choice, "entry-3", DeclineReason.NO_PATH)
    clock.now += BACKOFFS_S[DeclineReason.NO_PATH]
    assert draw(choice) == {"entry-3"}


def test_node_that_takes_a_request_again_is_asked_as_before() -> None:
    clock = Clock()
    choice = PeerChoice(OWN, clock)
    decline_all_but(choice, "entry-3", DeclineReason.NO_PATH)
    choice.record_accepted(VmId("entry-4"))
    assert draw(choice) == {"entry-3", "entry-4"}


def test_reason_that_passes_demotes_no_node() -> None:
    clock = Clock()
    choice = PeerChoice(OWN, clock)
    decline_all_but(choice, "entry-3", DeclineReason.OLDER_CONFIGURATION)
    clock.now += BACKOFFS_S[DeclineReason.OLDER_CONFIGURATION]
    assert len(draw(choice)) == len(NODES) - 1


def test_node_that_has_no_retry_budget_for_one_request_is_asked_for_the_next() -> None:
    """Streams to be resumed ruled out all nodes for each other and for new requests, which need no such budget."""
    choice = PeerChoice(OWN, Clock())
    decline_all_but(choice, "", DeclineReason.NOT_ADMITTED)
    assert len(draw(choice)) == len(NODES) - 1


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
