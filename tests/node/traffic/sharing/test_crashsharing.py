"""Reports of crashed servers reach all nodes, at once or after their next request."""

from __future__ import annotations

import time

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rig.traffic import wait_for
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.blame.contents import Content, Fingerprint, PromptPart
from vaneturn_core.traffic.blame.crashboard import MAX_CRASHES, CrashBoard
from vaneturn_core.traffic.blame.crashes import LostRequest, Suspicion
from vaneturn_core.traffic.relays import list_relays
from vaneturn_core.traffic.servers import ServerId, Software
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.traffic.servers.crashrows import CrashRow, pack_crashes, unpack_crashes
from vaneturn_node.traffic.sharing.crashsharing import CRASHES_PATH, CrashReport, CrashSharing

pytestmark = pytest.mark.anyio

V1 = Software("llm/v1")
GUILTY = Fingerprint(Content(7))


class Mesh(Caller):
    """Delivers messages between nodes of one process; disconnected nodes receive and send none."""

    def __init__(self, names: list[str]) -> None:
        super().__init__(LinkPool())
        self.nodes: dict[str, CrashSharing] = {}
        self.boards: dict[str, CrashBoard] = {}
        self.cut: set[str] = set()
        self.message_count = 0
        self._names = names
        for name in names:
            self.add(name)

    def add(self, name: str) -> CrashSharing:
        view = PlatformView(5.0, time.monotonic)
        view.nodes = {VmId(one): one for one in self._names}
        self.boards[name] = CrashBoard(time.monotonic, lambda _: {V1})
        self.nodes[name] = CrashSharing(VmId(name), self.boards[name], view, self)
        return self.nodes[name]

    async def call(  # type: ignore[override] # only the arguments that the node passes
        self, address: str, _method: str, target: str, _limit: float, *, body: bytes
    ) -> Reply | Failed:
        sender = msgspec.json.decode(body)["vm"]
        assert target == CRASHES_PATH
        self.message_count += 1
        if {address, sender} & self.cut:
            return Failed("cut", was_sent=False)
        self.nodes[address].take(body)
        return Reply(200, b"")

    def end(self, name: str, server: str) -> None:
        self.boards[name].record_lost_connection(ServerId(server), V1, LostRequest(GUILTY, Suspicion.UNHEARD))
        self.boards[name].confirm(ServerId(server))

    def list_barring(self) -> set[str]:
        return {name for name, board in self.boards.items() if board.is_blocked(GUILTY)}


@pytest.mark.parametrize("count", [1, 3, 8, 60, 195])
async def test_ends_at_two_nodes_bar_a_request_at_all(count: int) -> None:
    names = [f"entry-{number}" for number in range(count)]
    mesh = Mesh(names)
    async with anyio.create_task_group() as tasks:
        for node in mesh.nodes.values():
            tasks.start_soon(node.run)
        mesh.end(names[0], "i-1")
        mesh.end(names[-1], "i-2")
        await wait_for(lambda: mesh.list_barring() == set(names))
        await anyio.sleep(0.3)
        told = mesh.message_count
        await anyio.sleep(0.3)
        assert mesh.message_count == told  # no further messages, as all nodes know the same
        assert told <= 12 * count
        tasks.cancel_scope.cancel()


async def test_node_that_was_cut_off_or_started_anew_gets_what_it_lacks() -> None:
    names = [f"entry-{number}" for number in range(8)]
    mesh = Mesh(names)
    relays = [str(one) for one in list_relays([VmId(one) for one in names])]
    away = next(name for name in names if name not in relays)
    async with anyio.create_task_group() as tasks:
        for node in mesh.nodes.values():
            tasks.start_soon(node.run)
        mesh.cut = {away}
        mesh.end(next(name for name in names if name not in relays and name != away), "i-1")
        mesh.end(relays[0], "i-2")
        await wait_for(lambda: mesh.list_barring() == set(names) - {away})
        mesh.cut = set()
        mesh.nodes[relays[1]].compare(VmId(away), mesh.nodes[away].check)  # as with its next request
        await wait_for(lambda: mesh.list_barring() == set(names))
        tasks.start_soon(mesh.add(relays[0]).run)  # a relay that was restarted and lost its state
        assert relays[0] not in mesh.list_barring()
        mesh.nodes[relays[1]].compare(VmId(relays[0]), mesh.nodes[relays[0]].check)
        await wait_for(lambda: mesh.list_barring() == set(names))
        tasks.cancel_scope.cancel()


async def test_report_that_waits_is_sent_although_one_of_the_relay_arrives_meanwhile() -> None:
    names = [f"entry-{number}" for number in range(8)]
    mesh = Mesh(names)
    relays = [str(one) for one in list_relays([VmId(one) for one in names])]
    follower = next(name for name in names if name not in relays)
    async with anyio.create_task_group() as tasks:
        for node in mesh.nodes.values():
            tasks.start_soon(node.run)
        mesh.end(relays[0], "i-1")
        mesh.end(follower, "i-2")
        rows = pack_crashes(mesh.boards[relays[0]].list_crashes(), time.monotonic())
        report = CrashReport(VmId(relays[0]), mesh.nodes[relays[0]].check, rows)
        mesh.nodes[follower].take(msgspec.json.encode(report))
        await wait_for(lambda: mesh.list_barring() == set(names), 2.0)
        tasks.cancel_scope.cancel()


async def test_relay_that_knows_less_is_told() -> None:
    names = ["entry-1", "entry-2"]
    mesh = Mesh(names)
    mesh.cut = {"entry-1"}
    async with anyio.create_task_group() as tasks:
        for node in mesh.nodes.values():
            tasks.start_soon(node.run)
        mesh.end("entry-1", "i-1")
        mesh.end("entry-1", "i-2")
        await anyio.sleep(0.2)
        assert mesh.list_barring() == {"entry-1"}
        mesh.cut = set()
        mesh.nodes["entry-2"].compare(VmId("entry-1"), mesh.nodes["entry-1"].check)
        await wait_for(lambda: mesh.list_barring() == set(names))
        tasks.cancel_scope.cancel()


async def test_nodes_that_can_never_know_the_same_tell_each_other_seldom() -> None:
    """There are more crashes than are kept, and each node has newer ones than the other."""
    names = ["entry-1", "entry-2"]
    mesh = Mesh(names)
    async with anyio.create_task_group() as tasks:
        for node in mesh.nodes.values():
            tasks.start_soon(node.run)
        mesh.cut = set(names)
        for number in range(MAX_CRASHES):
            for name in names:
                mesh.end(name, f"i-{name}-{number}")
        await anyio.sleep(0.3)
        mesh.message_count = 0
        for _ in range(20):  # requests within one second; no message is delivered
            mesh.nodes["entry-2"].compare(VmId("entry-1"), mesh.nodes["entry-1"].check)
            await anyio.sleep(0.02)
        assert mesh.message_count <= 2
        tasks.cancel_scope.cancel()


async def test_parts_of_prompts_and_what_clears_them_reach_all_nodes() -> None:
    """Two nodes see one crash each, of requests with two parts in common, and a third one has run one of these."""
    names = [f"entry-{number}" for number in range(8)]
    mesh = Mesh(names)
    shared, deadly = PromptPart(0xA1), PromptPart(0xDEAD)
    mesh.boards[names[2]].record_completion(Fingerprint(Content(3), (shared,)), V1)
    async with anyio.create_task_group() as tasks:
        for node in mesh.nodes.values():
            tasks.start_soon(node.run)
        for number, name in enumerate(names[:2]):
            lost = LostRequest(Fingerprint(Content(number), (shared, deadly)), Suspicion.UNHEARD)
            mesh.boards[name].record_lost_connection(ServerId(f"i-{number}"), V1, lost)
            mesh.boards[name].confirm(ServerId(f"i-{number}"))
        blocked = Fingerprint(Content(9), (deadly,))
        await wait_for(lambda: all(board.is_blocked(blocked) for board in mesh.boards.values()))
        assert not any(board.is_blocked(Fingerprint(Content(9), (shared,))) for board in mesh.boards.values())
        assert len({board.check for board in mesh.boards.values()}) == 1
        tasks.cancel_scope.cancel()


def test_row_of_an_older_build_has_contents_only() -> None:
    (crash,) = unpack_crashes([msgspec.convert(["i-1", 1.0, "v1", [[7, 2]]], CrashRow)], 100.0).values()
    assert (crash.at, crash.suspects, crash.requests) == (99.0, {7: Suspicion.UNHEARD}, {})


def encode_word(rows: list[object]) -> bytes:
    return msgspec.json.encode({"vm": "x", "check": 1, "ends": rows})


REQUESTS = st.lists(st.tuples(st.integers(0, 9), st.lists(st.integers(-1, 20), max_size=3)), max_size=2)
SUSPECTS = st.lists(st.tuples(st.integers(0, 9), st.integers(-1, 5)), max_size=3)
AGES = st.floats(allow_nan=False, allow_infinity=False)
ROWS = st.tuples(st.text(max_size=4), AGES, st.text(max_size=2), SUSPECTS, REQUESTS)


@given(st.binary(max_size=200) | st.builds(encode_word, st.lists(ROWS, max_size=3)))
@settings(max_examples=150)
def test_any_word_is_taken_or_left(body: bytes) -> None:
    board = CrashBoard(time.monotonic, lambda _: {V1})
    CrashSharing(VmId("entry-1"), board, PlatformView(5.0, time.monotonic), Caller(LinkPool())).take(body)
    for end in board.list_crashes().values():
        assert end.at <= time.monotonic()
        assert all(isinstance(word, Suspicion) for word in end.suspects.values())
