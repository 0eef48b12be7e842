"""An unanswered probe counts against a server only if others respond in the meantime, and it counts only once.

If timeouts are kept for 0.2 s and checked every 0.1 s, one unanswered probe counts twice and makes a server lost. And a
node whose own link is full must not find 11 of the 12 servers of a chain lost in one check.
"""

from __future__ import annotations

import time
from typing import Any

import anyio
import anyio.lowlevel
import msgspec
import pytest

from core.traffic.samples import make_server
from node.traffic.samples import make_parts
from rig.virtualtime import VirtualClock, VirtualTimeLoop
from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.chain import Chain, Part
from vaneturn_core.traffic.hearing import PROMPT_ANSWER_S
from vaneturn_core.traffic.slowness import list_slow
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.lossfinding import LossFinder

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    """Use virtual time, since a check depends on responses within some 20 ms, which a busy machine may delay."""
    return "asyncio", {"loop_factory": VirtualTimeLoop}


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("vaneturn_node.clock.time", VirtualClock)


PARTS = 4
SERVERS = [make_server(number, "a100", layers=(number * 20 % 80, number * 20 % 80 + 20)) for number in range(8)]
CHAIN = Chain(80, tuple(Part(server, number * 20, number * 20 + 20) for number, server in enumerate(SERVERS[:PARTS])))


class Servers(Caller):
    """Answers probes in place of servers."""

    def __init__(self, silent: set[int], delay: float = 0.002) -> None:
        super().__init__(LinkPool())
        self.silent = {SERVERS[number].address for number in silent}
        self.delay = delay  # seconds until a response
        self.asked: list[str] = []
        self.slowness: dict[str, float] = {}
        self.unkept: set[str] = set()  # addresses; this process has no memory for what these respond

    async def call(self, address: str, method: str, target: str, limit: float, **_: Any) -> Reply | Failed:
        assert (method, target) == ("GET", "/api/report")
        self.asked.append(address)
        if address in self.silent:
            await anyio.sleep(limit)
            return Failed("no answer in time", was_sent=True)
        await anyio.sleep(self.delay)
        if address in self.unkept:
            return Failed("no memory for the answer", was_sent=True, has_answered=True, has_no_memory=True)
        report = {"seq": 1, "layers": [], "pace": self.slowness.get(address, 1.0)}
        return Reply(200, msgspec.json.encode(report))


def make_node(servers: Servers) -> TrafficParts:
    view = PlatformView(5.0, time.monotonic)
    for server in SERVERS:
        view.put_server(server)
    return make_parts("entry-1", view, ServerStatuses(), servers)


def make_finder(parts: TrafficParts) -> LossFinder:
    return LossFinder(parts, RequestId("request-1"))


async def find_lost(finder: LossFinder) -> tuple[list[str], bool]:
    losses = await finder.find(CHAIN, mean_gap=0.0)
    return [part.server.address for part in losses.parts], losses.is_first_lost


@pytest.mark.parametrize("unkept", [{2}, set(range(PARTS))])
async def test_part_whose_report_finds_no_memory_is_not_silent(unkept: set[int]) -> None:
    """The node had no room; sound servers were left, or the path to all of them seemed lost."""
    servers = Servers(silent=set())
    servers.unkept = {SERVERS[number].address for number in unkept}
    finder = make_finder(make_node(servers))
    for _ in range(2):
        losses = await finder.find(CHAIN, mean_gap=0.0)
        assert not losses.parts
        assert not losses.is_first_lost
        assert not losses.reaches_none


async def test_part_that_is_silent_beside_the_others_is_lost_at_once() -> None:
    servers = Servers(silent={2})
    parts = make_node(servers)
    started = read_clock()
    assert await find_lost(make_finder(parts)) == ([SERVERS[2].address], False)
    assert len(servers.asked) == PARTS
    assert read_clock() - started == pytest.approx(PROMPT_ANSWER_S)


async def test_nobody_is_lost_while_this_node_hears_nobody() -> None:
    parts = make_node(Servers(silent=set(range(8))))
    finder = make_finder(parts)
    for _ in range(4):
        assert await find_lost(finder) == ([], False)


async def test_chain_is_lost_if_others_answer() -> None:
    parts = make_node(Servers(silent=set(range(PARTS))))
    assert (await find_lost(make_finder(parts)))[1]


async def test_nobody_is_lost_while_answers_are_late() -> None:
    """Some probes are answered in time and some are not, as the queue on the link takes as long as the timeout."""
    parts = make_node(Servers(silent={1, 3}, delay=0.04))
    assert await find_lost(make_finder(parts)) == ([], False)


async def test_part_that_answers_the_second_probe_is_not_lost_with_another() -> None:
    """The time limit of the second probes discarded the answer that had come, and both parts counted as lost."""
    servers = Servers(silent={2, 3})
    parts = make_node(servers)

    async def recover() -> None:
        while servers.asked.count(SERVERS[2].address) < 1:  # counted by the stand-in
            await anyio.lowlevel.checkpoint()
        servers.silent.discard(SERVERS[2].address)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(recover)
        assert await find_lost(make_finder(parts)) == ([SERVERS[3].address], False)


async def test_one_unanswered_question_is_one_silence() -> None:
    servers = Servers(silent={0})
    parts = make_node(servers)
    await parts.reports.read(SERVERS[0])
    await anyio.sleep(0.1)  # until the next check
    await parts.reports.read(SERVERS[0])
    assert servers.asked == [SERVERS[0].address] * 2


async def test_first_server_is_not_gone_by_one_question() -> None:
    servers = Servers(silent={0})
    parts = make_node(servers)
    finder = make_finder(parts)
    assert await find_lost(finder) == ([], False)
    assert finder.should_check_soon
    servers.silent.clear()
    await anyio.sleep(0.1)
    assert await find_lost(finder) == ([], False)
    assert not finder.should_check_soon


async def test_part_that_had_just_worked_is_asked_soon_after() -> None:
    """A server stops responding after it has worked for another request 20 ms after the latest event of this one."""
    servers = Servers(silent={2})
    parts = make_node(servers)
    finder = make_finder(parts)
    parts.beliefs[SERVERS[2].id].record_token(read_clock())
    losses = await finder.find(CHAIN, mean_gap=0.025, tolerated_silence=0.07)
    assert not losses.parts
    assert finder.should_check_soon
    await anyio.sleep(0.06)
    losses = await finder.find(CHAIN, mean_gap=0.025, tolerated_silence=0.07)
    assert [part.server.address for part in losses.parts] == [SERVERS[2].address]


async def test_short_silence_counts_for_a_part_that_was_heard_when_it_began() -> None:
    """All parts were heard from 0.07 s ago: with a maximum age of 0.08 s, none of them would be probed."""
    servers = Servers(silent={2})
    parts = make_node(servers)
    for server in SERVERS[:PARTS]:
        parts.beliefs[server.id].record_token(read_clock() - 0.07)
    losses = await make_finder(parts).find(CHAIN, mean_gap=0.025, tolerated_silence=0.07)
    assert [part.server.address for part in losses.parts] == [SERVERS[2].address]


async def test_slowness_in_any_response_is_recorded() -> None:
    """Probes for silence carry the slowness as well; without it, the next request goes over the slow server again."""
    servers = Servers(silent=set())
    servers.slowness[SERVERS[2].address] = 12.0
    parts = make_node(servers)
    assert await find_lost(make_finder(parts)) == ([], False)
    assert list_slow(parts.beliefs, read_clock()).keys() == {SERVERS[2].id}
