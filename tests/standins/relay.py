"""Stand-in for a network path: forwards TCP connections to one address, and holds all data while it is cut."""

from __future__ import annotations

import argparse

import anyio
from anyio.abc import ByteStream, Listener, SocketStream
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.serving import serve_app


class Path:
    """A path that can be cut; data held meanwhile are forwarded when it is healed."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._open = anyio.Event()
        self._open.set()

    def cut(self) -> None:
        self._open = anyio.Event()

    def heal(self) -> None:
        self._open.set()

    async def serve(self, listener: Listener[SocketStream]) -> None:
        """Forward the connections of a listener until cancelled, and close it then."""
        async with listener:
            await listener.serve(self.forward)

    async def forward(self, caller: SocketStream) -> None:
        async with caller:
            await self._open.wait()
            try:
                async with (
                    await anyio.connect_tcp("127.0.0.1", self._target_port) as target,
                    anyio.create_task_group() as tasks,
                ):
                    tasks.start_soon(self._forward_data, caller, target)
                    await self._forward_data(target, caller)
                    tasks.cancel_scope.cancel()
            except* (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass

    async def _forward_data(self, source: ByteStream, sink: ByteStream) -> None:
        async for data in source:
            await self._open.wait()
            await sink.send(data)
        await sink.send_eof()


def make_app(path: Path) -> Starlette:
    async def cut(_request: Request) -> Response:
        path.cut()
        return Response()

    async def heal(_request: Request) -> Response:
        path.heal()
        return Response()

    return Starlette(
        routes=[
            Route("/control/cut", cut, methods=["POST"]),
            Route("/control/heal", heal, methods=["POST"]),
        ]
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True, help="for the control interface (cut, heal)")
    parser.add_argument("--relay-port", type=int, required=True)
    parser.add_argument("--target-port", type=int, required=True)
    options = parser.parse_args()

    async def run() -> None:
        path = Path(options.target_port)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=options.relay_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, path.forward)
            await serve_app(make_app(path), options.port)

    anyio.run(run)


if __name__ == "__main__":
    main()
