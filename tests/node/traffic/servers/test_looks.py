"""Looks of many streams at once, answers that come back while they look, and faults of this VM.

Each stream asked behind the question of the one before: the looks of twelve took 0.8 s, and a look holds up the relay
of its events. A question from before the way was free counted beside answers from after it.
"""

from __future__ import annotations

import errno
from collections import Counter

import anyio
import pytest

from node.traffic.servers.test_lossfinding import PARTS, SERVERS, Servers, find_lost, make_finder, make_node
from rig.virtualtime import VirtualClock, VirtualTimeLoop
from vaneturn_core.traffic.hearing import PROMPT_ANSWER_S
from vaneturn_node.http1.link import HttpLink, LinkError
from vaneturn_node.traffic.servers.exchange import TrafficParts

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    """What a look finds depends on answers within some 20 ms, which a busy machine may not give to the test."""
    return "asyncio", {"loop_factory": VirtualTimeLoop}


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("vaneturn_node.clock.time", VirtualClock)


async def test_silence_of_a_question_asked_behind_the_queue_says_nothing_once_the_way_is_free() -> None:
    """One stream asks while nobody is heard; a moment later another one looks, and everybody answers at once."""
    servers = Servers(silent=set(range(8)))
    parts = make_node(servers)
    await parts.reports.read(SERVERS[2])  # of another stream; this VM hears nobody
    servers.silent.clear()  # the way is free
    assert await find_lost(make_finder(parts)) == ([], False)
    assert parts.beliefs[SERVERS[2].id].failures == 0


async def test_first_server_with_many_quiet_requests_is_not_gone_by_such_a_question() -> None:
    servers = Servers(silent=set(range(8)))
    parts = make_node(servers)
    parts.beliefs[SERVERS[0].id].in_progress = 3
    await parts.reports.read(SERVERS[0])
    servers.silent.clear()
    assert await find_lost(make_finder(parts)) == ([], False)


async def test_question_that_waited_for_the_one_of_another_stream() -> None:
    """The same without luck: the look waits for the lock of a question that was asked before the way was free."""
    servers = Servers(silent=set(range(8)))
    parts = make_node(servers)
    found: list[tuple[list[str], bool]] = []

    async def look() -> None:
        await anyio.sleep(0.05)
        servers.silent.clear()
        found.append(await find_lost(make_finder(parts)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(parts.reports.read, SERVERS[2])
        tasks.start_soon(look)
    assert found == [([], False)]


async def look_at_once(parts: TrafficParts, streams: int) -> list[bool]:
    """Let streams look twice at the same chain; gives whether each of them has found its first server gone."""
    found: list[bool] = []

    async def look() -> None:
        finder = make_finder(parts)
        first = await find_lost(finder)
        await anyio.sleep(0.04)
        found.append(first[1] or (await find_lost(finder))[1])

    async with anyio.create_task_group() as tasks:
        for _ in range(streams):
            tasks.start_soon(look)
    return found


@pytest.mark.parametrize("streams", [1, 4, 12])
async def test_questions_do_not_grow_with_the_streams_that_look(streams: int) -> None:
    """Two looks ask twice each, whoever looks; one question after the other made looks longer with each stream."""
    servers = Servers(silent=set(range(8)))
    assert not any(await look_at_once(make_node(servers), streams))
    asked = Counter(servers.asked)
    assert max(asked[server.address] for server in SERVERS[:PARTS]) <= 2 * 2 * 2  # some may start too late to join


@pytest.mark.parametrize("streams", [1, 12])
async def test_loss_of_a_chain_is_found_in_two_looks_by_all_streams(streams: int) -> None:
    assert all(await look_at_once(make_node(Servers(silent=set(range(PARTS)))), streams))


@pytest.mark.parametrize(("share", "count"), [(0.9, 12), (1.1, 0)])
async def test_answers_that_are_not_prompt_say_nothing_of_a_loss(share: float, count: int) -> None:
    """As on a machine too busy to give answers in time: none of twelve streams found the loss of its chain."""
    servers = Servers(silent=set(range(PARTS)), delay=share * PROMPT_ANSWER_S)
    assert sum(await look_at_once(make_node(servers), 12)) == count


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENETUNREACH, errno.EHOSTUNREACH])
async def test_fault_of_this_vm_is_no_refusal_of_the_server(number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def fail(*_: object, **__: object) -> None:
        raise OSError(number, "fault here")

    monkeypatch.setattr(anyio, "connect_tcp", fail)
    with pytest.raises(LinkError) as caught:
        await HttpLink.open("127.0.0.1:1", 0.1)
    assert not caught.value.is_refused


async def test_node_whose_whole_fleet_is_one_chain_hears_nobody_either() -> None:
    servers = Servers(silent=set(range(8)))
    parts = make_node(servers)
    for server in SERVERS[PARTS:]:
        parts.view.servers.pop(server.id, None)
    assert len(parts.view.servers) == PARTS
    assert await find_lost(make_finder(parts)) == ([], False)
