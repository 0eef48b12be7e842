"""The HTTP interface of a node for operators."""

from __future__ import annotations

import hmac
import logging
from collections.abc import Iterable
from typing import Final

import msgspec
from msgspec import Struct
from starlette.requests import Request
from starlette.responses import Response

from vaneturn_core.configuration.document import find_change
from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.identifiers import ChangeId, RequestId
from vaneturn_core.operators import ChangeAnswer, ChangeStatus, NodeState, ProposalBody, ServerState, SessionState
from vaneturn_core.placing.parts import Holdings, Part
from vaneturn_node.configuration.changes import (
    Applied,
    ChangeResult,
    NotAccepted,
    Overtaken,
    Proposal,
    Rejected,
    Unsettled,
)
from vaneturn_node.http.bodies import read_body
from vaneturn_node.http.errors import answer_error
from vaneturn_node.http.reading import DEFAULT_TIMEOUT_S, read_bearer_key
from vaneturn_node.http.refusing import RefusedRequest
from vaneturn_node.runtime import Runtime

NO_HOLDINGS: Final = Holdings(0, (), (), ())  # of an engine that does not report its holdings

audit = logging.getLogger("vaneturn.audit")


def find_operator(request: Request, runtime: Runtime) -> str | None:
    """Find the operator by the request's bearer key."""
    key = read_bearer_key(request)
    matching = [
        name
        for name, known in runtime.settings.operator_keys.items()
        if hmac.compare_digest(known.encode(), key.encode())
    ]
    return matching[0] if matching else None


def refuse_operator() -> Response:
    """Answer a request without the key of a known operator."""
    return _encode(ChangeAnswer(ChangeStatus.REJECTED, cause="unknown operator key"), 401)


async def show_state(request: Request, runtime: Runtime) -> Response:
    """Show the state of this node, with its sessions and servers."""
    if find_operator(request, runtime) is None:
        return refuse_operator()
    return _encode(describe_state(runtime))


async def show_configuration(request: Request, runtime: Runtime) -> Response:
    """Show the document in force."""
    if find_operator(request, runtime) is None:
        return refuse_operator()
    return Response(runtime.in_force.data or b"{}", media_type="application/json")


async def apply_change(request: Request, runtime: Runtime) -> Response:
    """Apply a whole new configuration."""
    operator = find_operator(request, runtime)
    if operator is None:
        return refuse_operator()
    data = await read_body(request, DEFAULT_TIMEOUT_S, runtime.settings.body_pause)
    if isinstance(data, RefusedRequest):
        return answer_error(data.outcome, data.message)
    try:
        body = decode_json(data, ProposalBody)
    except MalformedError as error:
        return _encode(ChangeAnswer(ChangeStatus.REJECTED, faults=(str(error),)), 400)
    result = await runtime.changes.apply(Proposal(body.id, operator, body.summary, body.declared, body.based_on))
    answer = _describe_result(result)
    audit.info(
        "change",
        extra={"operator": operator, "change": body.id, "summary": body.summary, "result": answer.result.value},
    )
    return _encode(answer, 200 if isinstance(result, Applied) else 409)


async def show_change(request: Request, runtime: Runtime) -> Response:
    """Show whether a change took effect."""
    if find_operator(request, runtime) is None:
        return refuse_operator()
    change = find_change(runtime.in_force.view.configuration, ChangeId(request.path_params["change"]))
    if change is None:
        return _encode(ChangeAnswer(ChangeStatus.UNKNOWN), 404)
    return _encode(ChangeAnswer(ChangeStatus.APPLIED, change))


async def show_ended(request: Request, runtime: Runtime) -> Response:
    """Show the outcome of a request that has ended on this node."""
    if find_operator(request, runtime) is None:
        return refuse_operator()
    ended = runtime.ended.find(RequestId(request.path_params["request"]))
    return Response(status_code=404) if ended is None else _encode(ended)


def describe_state(runtime: Runtime) -> NodeState:
    """Describe the current state of this node."""
    ejected = runtime.healths.list_ejected()
    down = runtime.pool.list_down()
    configuration = runtime.in_force.view.configuration
    reported_holdings = runtime.pool.list_holdings()
    servers = [
        ServerState(
            vm=server.vm,
            connected=server.vm not in down,
            in_progress=(health := runtime.healths[server.vm]).in_progress,
            latency=health.latency,
            limit=health.limit,
            ejected=server.vm in ejected,
            leaving=sorted(source.value for source in health.leaving),
            held=_name_parts((holdings := reported_holdings.get(server.vm, NO_HOLDINGS)).held),
            loading=_name_parts(holdings.loading),
            ending=_name_parts(holdings.ending),
        )
        for server in configuration.servers
    ]
    sessions = [generation.describe() for generation in runtime.generations.values()]
    return NodeState(
        node=runtime.node,
        vm=runtime.settings.vm,
        data_hall=runtime.settings.data_hall,
        stopping=not runtime.admission.is_ready,
        revision=runtime.in_force.revision,
        digest=runtime.in_force.digest,
        servers=servers,
        sessions=[
            SessionState(state.request, state.customer, state.pipeline, list(state.routes), state.recoveries)
            for state in sessions
        ],
        bounds=dict(runtime.placement.list_bounds()),
        fence=runtime.tenure.fence if runtime.tenure.is_sure(0.0) else 0,
    )


def _name_parts(parts: Iterable[Part]) -> list[str]:
    return [str(part) for part in parts]


def _describe_result(result: ChangeResult) -> ChangeAnswer:
    match result:
        case Applied(change):
            return ChangeAnswer(ChangeStatus.APPLIED, change)
        case Rejected(faults):
            return ChangeAnswer(ChangeStatus.REJECTED, faults=tuple(str(fault) for fault in faults))
        case Overtaken(winner):
            return ChangeAnswer(ChangeStatus.OVERTAKEN, winner)
        case NotAccepted(cause):
            return ChangeAnswer(ChangeStatus.NOT_ACCEPTED, cause=cause)
        case Unsettled():
            return ChangeAnswer(ChangeStatus.UNSETTLED)


def _encode(body: Struct, status: int = 200) -> Response:
    return Response(msgspec.json.encode(body), status, media_type="application/json")


__all__ = ["apply_change", "show_change", "show_configuration", "show_ended", "show_state"]
