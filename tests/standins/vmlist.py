"""Stand-in for the platform's list of VMs, which shows a change only after a lag."""

from __future__ import annotations

import argparse
import time

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.serving import serve_app


def make_app(lag: float) -> Starlette:
    changes: list[tuple[float, str, str]] = []

    async def show(_request: Request) -> Response:
        visible = {vm: state for at, vm, state in changes if at + lag <= time.monotonic()}
        return JSONResponse([{"vm": vm, "state": state} for vm, state in visible.items()])

    async def change(request: Request) -> Response:
        changes.append((time.monotonic(), request.path_params["vm"], request.path_params["state"]))
        return Response()

    return Starlette(
        routes=[
            Route("/v1/vms", show, methods=["GET"]),
            Route("/control/{vm}/{state}", change, methods=["POST"]),
        ]
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--lag", type=float, default=30.0)
    options = parser.parse_args()

    async def run() -> None:
        await serve_app(make_app(options.lag), options.port)

    anyio.run(run)


if __name__ == "__main__":
    main()
