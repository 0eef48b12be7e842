"""Changes sent from node to node: state never counts as more recent than it is."""

from __future__ import annotations

import dataclasses
import time

import anyio
import msgspec
import pytest
from msgspec import UNSET

from node.traffic.samples import Answer
from node.traffic.sharing.samples import BUSY, RESERVED, TIMES, Relay, Transport, lead, make_client
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.loads import MAX_SUM_AGE_S
from vaneturn_core.traffic.servers import ServerId, ServerLoad
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.platform.epochs import StoreState, make_state
from vaneturn_node.platform.store import StoreItem
from vaneturn_node.traffic.servers.permits import LimitRow
from vaneturn_node.traffic.sharing.changeclient import NoChanges, RelayedChanges
from vaneturn_node.traffic.sharing.changelog import ChangeLog
from vaneturn_node.traffic.sharing.changeserver import CHANGES_PATH
from vaneturn_node.traffic.sharing.peerwords import RelayAnswer

pytestmark = pytest.mark.anyio


async def ask(caller: Caller) -> RelayedChanges | NoChanges:
    return await make_client(caller)[0].ask("relay", StoreState(5))


async def test_nodes_learn_what_all_others_have_in_progress() -> None:
    """If each assumes that the others' load is like its own, chains of other halls seem full and its own ones free."""
    relay, other = Relay(), Relay()
    lead(relay.beliefs, 1)
    await make_client(Transport(other.server), "entry-4", busy=20)[0].ask("relay", StoreState(4))
    relay.board.record_relay(VmId("entry-9"), other.board.sum_followers({}))
    for name, busy in (("entry-2", 3), ("entry-3", 5)):
        relay.hear(StoreItem("servers/i-1", b"entry", StoreState(6)), revision=6)
        await anyio.sleep(MAX_SUM_AGE_S)  # requests at about the same time share one sum
        client, board = make_client(Transport(relay.server), name, busy)
        assert await client.ask("relay", StoreState(5)) is not None
    assert board.get_others(BUSY) == ServerLoad(1 + 3 + 20, 24 * RESERVED)
    assert relay.board.get_others(BUSY) == ServerLoad(3 + 5 + 20, 28 * RESERVED)
    assert relay.board.get_others(ServerId("i-2")) == ServerLoad(0, 0.0)


async def test_relays_tell_each_other() -> None:
    relay = Relay()
    client, _ = make_client(Transport(relay.server), "entry-1")
    await client.report_loads("relay", {BUSY: ServerLoad(7, 7 * RESERVED)}, UNSET)
    assert relay.board.get_others(BUSY) == ServerLoad(7, 7 * RESERVED)


async def test_rate_limit_that_one_node_was_told_reaches_all_others() -> None:
    """Otherwise each node keeps its rate until a server's answer to it contains the limit."""
    relay, other = Relay(), Relay()
    reporter, _ = make_client(Transport(relay.server), "entry-2")
    reporter._permits.apply_limits([LimitRow("i-1", 2.5, 0.0), LimitRow("i-9", 2.5, 0.0), LimitRow("i-1", -1.0, 0.0)])
    relay.hear(StoreItem("servers/i-1", b"entry", StoreState(6)), revision=6)
    await reporter.ask("relay", StoreState(5))
    asker, _ = make_client(Transport(relay.server), "entry-3")
    await asker.ask("relay", StoreState(5))
    assert [(one.server, one.rate) for one in asker._permits.list_changed_limits()] == [("i-1", 2.5)]
    between_relays, _ = make_client(Transport(other.server), "entry-1")
    between_relays._permits.apply_limits(relay.parts.permits.list_changed_limits())
    await between_relays.report_loads("relay", {}, UNSET)
    assert other.parts.limits.list_limited() == {BUSY: 2.5}


async def test_word_on_loads_that_is_not_understood_does_not_hide_changes() -> None:
    relay = Relay()
    relay.hear(StoreItem("servers/i-1", b"entry", StoreState(6)), revision=6)
    answer = Answer()
    request = ClientRequest("POST", f"{CHANGES_PATH}?since=5", CHANGES_PATH, [], b"{", time.monotonic())
    await relay.server.answer(request, answer)
    assert answer.status == 200


async def test_changes_are_told_at_once() -> None:
    relay = Relay()
    relay.hear(StoreItem("servers/i-1", b"entry", StoreState(6)), revision=6)
    received = await ask(Transport(relay.server))
    assert isinstance(received, RelayedChanges)
    assert received.revision == 6
    assert [(change.key, change.value) for change in received.changes] == [("servers/i-1", b"entry")]


async def test_question_waits_for_the_next_word_of_the_store() -> None:
    relay = Relay()
    received = []

    async def wait() -> None:
        received.append(await ask(Transport(relay.server)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        await anyio.sleep(0.1)
        assert not received
        relay.hear(revision=5)
    assert isinstance(received[0], RelayedChanges)
    assert received[0].changes == []


async def test_time_of_the_word_is_never_taken_for_later_than_it_was() -> None:
    relay = Relay()
    confirmed_at = relay.view.contact.confirmed_at
    relay.log.append([StoreItem("servers/i-1", b"entry", StoreState(6))], StoreState(6))
    await anyio.sleep(0.1)
    received = await ask(Transport(relay.server, delay=0.2))
    assert isinstance(received, RelayedChanges)
    assert confirmed_at - 0.05 <= received.contact.confirmed_at <= confirmed_at


async def test_relay_that_has_long_not_heard_of_the_store_counts_for_nothing() -> None:
    relay = Relay()
    await anyio.sleep(TIMES.ask - TIMES.hold + 0.05)
    with anyio.fail_after(TIMES.hold + 0.5):
        assert await ask(Transport(relay.server)) is NoChanges.OUT_OF_TOUCH


async def test_answer_after_the_whole_hold_counts_for_nothing() -> None:
    """Else a relay whose link to the store is cut silently is left only after 1.91 s, and 2 s are allowed."""
    relay = Relay()
    with anyio.fail_after(TIMES.hold + 0.1):
        assert await ask(Transport(relay.server)) is NoChanges.OUT_OF_TOUCH


async def test_relay_that_cannot_reach_the_store_says_so_at_once() -> None:
    relay = Relay()

    async def fail() -> None:
        await anyio.sleep(0.1)
        relay.view.note_failure()
        relay.log.wake()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fail)
        with anyio.fail_after(0.3):
            assert await ask(Transport(relay.server)) is NoChanges.OUT_OF_TOUCH


async def test_troubles_of_the_store_are_told_with_their_times() -> None:
    relay = Relay()
    relay.view.note_failure()
    relay.hear(StoreItem("servers/i-1", None, StoreState(6)), revision=6)
    received = await ask(Transport(relay.server))
    assert isinstance(received, RelayedChanges)
    assert not received.contact.is_in_trouble
    assert received.contact.returned_at == pytest.approx(relay.view.contact.returned_at, abs=0.05)


@pytest.mark.parametrize(
    "target", [f"{CHANGES_PATH}?since=4", f"{CHANGES_PATH}?since=x", CHANGES_PATH, "/other?since=5"]
)
async def test_question_that_cannot_be_answered_is_refused(target: str) -> None:
    answer = Answer()
    request = ClientRequest("GET", target, target.partition("?")[0], [], b"", time.monotonic())
    await Relay().server.answer(request, answer)
    assert answer.status in {404, 410}


async def test_answer_that_is_not_understood_counts_for_nothing() -> None:
    class Garbling(Caller):
        def __init__(self) -> None:
            super().__init__(LinkPool())

        async def call(self, address: str, *_: object, **__: object) -> Reply | Failed:
            return Reply(200, msgspec.json.encode({"address": address}))

    assert await ask(Garbling()) is NoChanges.NO_ANSWER


async def test_loss_does_not_bring_a_word_that_is_too_old_for_the_asker() -> None:
    """An asker that gets state that is too old leaves its relay, and so do all others at the same moment."""
    relay = Relay()
    relay.view.contact = dataclasses.replace(relay.view.contact, confirmed_at=time.monotonic() - TIMES.ask - 0.1)
    received: list[RelayedChanges | NoChanges] = []
    async with anyio.create_task_group() as tasks:

        async def follow() -> None:
            received.append(await ask(Transport(relay.server)))

        tasks.start_soon(follow)
        await anyio.sleep(0.05)
        relay.parts.losses.version += 1
        relay.log.wake()
        await anyio.sleep(0.05)
        relay.hear(revision=6)
    assert isinstance(received[0], RelayedChanges)
    assert received[0].revision == 6


async def test_relay_that_has_not_read_the_restored_store_is_out_of_touch() -> None:
    """Its confirmation of an older epoch says nothing of what a node has read since."""
    relay = Relay()
    client, _ = make_client(Transport(relay.server))
    with anyio.fail_after(TIMES.hold / 2):
        assert await client.ask("relay", make_state(1, 5)) is NoChanges.OUT_OF_TOUCH


async def test_answer_of_a_relay_that_knows_no_epochs_counts_for_nothing_after_a_restore() -> None:
    """Nodes of an older build answer with the bare revision."""

    class OlderBuild(Caller):
        def __init__(self) -> None:
            super().__init__(LinkPool())

        async def call(self, address: str, *_: object, **__: object) -> Reply | Failed:
            assert address
            answer = RelayAnswer(9, [], held=0.0, confirmed_age=0.0, failed_age=None, returned_age=None)
            return Reply(200, msgspec.json.encode(answer))

    client, _ = make_client(OlderBuild())
    assert await client.ask("relay", make_state(1, 5)) is NoChanges.OUT_OF_TOUCH
    assert isinstance(await client.ask("relay", make_state(0, 5)), RelayedChanges)


async def test_node_ahead_of_its_relay_gets_no_answer_before_the_relay_has_caught_up() -> None:
    """If the store went back without stating an epoch, the next changes have numbers that the node takes for known."""
    relay = Relay()
    received: list[RelayedChanges | NoChanges] = []

    async def follow() -> None:
        received.append(await make_client(Transport(relay.server))[0].ask("relay", StoreState(7)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follow)
        for revision in (5, 6):
            await anyio.sleep(0.05)
            relay.hear(revision=revision)
        await anyio.sleep(0.05)
        assert not received
        relay.hear(StoreItem("servers/i-1", b"entry", StoreState(8)), revision=8)
    assert isinstance(received[0], RelayedChanges)
    assert received[0].revision == 8


async def test_node_is_refused_at_once_by_a_relay_that_has_not_read_the_store() -> None:
    relay = Relay()
    relay.log = relay.server._log = ChangeLog()
    with anyio.fail_after(TIMES.hold / 2):
        assert await make_client(Transport(relay.server))[0].ask("relay", StoreState(7)) is NoChanges.NO_ANSWER


async def test_node_ahead_of_a_relay_that_stays_behind_leaves_it() -> None:
    relay = Relay()
    assert await make_client(Transport(relay.server))[0].ask("relay", StoreState(7)) is NoChanges.OUT_OF_TOUCH


async def test_relay_that_cannot_reach_the_store_sends_its_sums_to_the_nodes_that_follow_it() -> None:
    """Otherwise each node multiplies its own load by the number of nodes for as long as the store is away."""
    relay = Relay()
    lead(relay.beliefs, 3)
    client, board = make_client(Transport(relay.server), busy=1)
    relay.hear(StoreItem("servers/i-1", b"entry", StoreState(6)), revision=6)
    assert isinstance(await client.ask("relay", StoreState(5)), RelayedChanges)
    relay.view.note_failure()
    lead(relay.beliefs, 7)
    await anyio.sleep(MAX_SUM_AGE_S)
    assert await client.ask("relay", StoreState(6)) is NoChanges.OUT_OF_TOUCH
    assert board.get_others(BUSY) == ServerLoad(7, 7 * RESERVED)


async def test_sums_of_a_relay_out_of_touch_that_is_not_followed_are_not_believed() -> None:
    """It knows few nodes while the others ask the store, so servers would look empty."""
    relay = Relay()
    relay.view.note_failure()
    client, board = make_client(Transport(relay.server), busy=1)
    assert await client.ask("relay", StoreState(5)) is NoChanges.OUT_OF_TOUCH
    assert board.get_others(BUSY) is None


async def test_relay_does_not_count_a_node_that_another_relay_counts() -> None:
    first, second = Relay(), Relay()
    for relay in (first, second):
        relay.hear(StoreItem("servers/i-1", b"entry", StoreState(6)), revision=6)
    client, board = make_client(Transport(first.server), busy=4)
    assert isinstance(await client.ask("relay", StoreState(5)), RelayedChanges)
    client._caller = Transport(second.server)
    lead(second.beliefs, 2)
    assert isinstance(await client.ask("second", StoreState(5)), RelayedChanges)
    assert first.board.get_others(BUSY) == ServerLoad(4, 4 * RESERVED)
    assert second.board.get_others(BUSY) is None
    assert board.get_others(BUSY) == ServerLoad(2, 2 * RESERVED)
