"""The log of changes for other nodes: it lists all changes after a revision, or reports that it cannot."""

from __future__ import annotations

import random
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from vaneturn_node.platform.store import StoreItem
from vaneturn_node.traffic.sharing.changelog import MAX_CHANGES, MAX_RELAYED_BYTES, MAX_VALUE_BYTES, Change, ChangeLog


def make_item(revision: int, value: bytes | None = b"value") -> StoreItem:
    return StoreItem(f"servers/i-{revision}", value, revision)


def test_changes_after_a_revision_are_listed_in_order() -> None:
    log = ChangeLog()
    log.replace([], 10)
    log.append([make_item(11), make_item(12, None)], 15)
    log.append([make_item(16)], 16)
    assert log.list_since(10) == [
        Change("servers/i-11", 11, b"value"),
        Change("servers/i-12", 12, None),
        Change("servers/i-16", 16, b"value"),
    ]
    assert log.list_since(12) == [Change("servers/i-16", 16, b"value")]
    assert log.list_since(16) == []
    assert log.revision == 16


@pytest.mark.parametrize("revision", [0, 9])
def test_changes_before_the_first_reading_are_not_told(revision: int) -> None:
    log = ChangeLog()
    log.replace([], 10)
    assert log.list_since(revision) is None


def test_nothing_is_told_before_the_store_was_read() -> None:
    assert ChangeLog().list_since(0) is None


def test_old_changes_go_and_who_needs_them_is_told_so() -> None:
    log = ChangeLog()
    log.replace([], 0)
    log.append([make_item(revision) for revision in range(1, MAX_CHANGES + 3)], MAX_CHANGES + 2)
    assert log.list_since(1) is None
    kept = log.list_since(2)
    assert kept is not None
    assert [change.revision for change in kept] == list(range(3, MAX_CHANGES + 3))


def test_newest_change_of_a_key_is_told_alone() -> None:
    """Nodes that ask after ten configurations in quick succession get only the last one."""
    log = ChangeLog()
    log.replace([], 0)
    log.append([StoreItem("config", b"one", 1), make_item(2), StoreItem("config", b"two", 3)], 3)
    assert log.list_since(0) == [Change("servers/i-2", 2, b"value"), Change("config", 3, b"two")]


def test_long_value_that_packs_well_is_told_packed() -> None:
    """Otherwise each node reads it from the store: 215 calls by 23 nodes while the configuration changed ten times."""
    value = b"route " * MAX_RELAYED_BYTES
    log = ChangeLog()
    log.replace([], 0)
    log.append([make_item(1, value)], 1)
    changes = log.list_since(0)
    assert changes is not None
    assert changes[0].is_packed
    assert changes[0].value is not None
    assert len(changes[0].value) < len(value) // 100
    assert changes[0].unpack() == value


def test_long_value_that_does_not_pack_is_left_out_and_marked() -> None:
    value = random.Random(1).randbytes(MAX_RELAYED_BYTES + 100)
    log = ChangeLog()
    log.replace([], 0)
    log.append([make_item(1, value)], 1)
    assert log.list_since(0) == [Change("servers/i-1", 1, None, is_left_out=True)]
    assert log.find_long_value("servers/i-1") == make_item(1, value)
    log.append([make_item(1, b"short")], 2)
    assert log.find_long_value("servers/i-1") is None


@pytest.mark.parametrize("packed", [b"no zlib", b"", zlib.compress(b"x" * 5000)[:-3]], ids=["other", "empty", "cut"])
def test_value_that_was_not_packed_whole_is_not_taken(packed: bytes) -> None:
    with pytest.raises(ValueError, match="value"):
        Change("config", 1, packed, is_packed=True).unpack()


def test_packed_value_that_is_too_long_is_not_taken() -> None:
    with pytest.raises(ValueError, match="exceeds"):
        Change("config", 1, zlib.compress(b"x" * (MAX_VALUE_BYTES + 1)), is_packed=True).unpack()


def test_new_reading_is_told_as_what_differs() -> None:
    """Otherwise, when the store has dropped its history, each follower reads the whole state from the store."""
    log = ChangeLog()
    log.replace([make_item(3), make_item(4)], 10)
    log.append([make_item(11)], 11)
    written = StoreItem("servers/i-4", b"other", 18)
    log.replace([make_item(3), written, make_item(15)], 20)
    assert log.list_since(9) is None
    assert log.list_since(10) == [
        make_change(15),
        Change("servers/i-4", 18, b"other"),
        Change("servers/i-11", 20, None),
    ]
    assert log.list_since(11) == [
        make_change(15),
        Change("servers/i-4", 18, b"other"),
        Change("servers/i-11", 20, None),
    ]
    assert log.list_since(20) == []


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans(), st.booleans()), max_size=40), st.integers(0, 40))
def test_node_that_takes_the_changes_holds_what_the_store_holds(
    steps: list[tuple[int, bool, bool]], asked_at: int
) -> None:
    """Writes and removals arrive singly or by a reload, and a node asks once in the middle and once at the end."""
    log, store, node = ChangeLog(), dict[str, StoreItem](), dict[str, int]()
    log.replace([], 0)
    told = 0
    for revision, (number, is_removed, is_read_anew) in enumerate(steps, start=1):
        item = StoreItem(f"key-{number}", None if is_removed else b"value", revision)
        store.pop(item.key, None)
        if not is_removed:
            store[item.key] = item
        if is_read_anew:
            log.replace(store.values(), revision)
        else:
            log.append([item], revision)
        if revision in {asked_at, len(steps)}:
            changes = log.list_since(told)
            assert changes is not None
            for change in changes:
                node.pop(change.key, None)
                if change.value is not None:
                    node[change.key] = change.revision
            told = log.revision
    assert node == {key: item.revision for key, item in store.items()}


def make_change(revision: int) -> Change:
    return Change(f"servers/i-{revision}", revision, b"value")
