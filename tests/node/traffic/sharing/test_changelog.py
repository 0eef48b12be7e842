"""The log of changes for other nodes: it lists all changes after a revision, or reports that it cannot."""

from __future__ import annotations

import random
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from vaneturn_node.platform.epochs import StoreState, get_epoch, get_number, make_state
from vaneturn_node.platform.store import StoreItem
from vaneturn_node.traffic.sharing.changelog import MAX_CHANGES, MAX_RELAYED_BYTES, MAX_VALUE_BYTES, Change, ChangeLog


def make_item(revision: int, value: bytes | None = b"value") -> StoreItem:
    return StoreItem(f"servers/i-{revision}", value, StoreState(revision))


def test_changes_after_a_revision_are_listed_in_order() -> None:
    log = ChangeLog()
    log.replace([], StoreState(10))
    log.append([make_item(11), make_item(12, None)], StoreState(15))
    log.append([make_item(16)], StoreState(16))
    assert log.list_since(StoreState(10)) == [
        Change("servers/i-11", 11, b"value"),
        Change("servers/i-12", 12, None),
        Change("servers/i-16", 16, b"value"),
    ]
    assert log.list_since(StoreState(12)) == [Change("servers/i-16", 16, b"value")]
    assert log.list_since(StoreState(16)) == []
    assert log.revision == 16


def test_state_without_its_changes_is_not_known() -> None:
    log = ChangeLog()
    log.replace([make_item(8)], StoreState(10))
    log.append([], StoreState(15))
    assert (log.revision, log.newest_known) == (15, 10)
    log.append([make_item(16)], StoreState(17))
    assert (log.revision, log.newest_known) == (17, 16)


@pytest.mark.parametrize("revision", [0, 9])
def test_changes_before_the_first_reading_are_not_told(revision: int) -> None:
    log = ChangeLog()
    log.replace([], StoreState(10))
    assert log.list_since(StoreState(revision)) is None


def test_nothing_is_told_before_the_store_was_read() -> None:
    assert ChangeLog().list_since(StoreState(0)) is None


def test_old_changes_go_and_who_needs_them_is_told_so() -> None:
    log = ChangeLog()
    log.replace([], StoreState(0))
    log.append([make_item(revision) for revision in range(1, MAX_CHANGES + 3)], StoreState(MAX_CHANGES + 2))
    assert log.list_since(StoreState(1)) is None
    kept = log.list_since(StoreState(2))
    assert kept is not None
    assert [change.revision for change in kept] == list(range(3, MAX_CHANGES + 3))


def test_newest_change_of_a_key_is_told_alone() -> None:
    """Nodes that ask after ten configurations in quick succession get only the last one."""
    log = ChangeLog()
    log.replace([], StoreState(0))
    older, newer = StoreItem("config", b"one", StoreState(1)), StoreItem("config", b"two", StoreState(3))
    log.append([older, make_item(2), newer], StoreState(3))
    assert log.list_since(StoreState(0)) == [Change("servers/i-2", 2, b"value"), Change("config", 3, b"two")]


def test_long_value_that_packs_well_is_told_packed() -> None:
    """Otherwise each node reads it from the store: 215 calls by 23 nodes while the configuration changed ten times."""
    value = b"route " * MAX_RELAYED_BYTES
    log = ChangeLog()
    log.replace([], StoreState(0))
    log.append([make_item(1, value)], StoreState(1))
    changes = log.list_since(StoreState(0))
    assert changes is not None
    assert changes[0].is_packed
    assert changes[0].value is not None
    assert len(changes[0].value) < len(value) // 100
    assert changes[0].unpack() == value


def test_long_value_that_does_not_pack_is_left_out_and_marked() -> None:
    value = random.Random(1).randbytes(MAX_RELAYED_BYTES + 100)
    log = ChangeLog()
    log.replace([], StoreState(0))
    log.append([make_item(1, value)], StoreState(1))
    assert log.list_since(StoreState(0)) == [Change("servers/i-1", 1, None, is_left_out=True)]
    assert log.find_long_value("servers/i-1") == make_item(1, value)
    log.append([make_item(1, b"short")], StoreState(2))
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
    log.replace([make_item(3), make_item(4)], StoreState(10))
    log.append([make_item(11)], StoreState(11))
    written = StoreItem("servers/i-4", b"other", StoreState(18))
    log.replace([make_item(3), written, make_item(15)], StoreState(20))
    assert log.list_since(StoreState(9)) is None
    assert log.list_since(StoreState(10)) == [
        make_change(15),
        Change("servers/i-4", 18, b"other"),
        Change("servers/i-11", 20, None),
    ]
    assert log.list_since(StoreState(11)) == [
        make_change(15),
        Change("servers/i-4", 18, b"other"),
        Change("servers/i-11", 20, None),
    ]
    assert log.list_since(StoreState(20)) == []


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans(), st.booleans()), max_size=40), st.integers(0, 40))
def test_node_that_takes_the_changes_holds_what_the_store_holds(
    steps: list[tuple[int, bool, bool]], asked_at: int
) -> None:
    """Writes and removals arrive singly or by a reload, and a node asks once in the middle and once at the end."""
    log, store, node = ChangeLog(), dict[str, StoreItem](), dict[str, int]()
    log.replace([], StoreState(0))
    told = 0
    for revision, (number, is_removed, is_read_anew) in enumerate(steps, start=1):
        item = StoreItem(f"key-{number}", None if is_removed else b"value", StoreState(revision))
        store.pop(item.key, None)
        if not is_removed:
            store[item.key] = item
        if is_read_anew:
            log.replace(store.values(), StoreState(revision))
        else:
            log.append([item], StoreState(revision))
        if revision in {asked_at, len(steps)}:
            changes = log.list_since(StoreState(told))
            assert changes is not None
            for change in changes:
                node.pop(change.key, None)
                if change.value is not None:
                    node[change.key] = change.revision
            told = log.revision
    assert node == {key: item.revision for key, item in store.items()}


class RestorableStore:
    """A store that is restored from copies; each state is read whole, or as the changes since another one."""

    def __init__(self) -> None:
        self.epoch = 1
        self.number = 0
        self.items: dict[str, tuple[int, bytes]] = {}
        self.events: list[tuple[int, str, bytes | None]] = []
        self.saved = self.copy()

    @property
    def state(self) -> StoreState:
        return make_state(self.epoch, self.number)

    def write(self, key: str, value: bytes | None) -> None:
        if value is None and key not in self.items:
            return
        self.number += 1
        self.items.pop(key, None)
        if value is not None:
            self.items[key] = (self.number, value)
        self.events.append((self.number, key, value))

    def copy(self) -> tuple[int, dict[str, tuple[int, bytes]], list[tuple[int, str, bytes | None]]]:
        return self.number, dict(self.items), list(self.events)

    def restore(self) -> None:
        self.epoch += 1
        self.number, items, events = self.saved
        self.items, self.events = dict(items), list(events)

    def read(self) -> list[StoreItem]:
        return [self._make_item(key, value, number) for key, (number, value) in self.items.items()]

    def read_since(self, state: StoreState) -> list[StoreItem]:
        return [self._make_item(key, value, number) for number, key, value in self.events if number > get_number(state)]

    def get_values(self) -> dict[str, bytes]:
        return {key: value for key, (_, value) in self.items.items()}

    def _make_item(self, key: str, value: bytes | None, number: int) -> StoreItem:
        return StoreItem(key, value, make_state(self.epoch, number))


class Reader:
    """A node with the values of the store as it knows them."""

    def __init__(self, store: RestorableStore) -> None:
        self.store = store
        self.read()

    def read(self) -> None:
        self.state, self.values = self.store.state, self.store.get_values()

    def ask(self, log: ChangeLog) -> bool:
        """Ask a relay for changes; return False if it is behind this node or cannot list them."""
        changes = log.list_since(self.state) if get_epoch(log.revision) >= get_epoch(self.state) else None
        if changes is None or log.revision < self.state:
            return False
        for change in changes:
            self.values.pop(change.key, None)
            if change.value is not None:
                self.values[change.key] = change.value
        self.state = log.revision
        return True


STEPS = st.lists(
    st.one_of(
        st.sampled_from(["copy", "restore", "relay reads", "node asks", "node reads"]),
        st.tuples(st.integers(0, 3), st.sampled_from([b"a", b"b", None])),
    ),
    max_size=60,
)


@given(STEPS)
@settings(max_examples=400)
def test_restored_store_hides_no_change_from_nodes_that_ask_a_relay(
    steps: list[str | tuple[int, bytes | None]],
) -> None:
    """Revisions are given out again for other changes; nodes that compared them as numbers missed those."""
    store, log = RestorableStore(), ChangeLog()
    log.replace(store.read(), store.state)
    known = store.get_values()  # by the relay
    node = Reader(store)
    for step in [*steps, "relay reads", "node asks"]:
        if isinstance(step, tuple):
            store.write(f"key-{step[0]}", step[1])
        elif step == "copy":
            store.saved = store.copy()
        elif step == "restore":
            store.restore()
        elif step == "node reads":
            node.read()
        elif step == "node asks":
            if node.ask(log):
                assert node.values == known
        elif get_epoch(log.revision) != store.epoch:
            log.replace(store.read(), store.state)
            known = store.get_values()
        else:
            log.append(store.read_since(log.revision), store.state)
            known = store.get_values()


def test_log_starts_again_when_the_store_goes_back_without_stating_an_epoch() -> None:
    """The log kept the larger number, and then listed no change up to it."""
    log = ChangeLog()
    log.replace([make_item(99)], StoreState(101))
    log.append([make_item(102)], StoreState(102))
    log.replace([make_item(99)], StoreState(101))
    assert log.revision == 101
    log.append([make_item(102, b"other")], StoreState(102))
    assert log.list_since(StoreState(101)) == [Change("servers/i-102", 102, b"other")]
    assert log.list_since(StoreState(100)) is None


def test_other_value_under_a_revision_that_was_given_out_again_is_listed() -> None:
    log = ChangeLog()
    log.replace([], make_state(1, 100))
    log.append([StoreItem("config", b"lost", make_state(1, 101))], make_state(1, 101))
    log.replace([StoreItem("config", b"other", make_state(2, 101))], make_state(2, 101))
    assert log.list_since(make_state(1, 101)) == [Change("config", make_state(2, 101), b"other")]


def test_node_with_changes_that_a_relay_never_knew_does_not_continue_after_a_restore() -> None:
    log = ChangeLog()
    log.replace([], make_state(1, 100))
    log.replace([], make_state(2, 101))
    assert log.list_since(make_state(1, 100)) == []
    assert log.list_since(make_state(1, 101)) is None
    log.replace([], make_state(4, 90))
    assert log.list_since(make_state(2, 101)) == []
    assert log.list_since(make_state(2, 102)) is None
    assert log.list_since(make_state(3, 1)) is None


def test_long_value_of_the_copy_is_the_base_of_later_differences() -> None:
    """The follower's version and that of its relay were read in two epochs, and are the same."""
    value = random.Random(1).randbytes(MAX_RELAYED_BYTES) + b"}" * 20
    relay, follower = ChangeLog(), ChangeLog()
    for log in (relay, follower):
        log.replace([StoreItem("config", value, make_state(1, 7))], make_state(1, 9))
    relay.replace([StoreItem("config", value, make_state(2, 7))], make_state(2, 8))
    assert relay.list_since(follower.revision) == []
    follower.append([], relay.revision)
    relay.append([StoreItem("config", value + b"}changed", make_state(2, 9))], make_state(2, 9))
    changes = relay.list_since(follower.revision)
    base = follower.find_long_value("config")
    assert changes is not None
    assert base is not None
    assert changes[0].base == base.revision == make_state(2, 7)


def make_change(revision: int) -> Change:
    return Change(f"servers/i-{revision}", revision, b"value")
