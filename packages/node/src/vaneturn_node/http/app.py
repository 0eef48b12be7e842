"""The HTTP application of a node."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from vaneturn_node.http.chat import complete_chat, list_models
from vaneturn_node.http.operators import apply_change, show_change, show_configuration, show_ended, show_state
from vaneturn_node.http.services import call_service
from vaneturn_node.runtime import Runtime

_SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]

Handler = Callable[[Request, Runtime], Awaitable[Response]]


def make_app(runtime: Runtime) -> Starlette:
    """Make the application for a runtime."""

    def bind(handler: Handler) -> Callable[[Request], Awaitable[Response]]:
        async def handle(request: Request) -> Response:
            return await handler(request, runtime)

        return handle

    return Starlette(
        routes=[
            Route("/v1/chat/completions", bind(complete_chat), methods=["POST"]),
            Route("/v1/models", bind(list_models), methods=["GET"]),
            Route("/services/{name}/{path:path}", bind(call_service), methods=_SERVICE_METHODS),
            Route("/operator/v1/state", bind(show_state), methods=["GET"]),
            Route("/operator/v1/configuration", bind(show_configuration), methods=["GET"]),
            Route("/operator/v1/changes", bind(apply_change), methods=["POST"]),
            Route("/operator/v1/changes/{change}", bind(show_change), methods=["GET"]),
            Route("/operator/v1/requests/{request}", bind(show_ended), methods=["GET"]),
            Route("/metrics", bind(_show_metrics), methods=["GET"]),
            Route("/healthz", bind(_show_health), methods=["GET"]),
            Route("/readyz", bind(_show_readiness), methods=["GET"]),
        ]
    )


async def _show_metrics(_request: Request, runtime: Runtime) -> Response:
    return Response(generate_latest(runtime.metrics.registry), media_type=CONTENT_TYPE_LATEST)


async def _show_health(_request: Request, _runtime: Runtime) -> Response:
    return PlainTextResponse("ok\n")


async def _show_readiness(_request: Request, runtime: Runtime) -> Response:
    if not runtime.admission.is_ready:
        return PlainTextResponse("stopping\n", 503)
    if not runtime.in_force.revision:
        return PlainTextResponse("no configuration\n", 503)
    return PlainTextResponse("ready\n")


__all__ = ["make_app"]
