"""Reads and formats the traffic state of nodes on the users' platform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, TypeVar

import httpx
import msgspec
from tabulate import tabulate

from vaneturn_cli.client import NoAnswer
from vaneturn_core.traffic.state import SeenServer, TrafficRequest, TrafficState

TIMEOUT_S: Final = 3.0  # seconds; a node answers from memory
STEP_INDENT: Final = "  "
SERVER_COLUMNS: Final = (
    "server", "service", "data hall", "address", "state", "layers", "in progress", "rests s", "slowness", "limit /s",
    "asked rest s", "leaves",
)  # fmt: skip

_Body = TypeVar("_Body")


@dataclass(frozen=True)
class NotFound:
    """The node answered 404 Not Found: it does not know the request, or has no such path."""


def read_state(node: str) -> TrafficState | NoAnswer:
    """Read the traffic state of a node from its metrics address."""
    answer = _get(node, "/state", TrafficState)
    return NoAnswer(node, "no traffic state at this address") if isinstance(answer, NotFound) else answer


def find_request(node: str, request: str) -> TrafficRequest | NotFound | NoAnswer:
    """Ask a node how it handled a request."""
    return _get(node, f"/requests/{request}", TrafficRequest)


def _get(node: str, path: str, body_type: type[_Body]) -> _Body | NotFound | NoAnswer:
    try:
        response = httpx.get(f"http://{node}{path}", timeout=TIMEOUT_S)
    except httpx.HTTPError as error:
        return NoAnswer(node, type(error).__name__)
    if response.status_code == httpx.codes.NOT_FOUND:
        return NotFound()
    try:
        return msgspec.json.decode(response.content, type=body_type)
    except msgspec.DecodeError as error:
        return NoAnswer(node, str(error))


def format_states(states: list[TrafficState]) -> str:
    """Format the nodes, and the servers as the first of them sees them."""
    nodes = tabulate(
        [
            (
                state.vm,
                state.version,
                state.age,
                state.is_ready,
                state.is_stopping,
                state.has_tenure,
                state.relay or "store",
                state.in_progress,
            )
            for state in states
        ],
        headers=("vm", "version", "age s", "ready", "stopping", "tenure", "asks", "in progress"),
    )
    if not states:
        return nodes
    servers = tabulate(
        [_list_cells(server) for server in sorted(states[0].servers, key=lambda seen: (seen.service, seen.data_hall))],
        headers=SERVER_COLUMNS,
    )
    return f"{nodes}\n\nservers as {states[0].vm} sees them\n{servers}"


def _list_cells(server: SeenServer) -> tuple[str | float | None, ...]:
    layers = " ".join(f"[{first},{end})" for first, end in server.layers)
    return (
        server.id, server.service, server.data_hall, server.address, server.state, layers, server.in_progress,
        server.resting, server.slowness, server.rate_limit, server.asked_rest, server.is_leaving,
    )  # fmt: skip


def format_request(request: TrafficRequest) -> str:
    """Format how a request was handled, step by step."""
    lines = [
        f"request {request.request}: {request.ending} after {request.seconds:.3f} s",
        f"route {request.route or 'none'}, customer {request.customer or 'none'}",
        f"configuration {request.version}, confirmed {request.age:.3f} s before",
        *(STEP_INDENT + step for step in request.steps),
    ]
    if request.events:
        pauses = f"the first after {request.first_event:.3f} s, longest pause {request.longest_pause:.3f} s"
        lines.append(f"{request.events} events, {pauses}")
    if request.cause:
        lines.append(f"cause: {request.cause}")
    return "\n".join(lines)


__all__ = ["NotFound", "find_request", "format_request", "format_states", "read_state"]
