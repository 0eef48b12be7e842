"""Slots keep their owners, and an owner accepts only keys that its predecessor cannot have accepted."""

from __future__ import annotations

import uuid

from hypothesis import given
from hypothesis import strategies as st

from rig.keys import make_key
from vaneturn_core.claims.ledger import CLOCK_MARGIN_S, KEY_RETENTION_S, SlotLedger, Verdict, read_key_time
from vaneturn_core.claims.slots import MAX_OWNERS, SLOTS, SlotMap, find_slot, reassign_slots
from vaneturn_core.identifiers import CustomerName, DataHall, NodeId, RepeatKey, VmId
from vaneturn_core.membership.member import Member

CUSTOMER = CustomerName("osborne-finance")


def make_members(names: set[int]) -> list[Member]:
    return [
        Member(NodeId(f"node-{name}"), VmId(f"vm-{name}"), f"127.0.0.1:{name}", DataHall("h")) for name in sorted(names)
    ]


@given(st.floats(1e9, 2e9))
def test_creation_time_is_read_from_the_key(created_at: float) -> None:
    read = read_key_time(make_key(created_at))
    assert read is not None
    assert abs(read - created_at) <= 0.001


def test_key_that_is_not_a_uuid7_has_no_time() -> None:
    assert read_key_time(RepeatKey(str(uuid.uuid4()))) is None
    assert read_key_time(RepeatKey("reminder 7")) is None


@given(st.lists(st.sets(st.integers(0, 30), max_size=20), min_size=1, max_size=8))
def test_every_slot_has_a_living_owner_and_moves_only_from_dead_ones(fleets: list[set[int]]) -> None:
    current = SlotMap()
    for fleet in fleets:
        alive = {f"node-{name}" for name in fleet}
        updated = reassign_slots(current, make_members(fleet))
        if updated is None:
            continue
        assert updated.epoch == current.epoch + 1
        assert len(updated.slots) == SLOTS
        assert len(updated.owners) <= MAX_OWNERS
        for slot in range(SLOTS):
            owner, before = updated.find_owner(slot), current.find_owner(slot)
            assert owner is not None
            assert owner.node in alive
            assert before is None or before.node not in alive or owner == before
        current = updated


@given(st.floats(0, 100), st.floats(0, 100), st.floats(-CLOCK_MARGIN_S, CLOCK_MARGIN_S))
def test_key_is_never_won_at_two_owners_in_turn(takeover_delay: float, service_time: float, skew: float) -> None:
    """The first owner serves until the second takes over; the clock skew of the key is within the margin."""
    base = 1e9
    first, second = SlotLedger(taken_at=base), SlotLedger(taken_at=base + takeover_delay + service_time)
    claimed_at = base + takeover_delay
    created_at = claimed_at + skew
    key = make_key(created_at)
    won = first.claim(CUSTOMER, key, "a", created_at, claimed_at) is Verdict.WON
    for later in (0.0, 1.0, CLOCK_MARGIN_S, 60.0, KEY_RETENTION_S, 10 * KEY_RETENTION_S):
        now = second.taken_at + later
        assert not (won and second.claim(CUSTOMER, key, "b", created_at, now) is Verdict.WON)


def test_repeat_of_a_claim_is_won_again_and_a_different_claim_is_not() -> None:
    ledger = SlotLedger(taken_at=0.0)
    key = make_key(100.0)
    assert ledger.claim(CUSTOMER, key, "a", 100.0, 100.0) is Verdict.WON
    assert ledger.claim(CUSTOMER, key, "a", 100.0, 100.5) is Verdict.WON
    assert ledger.claim(CUSTOMER, key, "b", 100.0, 101.0) is Verdict.CLAIMED
    ledger.release(CUSTOMER, key, "b")
    assert ledger.claim(CUSTOMER, key, "b", 100.0, 101.0) is Verdict.CLAIMED
    ledger.release(CUSTOMER, key, "a")
    assert ledger.claim(CUSTOMER, key, "b", 100.0, 101.0) is Verdict.WON


def test_ledger_size_is_bounded_by_the_key_retention() -> None:
    ledger = SlotLedger(taken_at=0.0)
    for number in range(20_000):
        now = 100.0 + number
        ledger.claim(CUSTOMER, make_key(now, number), str(number), now, now)
    assert len(ledger) < KEY_RETENTION_S + 1100 + CLOCK_MARGIN_S


def test_keys_spread_over_the_slots() -> None:
    slots = {find_slot(CUSTOMER, make_key(100.0, number)) for number in range(1000)}
    assert len(slots) == SLOTS
