"""Owners that a node doesn't know are asked, and are gone only if another node has their address or none answers."""

from __future__ import annotations

from random import Random

import anyio
import anyio.lowlevel
import pytest

from vaneturn_core.claims.slots import SlotMap, SlotOwner, reassign_slots
from vaneturn_core.identifiers import DataHall, NodeId, VmId
from vaneturn_core.membership.member import Member, MemberState
from vaneturn_core.membership.table import MemberTable
from vaneturn_node.claims import unmet as module
from vaneturn_node.claims.unmet import UnmetOwners

pytestmark = pytest.mark.anyio


def make_member(index: int, state: MemberState = MemberState.ALIVE) -> Member:
    address = f"127.0.0.1:{index}"
    return Member(NodeId(f"node-{index}"), VmId(f"entry-{index}"), address, DataHall("osborne"), state=state)


OWNER = SlotOwner(make_member(1).node, make_member(1).address)


class Network:
    """The members that answer at their addresses."""

    def __init__(self, *members: Member) -> None:
        self.members = {member.address: member for member in members}
        self.asked: list[str] = []

    async def ask_member(self, address: str) -> Member | None:
        self.asked.append(address)
        await anyio.lowlevel.checkpoint()
        return self.members.get(address)


class Clock:
    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        monkeypatch.setattr(module, "read_clock", lambda: self.now)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


def make_unmet(network: Network, clock: Clock) -> tuple[UnmetOwners, MemberTable]:
    table = MemberTable(make_member(0), Random(7), lambda: clock.now)
    return UnmetOwners(table, network.ask_member), table


async def test_owner_that_answers_is_met(clock: Clock) -> None:
    unmet, table = make_unmet(Network(make_member(1)), clock)
    await unmet.find_possibly_alive([OWNER])
    assert table.find(OWNER.node) is not None
    assert reassign_slots(SlotMap(1, (OWNER,), (0,) * 64), table.list_active()) is None


async def test_owner_whose_address_has_another_node_is_gone_at_once(clock: Clock) -> None:
    """This happens after a restart of all VMs: each gets its old address and a new node name."""
    successor = Member(NodeId("node-9"), VmId("entry-1"), OWNER.address, DataHall("osborne"))
    unmet, table = make_unmet(Network(successor), clock)
    assert await unmet.find_possibly_alive([OWNER]) == frozenset()
    assert table.find(successor.node) is not None


async def test_owner_that_answers_nobody_is_gone_after_the_time_of_a_suspect(clock: Clock) -> None:
    unmet, table = make_unmet(Network(), clock)
    assert await unmet.find_possibly_alive([OWNER]) == {OWNER.node}
    clock.now += table.compute_suspicion_time() / 2
    assert await unmet.find_possibly_alive([OWNER]) == {OWNER.node}
    clock.now += table.compute_suspicion_time() / 2
    assert await unmet.find_possibly_alive([OWNER]) == frozenset()


async def test_owner_that_is_known_to_be_dead_is_not_asked(clock: Clock) -> None:
    network = Network(make_member(1))
    unmet, table = make_unmet(network, clock)
    table.merge([make_member(1), make_member(1, MemberState.DEAD)])
    assert await unmet.find_possibly_alive([OWNER]) == frozenset()
    assert network.asked == []


async def test_members_are_settled_when_none_has_come_for_a_while(clock: Clock) -> None:
    unmet, table = make_unmet(Network(), clock)
    assert not unmet.is_settled()
    clock.now += module.SETTLE_TIME_S / 2
    table.merge([make_member(2)])
    assert not unmet.is_settled()
    clock.now += module.SETTLE_TIME_S / 2
    assert not unmet.is_settled()
    clock.now += module.SETTLE_TIME_S / 2
    assert unmet.is_settled()
