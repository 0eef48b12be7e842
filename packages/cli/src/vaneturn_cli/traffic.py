"""Reads and formats the traffic state of nodes on the users' platform."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, TypeVar

import httpx
import msgspec
from tabulate import tabulate

from vaneturn_cli.client import NoAnswer
from vaneturn_core.traffic.state import (
    AdmissionRecord,
    SeenRetryBudget,
    SeenServer,
    SeenService,
    TrafficRequest,
    TrafficSend,
    TrafficState,
)

TIMEOUT_S: Final = 3.0  # seconds; a node answers from memory
STEP_INDENT: Final = "  "
SERVER_COLUMNS: Final = (
    "server", "service", "data hall", "address", "state", "layers", "in progress", "rests s", "slowness", "limit /s",
    "asked rest s", "leaves",
)  # fmt: skip
SERVICE_COLUMNS: Final = (
    "vm", "service", "in progress", "limit", "waiting", "refuses for s", "age s", "shares", "customer rates /s",
    "customers /s",
)  # fmt: skip
RETRY_COLUMNS: Final = ("vm", "service", "limit", "used", "earned", "nodes", "sent", "accepted", "declined")
ERROR_COLUMNS: Final = ("vm", "place", "request", "error", "age s")
NO_FIGURE: Final = 1e9  # shown by nodes in place of infinity

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
    retries = [_list_retry_cells(state.vm, budget) for state in states for budget in state.retry_budgets]
    shown = f"{nodes}\n\nservers as {states[0].vm} sees them\n{servers}"
    if retries:
        shown += f"\n\nretry budgets\n{tabulate(retries, headers=RETRY_COLUMNS)}"
    errors = [(state.vm, one.place, one.request, one.error, one.age) for state in states for one in state.errors]
    if errors:
        shown += f"\n\nunexpected errors\n{tabulate(errors, headers=ERROR_COLUMNS)}"
    if not any(state.services for state in states):
        return shown
    services = tabulate(
        [_list_service_cells(state.vm, service) for state in states for service in state.services],
        headers=SERVICE_COLUMNS,
    )
    return f"{shown}\n\nadmission to prioritized services\n{services}"


def _list_cells(server: SeenServer) -> tuple[str | float | None, ...]:
    layers = " ".join(f"[{first},{end})" for first, end in server.layers)
    return (
        server.id, server.service, server.data_hall, server.address, server.state, layers, server.in_progress,
        server.resting, server.slowness, server.rate_limit, server.asked_rest, server.is_leaving,
    )  # fmt: skip


def _list_service_cells(vm: str, service: SeenService) -> tuple[str | float | None, ...]:
    return (
        vm, service.name, service.in_progress, service.limit, service.waiting, service.refusing_for, service.age,
        format_by_key(service.shares), format_by_key(service.customer_rates), format_by_key(service.customers),
    )  # fmt: skip


def _list_retry_cells(vm: str, budget: SeenRetryBudget) -> tuple[str | float, ...]:
    counts = [", ".join(f"{reason}: {count}" for reason, count in sorted(by_reason.items())) for by_reason in (
        budget.sent, budget.accepted, budget.declined,
    )]  # fmt: skip
    return (vm, budget.service, budget.limit, budget.used, budget.earned, budget.nodes, *counts)


def format_by_key(figures: Mapping[int, float] | Mapping[str, float]) -> str:
    """Format figures by priority or customer."""
    return ", ".join(f"{key}: {_format_figure(figure)}" for key, figure in figures.items())


def _format_figure(figure: float) -> str:
    return "none" if figure >= NO_FIGURE else f"{figure:.2f}"


def format_admission(admission: AdmissionRecord) -> list[str]:
    """Format why a request waited or was refused."""
    age = _format_figure(admission.age)
    lines = [
        f"admission to {admission.service} at priority {admission.priority}: {admission.verdict}",
        f"{admission.in_progress:.0f} requests in progress of a limit of {admission.limit:.0f}; figures {age} s old",
        f"admitted share of its priority {admission.share:.2f}; by priority: {format_by_key(admission.shares)}",
        f"most admitted of one customer per second, by priority: {format_by_key(admission.customer_rates)}",
    ]
    if admission.customers:
        lines.append(f"largest customers, requests per second: {format_by_key(admission.customers)}")
    if admission.expected_wait is not None:
        lines.append(f"expected wait {_format_figure(admission.expected_wait)} s, waited {admission.waited:.3f} s")
    if admission.retry_after is not None:
        lines.append(f"return after {admission.retry_after:.2f} s")
    return lines


def _format_send(send: TrafficSend) -> str:
    place = (
        f"sent to {send.target} after {send.at * 1000:.0f} ms, connection {send.connection}, exchange {send.exchange}"
    )
    return f"{place}, {send.not_run or 'may have run'}"


def format_request(request: TrafficRequest) -> str:
    """Format how a request was handled, step by step."""
    lines = [
        f"request {request.request}: {request.ending} after {request.seconds:.3f} s",
        f"route {request.route or 'none'}, customer {request.customer or 'none'}",
        f"configuration {request.version}, confirmed {request.age:.3f} s before",
        *(STEP_INDENT + step for step in request.steps),
    ]
    lines += [STEP_INDENT + _format_send(send) for send in request.sends]
    if request.events:
        span = f"the first after {request.first_event:.3f} s, the last after {request.last_event:.3f} s"
        pauses = f"{span}, longest pause {request.longest_pause:.3f} s"
        lines.append(f"{request.events} events, {pauses}")
    if request.answer_framing:
        body_end = f", its body ended: {request.answer_body_end}" if request.answer_body_end != "unknown" else ""
        lines.append(f"answer framed by {request.answer_framing}, its bytes ended: {request.answer_end}{body_end}")
    if request.content:
        lines.append(
            f"content {request.content}, shared parts of the prompt: {' '.join(request.shared_parts) or 'none'}"
        )
    if request.cause:
        lines.append(f"cause: {request.cause}")
    if request.admission is not None:
        lines += format_admission(request.admission)
    return "\n".join(lines)


__all__ = ["NotFound", "find_request", "format_request", "format_states", "read_state"]
