"""Handles the loss of the connection over which a stream was sent: what it says of the server and of the request."""

from __future__ import annotations

from vaneturn_core.traffic.retries import SendClaim
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import LinkError
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.chainreservation import ChainReservation
from vaneturn_node.traffic.serving.notrun import judge_lost
from vaneturn_node.traffic.serving.outcomes import MayHaveRun, NotRun, TryOutcome
from vaneturn_node.traffic.serving.requests import RequestContext


async def handle_lost_connection(
    parts: TrafficParts,
    context: RequestContext,
    reservation: ChainReservation,
    error: LinkError,
    *,
    claim: SendClaim,
    events: int,
) -> TryOutcome:
    """Record what a lost connection means for the first server and for the request; return the outcome of the try.

    :param claim: of the send, in the retry budget of the service.
    :param events: number that arrived over this try.
    """
    server = reservation.first_server
    if not error.has_no_path:
        context.avoided.add(server.id)
    if await _is_servers_fault(parts, context, reservation, error):
        parts.record_loss(server.id)
    if reservation.send is None:  # no connection has opened
        parts.retries.take_back(context.service, claim)
        context.sends -= 1
    outcome = judge_lost(reservation.send, error)
    if isinstance(outcome, NotRun):
        if error.is_unresponsive and not error.has_no_path:
            parts.silences.watch(server, read_clock())
        return outcome
    reservation.count_run()
    has_ended = False
    is_answered = not error.is_unresponsive and not error.has_no_memory
    if is_answered and not parts.connectivity.is_lost(context.service):
        lost = context.describe_loss(events, reservation.sent_at)
        has_ended = await parts.crash_watch.record_cut_connection(server, lost)
    if has_ended:
        reservation.undo_run_count()
    elif parts.reports.find(server.id) is None:  # its newest report is missing
        parts.silences.watch(server, read_clock())
    return MayHaveRun(f"{error.cause}, after {events} events")


async def _is_servers_fault(
    parts: TrafficParts, context: RequestContext, reservation: ChainReservation, error: LinkError
) -> bool:
    """Tell whether this node still reaches other servers, so that the first server is at fault."""
    if error.has_no_path or error.has_no_memory:
        return False
    if error.is_unresponsive:
        return await parts.can_reach_others({reservation.first_server.id}, reservation.reserved_at)
    return await parts.connectivity.check(context.service, read_clock())


__all__ = ["handle_lost_connection"]
