"""Answers the "why" queries of operators."""

from __future__ import annotations

from vaneturn_cli.tables import View, describe_parts, describe_standing, describe_work, group_servers
from vaneturn_core.identifiers import RequestId, VmId
from vaneturn_core.operators import EndedRequest


def explain_session(view: View, request: RequestId) -> list[str]:
    """Explain where an answer in progress runs and which failures it had."""
    for state in view.states:
        for session in state.sessions:
            if session.request != request:
                continue
            lines = [f"session {request} of {session.customer} on {session.pipeline}, held by {state.vm}"]
            lines += [f"route {number}: {route}" for number, route in enumerate(session.routes, 1)]
            if session.recoveries:
                lines.append(f"{session.recoveries} times a hop failed and was replaced; the last route is in use")
            else:
                lines.append("no hop failed; servers were chosen in proportion to the flow, by the session's affinity")
            return lines
    return [f"no node that answered has a session {request} in progress"]


def explain_vm(view: View, vm: VmId) -> list[str]:
    """Explain what a VM is used for and why nodes limit or avoid it."""
    reported_states = group_servers(view).get(vm, [])
    work = describe_work(view, vm)
    if not work and not reported_states:
        return [f"no declared server {vm}"]
    lines = [f"vm {vm}: {describe_standing(reported_states)}", f"declared for: {work or 'nothing'}"]
    parts = describe_parts(reported_states)
    lines += [f"holds: {parts}"] * bool(parts)
    for state in view.states:
        for server in state.servers:
            if server.vm != vm:
                continue
            facts = [f"{server.in_progress} steps of at most {server.limit:.0f}", f"{server.latency * 1e3:.1f} ms"]
            facts += ["not connected"] * (not server.connected) + ["ejected after failures"] * server.ejected
            facts += [f"leaving, says {source}" for source in server.leaving]
            lines.append(f"{state.vm}: {', '.join(facts)}")
    return lines


def explain_ended_request(request: RequestId, ended: EndedRequest | None) -> list[str]:
    """Explain how a request ended."""
    if ended is None:
        return [f"no node that answered remembers a request {request}; each remembers its newest ones only"]
    reason = f" because of {ended.reason}" if ended.reason else ""
    return [
        f"request {request} of {ended.customer} to {ended.target}: {ended.outcome}{reason}",
        f"after {ended.seconds:.3f} s with {ended.tokens} tokens, on {ended.vm}",
    ]


__all__ = ["explain_ended_request", "explain_session", "explain_vm"]
