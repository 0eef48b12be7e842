"""Long values between nodes: built from differences, sent whole by a relay or, if that fails, read from the store."""

from __future__ import annotations

import random
import time
from collections.abc import Mapping

import anyio
import msgspec
import pytest

from node.traffic.samples import Answer
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.servers import ServerAddress
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.epochs import StoreState, make_state
from vaneturn_node.platform.store import PlatformStore, StoreItem
from vaneturn_node.traffic.sharing.changelog import Change, ChangeLog
from vaneturn_node.traffic.sharing.difference import pack
from vaneturn_node.traffic.sharing.longvalues import (
    MAX_BYTES_PER_S,
    MAX_TURN_WAIT_S,
    VALUE_PATH,
    LongValueReader,
    LongValueServer,
)

pytestmark = pytest.mark.anyio

KEY = "op/config"
STORE = "store"


def make_item(revision: int, text: str = "") -> StoreItem:
    """Make a value that is too long for the changes even when compressed; versions differ only in the text."""
    texts = random.Random(1)
    routes = [
        f'{{"name": "{texts.randbytes(12).hex()}", "note": "{text if number == 700 else ""}"}}'
        for number in range(1500)
    ]
    return StoreItem(KEY, f"[{', '.join(routes)}]".encode(), StoreState(revision))


def make_log(*items: StoreItem) -> ChangeLog:
    log = ChangeLog()
    log.replace(items[:1], items[0].revision)
    for item in items[1:]:
        log.append([item], item.revision)
    return log


def tell(log: ChangeLog, since: int) -> Change:
    changes = log.list_since(StoreState(since))
    assert changes is not None
    assert len(changes) == 1
    return changes[0]


class Transport(Caller):
    """Delivers requests to relays in this process, and to a store that holds one item."""

    def __init__(self, relays: Mapping[str, ChangeLog | Reply], stored: StoreItem | None = None) -> None:
        super().__init__(LinkPool())
        self._relays = relays
        self._stored = stored
        self.asked: list[str] = []

    async def call(self, address: str, method: str, target: str, limit: float, **_: object) -> Reply | Failed:
        assert method == "GET"
        assert limit > 0
        self.asked.append(address)
        if address == STORE and self._stored is not None:
            item = {"key": KEY, "revision": self._stored.revision, "value": self._stored.value}
            return Reply(200, msgspec.json.encode(item))
        relay = self._relays.get(address)
        if isinstance(relay, ChangeLog):
            assert target.startswith(VALUE_PATH)
            answer = Answer()
            await LongValueServer(relay).answer(KEY, answer)
            return Reply(answer.status, answer.body)
        return relay or Failed("nobody there", was_sent=False)


def make_reader(log: ChangeLog, transport: Transport) -> LongValueReader:
    view = PlatformView(5.0, time.monotonic)
    view.nodes = {VmId(f"entry-{number}"): f"entry-{number}" for number in range(1, 9)}
    store = PlatformStore(transport, ServerAddress(STORE))
    return LongValueReader(vm=VmId("other"), store=store, view=view, log=log, caller=transport)


async def test_newer_version_is_made_of_its_difference() -> None:
    """Otherwise each node reads the whole configuration, 545 KB, when a single timeout changes."""
    newest = make_item(5, "changed")
    relay, transport = make_log(make_item(3), newest), Transport({})
    change = tell(relay, 4)
    assert change.difference is not None
    assert len(change.difference) < 500
    assert await make_reader(make_log(make_item(3)), transport).read(change, "relay") == newest
    assert transport.asked == []


async def test_node_with_another_version_asks_for_the_whole_value() -> None:
    newest = make_item(5, "changed")
    relay = make_log(make_item(3), newest)
    transport = Transport({"relay": relay})
    change = tell(relay, 4)
    assert change.base == 3
    assert await make_reader(make_log(make_item(2, "older")), transport).read(change, "relay") == newest
    assert transport.asked == ["relay"]


async def test_difference_that_gives_another_value_is_not_taken() -> None:
    newest = make_item(5, "changed")
    relay = make_log(make_item(3), newest)
    transport = Transport({"relay": relay})
    change = tell(relay, 4)
    another = StoreItem(KEY, b" " + (make_item(3).value or b""), StoreState(3))  # differs in a piece that is copied
    assert await make_reader(make_log(another), transport).read(change, "relay") == newest
    assert transport.asked == ["relay"]


@pytest.mark.parametrize(
    "reply",
    [
        Reply(503, b""),
        Reply(200, b"other"),
        Reply(200, msgspec.msgpack.encode({"revision": 5, "packed": b"other"})),
        Reply(200, msgspec.msgpack.encode({"revision": 4, "packed": pack(b"older")})),
    ],
    ids=["busy", "not understood", "not packed", "older"],
)
async def test_other_relay_is_asked_before_the_store(reply: Reply) -> None:
    newest = make_item(5, "changed")
    relay = make_log(make_item(3), newest)
    names = [f"entry-{number}" for number in range(1, 9)]
    transport = Transport({"relay": reply, **dict.fromkeys(names, relay)}, stored=newest)
    change = Change(KEY, 5, None, is_left_out=True)
    assert await make_reader(make_log(make_item(3)), transport).read(change, "relay") == newest
    assert transport.asked[0] == "relay"
    assert len(transport.asked) == 2
    assert STORE not in transport.asked


async def test_store_is_read_when_no_relay_gives_the_value() -> None:
    newest = make_item(5, "changed")
    transport = Transport({}, stored=newest)
    change = Change(KEY, 5, None, is_left_out=True)
    assert await make_reader(make_log(make_item(3)), transport).read(change, "relay") == newest
    assert transport.asked[-1] == STORE


async def test_value_that_nobody_gives_is_none() -> None:
    transport = Transport({})
    assert (
        await make_reader(make_log(make_item(3)), transport).read(Change(KEY, 5, None, is_left_out=True), "relay")
        is None
    )


async def test_relay_gives_values_one_after_the_other_and_refuses_who_would_wait_too_long() -> None:
    """Sent to 48 nodes at once, whole values would fill the relay's own link for a second and stall its streams."""
    server = LongValueServer(make_log(make_item(3)))
    answers: list[tuple[float, Answer]] = []
    began = time.monotonic()

    async def ask() -> None:
        answer = Answer()
        await server.answer(KEY, answer)
        answers.append((time.monotonic() - began, answer))

    with anyio.fail_after(MAX_TURN_WAIT_S + 2.0):
        async with anyio.create_task_group() as tasks:
            for _ in range(100):
                tasks.start_soon(ask)
    given = [(at, len(answer.body)) for at, answer in answers if answer.status == 200]
    refused = [at for at, answer in answers if answer.status == 503]
    assert len(given) + len(refused) == 100
    assert refused
    sent = 0
    for at, size in given:
        assert at >= sent / MAX_BYTES_PER_S - 0.01  # not before the time that the previous ones need at this rate
        sent += size
    assert sent / MAX_BYTES_PER_S >= MAX_TURN_WAIT_S


async def test_value_of_another_epoch_is_not_taken() -> None:
    """A relay that has not read the restored store may hold another value under a later number."""
    lost, newest = make_item(9, "lost"), make_item(5, "changed")
    relay = ChangeLog()
    relay.replace([StoreItem(KEY, lost.value, make_state(1, 9))], make_state(1, 9))
    other = ChangeLog()
    other.replace([StoreItem(KEY, newest.value, make_state(2, 5))], make_state(2, 5))
    names = [f"entry-{number}" for number in range(1, 9)]
    transport = Transport({"relay": relay, **dict.fromkeys(names, other)})
    change = Change(KEY, make_state(2, 5), None, is_left_out=True)
    read = await make_reader(make_log(make_item(3)), transport).read(change, "relay")
    assert read == StoreItem(KEY, newest.value, make_state(2, 5))
