"""The log of changes that nodes pass on: complete after a revision, or it says that it is not."""

from __future__ import annotations

import pytest

from vaneturn_node.platform.store import StoreItem
from vaneturn_node.traffic.changelog import KEPT_CHANGES, MAX_RELAYED_BYTES, Change, ChangeLog


def make_item(revision: int, value: bytes | None = b"value") -> StoreItem:
    return StoreItem(f"servers/i-{revision}", value, revision)


def test_changes_after_a_revision_are_listed_in_order() -> None:
    log = ChangeLog()
    log.reset([], 10)
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
    log.reset([], 10)
    assert log.list_since(revision) is None


def test_nothing_is_told_before_the_store_was_read() -> None:
    assert ChangeLog().list_since(0) is None


def test_old_changes_go_and_who_needs_them_is_told_so() -> None:
    log = ChangeLog()
    log.reset([], 0)
    log.append([make_item(revision) for revision in range(1, KEPT_CHANGES + 3)], KEPT_CHANGES + 2)
    assert log.list_since(1) is None
    kept = log.list_since(2)
    assert kept is not None
    assert [change.revision for change in kept] == list(range(3, KEPT_CHANGES + 3))


def test_long_value_is_left_out_and_marked() -> None:
    log = ChangeLog()
    log.reset([], 0)
    log.append([make_item(1, b"x" * (MAX_RELAYED_BYTES + 1))], 1)
    assert log.list_since(0) == [Change("servers/i-1", 1, None, is_left_out=True)]
    assert log.find_long("servers/i-1") == make_item(1, b"x" * (MAX_RELAYED_BYTES + 1))
    log.append([make_item(1, b"short")], 2)
    assert log.find_long("servers/i-1") is None


def test_new_reading_begins_the_log_anew() -> None:
    log = ChangeLog()
    log.reset([], 10)
    log.append([make_item(11)], 11)
    log.reset([], 20)
    assert log.list_since(11) is None
    assert log.list_since(20) == []
