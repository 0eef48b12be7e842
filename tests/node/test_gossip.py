"""A report fits into a datagram for any number of members."""

from __future__ import annotations

import time
from random import Random

import msgspec
import pytest

from vaneturn_core.identifiers import DataHall, NodeId, Revision, VmId
from vaneturn_core.membership.member import Member
from vaneturn_core.membership.table import MemberTable
from vaneturn_node.metrics import Metrics
from vaneturn_node.peers.gossip import MAX_REPORTED_MEMBERS, Gossip
from vaneturn_node.peers.messages import GossipReport, Ping
from vaneturn_node.peers.seal import Sealer

MAX_DATAGRAM = 1200  # bytes


def make_member(number: int) -> Member:
    return Member(
        NodeId(f"{number:016x}"), VmId(f"entry-vm-{number}"), f"10.20.30.40:{7000 + number}", DataHall("perth-osborne")
    )


@pytest.mark.parametrize("count", [0, 1, MAX_REPORTED_MEMBERS - 1, MAX_REPORTED_MEMBERS, 3 * MAX_REPORTED_MEMBERS])
def test_answer_to_a_new_member_fits_a_datagram(count: int) -> None:
    table = MemberTable(make_member(0), Random(1), time.monotonic)
    while table.take_changes(1):
        pass  # the node's own entry has already been reported
    table.merge([make_member(number) for number in range(1, count + 1)])
    gossip = Gossip(table, Sealer("a-key-that-is-long-enough"), [], lambda: Revision(1), Metrics())
    asker = make_member(1000)
    report = gossip._make_report(GossipReport(Revision(0), asker.address, [asker]))
    names = [member.node for member in report.members]
    assert table.own.node in names
    assert len(names) == len(set(names))
    assert len(names) <= MAX_REPORTED_MEMBERS + 1
    assert len(msgspec.msgpack.encode(Ping(1, report))) <= MAX_DATAGRAM
