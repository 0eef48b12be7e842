"""A stage link dispatches each reply to the step that it states, and to no other."""

from __future__ import annotations

import anyio
import pytest
from websockets.asyncio.server import ServerConnection, serve

from rig.ports import find_port
from vaneturn_core.configuration.schema import Server
from vaneturn_core.engine.messages import ENCODER, ORDER_DECODER, Done, Step
from vaneturn_core.identifiers import DataHall, SessionId, VmId
from vaneturn_core.routing.health import FAILURES_TO_EJECT, ServerHealths
from vaneturn_core.routing.hops import Hop
from vaneturn_node.metrics import Metrics
from vaneturn_node.stages.link import Lost, StageLink, StepResult

HOP = Hop(VmId("engine"), 0, 8)
FIRST, SECOND = SessionId("first"), SessionId("second")


def make_step(session: SessionId, position: int) -> Step:
    return Step(session, 0, position, 1, b"in", 7)


def make_done(session: SessionId, position: int, outputs: bytes, end: int = 8) -> Done:
    return Done(session, 0, position, 1, 0, end, outputs, None, "", False, 0)  # noqa: FBT003


async def run_two_steps(replies: list[Done]) -> dict[SessionId, StepResult]:
    """Run one step for each of two sessions at an engine that sends the replies once it has received both."""
    port = find_port()
    results: dict[SessionId, StepResult] = {}

    async def answer(connection: ServerConnection) -> None:
        received = 0
        async for frame in connection:
            received += len(ORDER_DECODER.decode(frame if isinstance(frame, bytes) else frame.encode()))
            if received == 2:
                await connection.send(ENCODER.encode(replies))

    server = Server(vm=HOP.vm, address=f"127.0.0.1:{port}", data_hall=DataHall("osborne"))
    link = StageLink(server, ServerHealths(), Metrics(), lambda: 0, lambda: None)
    link.window.add_share(2)

    async def run(step: Step) -> None:
        results[step.session] = await link.run_step(step, HOP, 0.5)

    async with serve(answer, "127.0.0.1", port), anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        await link.wait_connected()
        async with anyio.create_task_group() as steps:
            steps.start_soon(run, make_step(FIRST, 5))
            steps.start_soon(run, make_step(SECOND, 9))
        tasks.cancel_scope.cancel()
    return results


RIGHT = [make_done(FIRST, 5, b"of first"), make_done(SECOND, 9, b"of second")]


@pytest.mark.parametrize(
    "stray",
    [
        pytest.param(make_done(SECOND, 5, b"of first"), id="crossed"),
        pytest.param(make_done(SECOND, 8, b"of second, before"), id="late"),
        pytest.param(make_done(SessionId("third"), 5, b"of third"), id="unknown session"),
        pytest.param(RIGHT[0], id="duplicated"),
    ],
)
def test_stray_reply_reaches_no_step(stray: Done) -> None:
    results = anyio.run(run_two_steps, [stray, *RIGHT])
    assert results == {FIRST: RIGHT[0], SECOND: RIGHT[1]}


def test_reply_that_names_other_layers_ends_the_link() -> None:
    results = anyio.run(run_two_steps, [make_done(FIRST, 5, b"of first", end=4), RIGHT[1]])
    assert results == {FIRST: Lost(sent=True), SECOND: Lost(sent=True)}


async def lose_one_connection(steps: int) -> ServerHealths:
    """Run steps concurrently over a connection that is closed while all of them are in flight."""
    port = find_port()
    healths = ServerHealths()
    for number in range(4):
        healths.record_reply(VmId(f"other-{number}"), 0.01)
    healths.record_reply(HOP.vm, 0.01)

    async def answer(connection: ServerConnection) -> None:
        received = 0
        async for frame in connection:
            received += len(ORDER_DECODER.decode(frame if isinstance(frame, bytes) else frame.encode()))
            if received == steps:
                return

    server = Server(vm=HOP.vm, address=f"127.0.0.1:{port}", data_hall=DataHall("osborne"))
    link = StageLink(server, healths, Metrics(), lambda: 0, lambda: None)
    link.window.add_share(steps)
    async with serve(answer, "127.0.0.1", port), anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        await link.wait_connected()
        async with anyio.create_task_group() as running:
            for number in range(steps):
                running.start_soon(link.run_step, make_step(SessionId(f"session-{number}"), 5), HOP, 5.0)
        tasks.cancel_scope.cancel()
    return healths


@pytest.mark.parametrize("steps", [1, FAILURES_TO_EJECT])
def test_one_lost_connection_is_one_failure_however_many_steps_were_on_it(steps: int) -> None:
    healths = anyio.run(lose_one_connection, steps)
    assert not healths.list_ejected()
