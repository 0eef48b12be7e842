"""Stand-in for a plain service: runs each call once and records it in its journal."""

from __future__ import annotations

import argparse
from collections.abc import AsyncIterator
from pathlib import Path

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from standins.serving import Journal, serve_app

PART_BYTES = 65536
LONG_PARTS = 512


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to inject; each injected fault reduces its count."""

    delay: float = 0.0  # seconds before a call runs
    rest: float = 0.0  # reject calls, and ask for this many seconds without calls
    lose_replies: int = 0  # run the call but never answer
    truncate_replies: int = 0  # announce a longer body than is sent, then close
    long_replies: int = 0  # answer with LONG_PARTS parts in chunks, and no end
    reply_bytes: int = 0  # answer with a body of this length
    reply_status: int = 200


def make_app(journal: Journal, name: str) -> Starlette:
    state = {"faults": Faults()}

    async def call(request: Request) -> Response:
        body = await request.body()
        if state["faults"].delay:
            await anyio.sleep(state["faults"].delay)
        key = request.headers.get("Idempotency-Key", "")
        if state["faults"].rest:
            journal.write(event="turned away", method=request.method, path=request.url.path)
            return Response(status_code=503, headers={"Retry-After": str(state["faults"].rest)})
        journal.write(event="call", method=request.method, path=request.url.path, key=key, body=body.decode())
        if state["faults"].lose_replies:
            state["faults"].lose_replies -= 1
            await anyio.sleep_forever()
        if state["faults"].truncate_replies:
            state["faults"].truncate_replies -= 1
            return StreamingResponse(truncate(), headers={"Content-Length": "1000"})
        if state["faults"].long_replies:
            state["faults"].long_replies -= 1
            return StreamingResponse(send_long())
        if state["faults"].reply_bytes:
            return Response(bytes(state["faults"].reply_bytes))
        content = {"server": name, "path": request.url.path, "body": body.decode()}
        return JSONResponse(content, state["faults"].reply_status)

    async def send_long() -> AsyncIterator[bytes]:
        for _ in range(LONG_PARTS):
            yield bytes(PART_BYTES)
        await anyio.sleep_forever()

    async def truncate() -> AsyncIterator[bytes]:
        yield b"the beginning of an answer"

    async def set_faults(request: Request) -> Response:
        state["faults"] = msgspec.json.decode(await request.body(), type=Faults)
        return Response()

    return Starlette(
        routes=[
            Route("/control/faults", set_faults, methods=["POST"]),
            Route("/{path:path}", call, methods=["GET", "POST", "PUT", "DELETE"]),
        ]
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--journal", type=Path)
    parser.add_argument("--name", default="plain")
    options = parser.parse_args()

    async def run() -> None:
        await serve_app(make_app(Journal(options.journal), options.name), options.port)

    anyio.run(run)


if __name__ == "__main__":
    main()
