"""Compares three ways to join a node with its stages by the node's processor time for each step.

call:   an HTTP call for each token and stage
stream: a held WebSocket for each session and stage
link:   one multiplexed WebSocket for each node and server, steps batched (the one in use)
"""

from __future__ import annotations

import argparse
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import httpx
import uvloop
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection
from websockets.asyncio.server import serve as serve_sockets
from websockets.exceptions import ConnectionClosed

from rig.measuring import take_quantile
from rig.ports import find_port
from rig.processes import wait_until
from vaneturn_core.configuration.schema import Server
from vaneturn_core.engine.messages import ENCODER, ORDER_DECODER, REPLY_DECODER, Done, Reply, Step
from vaneturn_core.identifiers import DataHall, SessionId, VmId
from vaneturn_core.routing.health import ServerHealths
from vaneturn_core.routing.hops import Hop
from vaneturn_node.metrics import Metrics
from vaneturn_node.stages.link import StageLink

HOP = Hop(VmId("echo"), 0, 8)
ACTIVATION = bytes(64)


def make_step(session: int, position: int) -> Step:
    return Step(SessionId(f"session-{session}"), 0, position, 1, ACTIVATION, 7)


def answer(data: bytes) -> bytes:
    replies: list[Reply] = [
        Done(order.session, order.attempt, order.position, order.count, 0, 8, ACTIVATION, 5, " w5", False, 0)  # noqa: FBT003
        for order in ORDER_DECODER.decode(data)
        if isinstance(order, Step)
    ]
    return ENCODER.encode(replies)


async def echo_sockets(port: int) -> None:
    async def handle(connection: ServerConnection) -> None:
        with suppress(ConnectionClosed):
            async for frame in connection:
                await connection.send(answer(frame if isinstance(frame, bytes) else frame.encode()))

    async with serve_sockets(handle, "127.0.0.1", port, compression=None):
        await anyio.sleep_forever()


async def echo_calls(port: int) -> None:
    async def handle(request: Request) -> Response:
        return Response(answer(await request.body()))

    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.accesslog = config.errorlog = None
    app = Starlette(routes=[Route("/step", handle, methods=["POST"])])
    await serve(app, config, shutdown_trigger=anyio.Event().wait)  # type: ignore[arg-type]


async def repeat(sessions: int, steps: int, run: Callable[[int, int], Awaitable[object]]) -> float:
    """Run all sessions at once, step after step; give the processor microseconds for each step."""

    async def run_session(session: int) -> None:
        for position in range(steps):
            await run(session, position)

    started = time.process_time()
    async with anyio.create_task_group() as tasks:
        for session in range(sessions):
            tasks.start_soon(run_session, session)
    return (time.process_time() - started) / (sessions * steps) * 1e6


async def measure_calls(port: int, sessions: int, steps: int) -> float:
    limits = httpx.Limits(max_connections=sessions, max_keepalive_connections=sessions)
    async with httpx.AsyncClient(limits=limits, timeout=60) as client:

        async def run(session: int, position: int) -> object:
            content = ENCODER.encode([make_step(session, position)])
            response = await client.post(f"http://127.0.0.1:{port}/step", content=content)
            return REPLY_DECODER.decode(response.content)

        return await repeat(sessions, steps, run)


async def measure_streams(port: int, sessions: int, steps: int) -> float:
    connections = [await connect(f"ws://127.0.0.1:{port}", compression=None) for _ in range(sessions)]

    async def run(session: int, position: int) -> object:
        await connections[session].send(ENCODER.encode([make_step(session, position)]))
        reply = await connections[session].recv()
        return REPLY_DECODER.decode(reply if isinstance(reply, bytes) else reply.encode())

    taken = await repeat(sessions, steps, run)
    for connection in connections:
        await connection.close()
    return taken


async def measure_link(port: int, sessions: int, steps: int) -> float:
    server = Server(vm=HOP.vm, address=f"127.0.0.1:{port}", data_hall=DataHall("osborne"))
    link = StageLink(server, ServerHealths(), Metrics(), lambda: 0, lambda: None)

    async def run(session: int, position: int) -> object:
        return await link.run_step(make_step(session, position), HOP, 60)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        await link.wait_connected()
        link.window.add_share(sessions)
        taken = await repeat(sessions, steps, run)
        tasks.cancel_scope.cancel()
    return taken


def run_on_loop(function: Callable[..., Awaitable[float]], *arguments: int) -> float:
    return anyio.run(function, *arguments, backend_options={"loop_factory": uvloop.new_event_loop})


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sessions", type=int, default=64)
    parser.add_argument("--steps", type=int, default=50)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--serve", choices=["sockets", "calls"])
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    if options.serve:
        anyio.run(echo_sockets if options.serve == "sockets" else echo_calls, options.port)
        return
    ports = {kind: find_port() for kind in ("sockets", "calls")}
    servers = [
        subprocess.Popen([sys.executable, __file__, "--serve", kind, "--port", str(port)])
        for kind, port in ports.items()
    ]
    try:
        for port in ports.values():
            wait_until(lambda port=port: is_open(port))  # type: ignore[misc]
        print_rounds(ports, options)
    finally:
        for server in servers:
            server.kill()


def is_open(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


def print_rounds(ports: dict[str, int], options: argparse.Namespace) -> None:
    ways: dict[str, tuple[Callable[..., Awaitable[float]], int]] = {
        "call": (measure_calls, ports["calls"]),
        "stream": (measure_streams, ports["sockets"]),
        "link": (measure_link, ports["sockets"]),
    }
    taken: dict[str, list[float]] = {name: [] for name in ways}
    for _ in range(options.rounds):
        for name, (measure, port) in ways.items():
            taken[name].append(run_on_loop(measure, port, options.sessions, options.steps))
    print(f"{options.sessions} sessions, {options.steps} steps each, {options.rounds} rounds; microseconds a step")
    base = take_quantile(taken["link"], 0.5)
    for name, values in taken.items():
        median = take_quantile(values, 0.5)
        print(f"{name:7} {median:7.1f}, {median / base:5.2f} times the link; {min(values):.1f} to {max(values):.1f}")


if __name__ == "__main__":
    main()
