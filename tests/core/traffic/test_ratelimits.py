"""Permits keep all nodes together within the rate limit of a server, also while nodes join, leave or learn it late."""

from __future__ import annotations

import random
from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.ratelimits import (
    FULL_SHARE,
    MAX_BURST,
    MAX_REPORTED_CHANGES,
    SETTLE_TIME_S,
    SUBSTITUTE_SHARE,
    NodeHistory,
    PermitIssuer,
    RateLimits,
    rank_issuers,
)
from vaneturn_core.traffic.servers import ServerId

SERVER = ServerId("i-1")
WINDOW = 4.0  # seconds; window in which a server counts requests
MAX_WAIT = 5.0  # seconds after which a node asks again
STEP = 0.025  # seconds
NEWS_TIME = 1.5  # seconds until all nodes know of a change, at most


def compute_allowed(rate: float) -> float:
    return 1.5 * rate * WINDOW + 5


class Fleet:
    """Nodes that ask each other for permits; each learns of a change at a different time."""

    def __init__(self, count: int, rng: random.Random) -> None:
        self.now, self.rng = 0.0, rng
        self.members = {VmId(f"entry-{number}") for number in range(count)}
        self.views: dict[VmId, frozenset[VmId]] = {}
        self.histories: dict[VmId, NodeHistory] = {}
        self.issuers: dict[VmId, PermitIssuer] = {}
        self.news: list[tuple[float, VmId, frozenset[VmId]]] = []
        for vm in sorted(self.members):
            self._start(vm)
            self._hear(vm, frozenset(self.members))
        self.now = SETTLE_TIME_S + 1.0
        self.held_until = dict.fromkeys(self.members, 0.0)
        self.sent: deque[float] = deque()
        self.served = 0
        self.asked = 0
        self.most = 0

    def change(self, vm: VmId) -> None:
        """Remove a node if it is a member, else add it; the others learn of the change with different delays."""
        if vm in self.members:
            self.members.remove(vm)
        else:
            self.members.add(vm)
            self._start(vm)
            self.held_until[vm] = 0.0
        known = frozenset(self.members)
        self.news += [(self.now + self.rng.uniform(0.0, NEWS_TIME), one, known) for one in sorted(known)]

    def play(self, seconds: float, rate: float, demand: float) -> None:
        """Simulate requests, most of them on a few nodes, and count those that the server gets.

        :param demand: requests per second of all nodes together, all for the same server.
        """
        until = self.now + seconds
        while self.now < until:
            self.now += STEP
            for _, vm, known in [one for one in self.news if one[0] <= self.now]:
                self._hear(vm, known)
            self.news = [one for one in self.news if one[0] > self.now]
            for _ in range(int(demand * STEP + self.rng.random())):
                self._send(rate)

    def _send(self, rate: float) -> None:
        nodes = sorted(self.members)
        vm = nodes[min(int(self.rng.expovariate(4.0) * len(nodes)), len(nodes) - 1)]
        if self.held_until[vm] > self.now:
            return
        ranked = rank_issuers(SERVER, self.views.get(vm, frozenset()))
        answering = [one for one in ranked if one in self.members and self.rng.random() > 0.05]
        if not answering:
            return
        wait = self.issuers[answering[0]].issue(SERVER, rate)
        self.asked += 1
        self.held_until[vm] = self.now + min(wait, MAX_WAIT)
        if wait:
            return
        self.sent.append(self.now)
        self.served += 1
        while self.sent[0] <= self.now - WINDOW:
            self.sent.popleft()
        self.most = max(self.most, len(self.sent))

    def _start(self, vm: VmId) -> None:
        self.histories[vm] = NodeHistory(lambda: self.now)
        self.issuers[vm] = PermitIssuer(vm, self.histories[vm], lambda: self.now)

    def _hear(self, vm: VmId, known: frozenset[VmId]) -> None:
        self.views[vm] = known
        self.histories[vm].note(known)


@pytest.mark.parametrize("nodes", [1, 8, 60, 195, 390])
@pytest.mark.parametrize("rate", [0.3, 2.2, 40.0])
def test_many_nodes_use_a_limit_and_do_not_exceed_it(nodes: int, rate: float) -> None:
    fleet = Fleet(nodes, random.Random(f"{nodes} {rate}"))
    fleet.play(20.0, rate, demand=10 * rate + 10)
    assert fleet.most <= (FULL_SHARE + SUBSTITUTE_SHARE) * rate * WINDOW + MAX_BURST + 2
    assert fleet.served >= 0.8 * 20.0 * rate


@settings(max_examples=40)
@given(
    st.integers(2, 30),
    st.floats(0.2, 50.0),
    st.lists(st.tuples(st.floats(0.0, 3.0), st.integers(0, 31)), max_size=12),
    st.integers(0, 2**16),
)
def test_limit_holds_while_nodes_come_and_go(
    nodes: int, rate: float, changes: list[tuple[float, int]], seed: int
) -> None:
    fleet = Fleet(nodes, random.Random(seed))
    for pause, number in changes:
        fleet.play(pause, rate, demand=10 * rate + 5)
        if len(fleet.members) > 1 or VmId(f"entry-{number}") not in fleet.members:
            fleet.change(VmId(f"entry-{number}"))
    fleet.play(WINDOW, rate, demand=10 * rate + 5)
    assert fleet.most <= compute_allowed(rate)


def test_node_that_has_just_become_first_issues_a_small_share_until_all_know() -> None:
    now = 0.0
    history = NodeHistory(lambda: now)
    issuer = PermitIssuer(VmId("entry-1"), history, lambda: now)
    history.note([VmId("entry-1")])
    assert issuer.issue(SERVER, 10.0) == 0
    assert issuer.issue(SERVER, 10.0) == pytest.approx(0.5)
    now = SETTLE_TIME_S + 0.1
    history.note([VmId("entry-1")])
    assert [issuer.issue(SERVER, 10.0) for _ in range(3)] == [0, 0, pytest.approx(0.1)]


def test_nodes_without_a_permit_return_one_after_the_other() -> None:
    """Otherwise all of them come back for the same permit."""
    issuer = make_settled_issuer()
    assert [issuer.issue(SERVER, 10.0) for _ in range(4)] == [0, *(pytest.approx(number / 10) for number in (1, 2, 3))]


def make_settled_issuer() -> PermitIssuer:
    now = 0.0
    history = NodeHistory(lambda: now)
    history.note([VmId("entry-1")])
    now = SETTLE_TIME_S + 0.1
    return PermitIssuer(VmId("entry-1"), history, lambda: now)


def test_answer_to_an_older_request_neither_raises_nor_ends_a_limit() -> None:
    limits = RateLimits()
    limits.note_answer(SERVER, 2.0, sent_at=1.0, now=5.0)
    limits.note_answer(SERVER, None, sent_at=4.0, now=6.0)
    limits.note_answer(SERVER, 9.0, sent_at=4.9, now=6.0)
    assert limits.list_limited() == {SERVER: 2.0}
    limits.note_answer(SERVER, 1.5, sent_at=0.5, now=7.0)
    assert limits.list_limited() == {SERVER: 1.5}
    limits.note_answer(SERVER, None, sent_at=7.1, now=8.0)
    assert limits.list_limited() == {}


def test_news_are_the_newest_changes_and_bounded() -> None:
    limits = RateLimits()
    for number in range(2 * MAX_REPORTED_CHANGES):
        limits.note_answer(ServerId(f"i-{number}"), 2.0, sent_at=0.0, now=100.0 + number / 100)
    assert len(limits.list_changes(now=102.0)) == MAX_REPORTED_CHANGES
    assert next(iter(limits.list_changes(now=102.0))) == f"i-{2 * MAX_REPORTED_CHANGES - 1}"
    assert limits.list_changes(now=110.0) == {}


def test_limits_of_absent_servers_are_forgotten() -> None:
    limits = RateLimits()
    limits.note_answer(SERVER, 2.0, sent_at=1.0, now=5.0)
    limits.forget_absent([ServerId("i-2")])
    assert limits.find(SERVER) is None
