"""Stand-in for the platform's weight store, which serves a limited number of loads at a time and rejects others."""

from __future__ import annotations

import argparse
from pathlib import Path

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.serving import Journal, serve_app


def make_app(options: argparse.Namespace, journal: Journal) -> Starlette:
    at_once = 0

    async def fetch(request: Request) -> Response:
        nonlocal at_once
        part = {name: request.path_params[name] for name in ("model", "version", "first", "end")}
        if at_once >= options.loads_at_once:
            journal.write(event="turned away", **part)
            return Response(status_code=429, headers={"Retry-After": "1"})
        at_once += 1
        try:
            journal.write(event="load", at_once=at_once, **part)
            await anyio.sleep(options.layer_seconds * (part["end"] - part["first"]))
        finally:
            at_once -= 1
        return JSONResponse(part)

    async def set_speed(request: Request) -> Response:
        options.layer_seconds = request.path_params["layer_seconds"]
        return Response()

    path = "/v1/weights/{model}/{version}/{first:int}/{end:int}"
    return Starlette(
        routes=[
            Route(path, fetch, methods=["GET"]),
            Route("/control/{layer_seconds:float}", set_speed, methods=["POST"]),
        ]
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--journal", type=Path)
    parser.add_argument("--loads-at-once", type=int, default=2)
    parser.add_argument("--layer-seconds", type=float, default=0.02)
    options = parser.parse_args()

    async def run() -> None:
        await serve_app(make_app(options, Journal(options.journal)), options.port)

    anyio.run(run)


if __name__ == "__main__":
    main()
