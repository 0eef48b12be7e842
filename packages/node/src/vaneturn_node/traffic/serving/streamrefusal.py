"""Gives the final answer to streams for which there is no further try."""

from __future__ import annotations

import random
from enum import Enum
from typing import Final

from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.serving.clientstream import ClientStream
from vaneturn_node.traffic.serving.outcomes import (
    Answered,
    MayHaveRun,
    NotRun,
    OwnAnswer,
    Reason,
    TryOutcome,
    refuse,
)
from vaneturn_node.traffic.serving.requests import RequestContext

RETRY_AFTER_S: Final = 0.3  # plus random jitter of up to as much; some answers end in that time
# lower and upper bound of a random time: a hall has all layers again after one or two loads of layers, each of
# 1.6 to 5 s, and the refused clients should not all return at once
CROSSINGS_RETRY_S: Final = (1.0, 4.0)
NO_PATH_RETRY_S: Final = 0.5  # plus random jitter of up to as much; another node may reach a server


class Shortage(Enum):
    """What is missing for another try of a request."""

    CHAIN = "chain"
    CROSSING = "crossing"  # the only chain crosses between halls, and the inter-hall links have no free capacity
    BUDGET = "budget"
    PATH = "path"  # this node reaches no server
    ATTEMPT = "attempt"  # its attempts are spent, and none of their servers can take it again
    KEY = "key"  # the store has not confirmed its key recently
    EVENT_ID = "event id"  # the client has events that a resumed answer would repeat


def give_up_stream(
    parts: TrafficParts,
    context: RequestContext,
    client: ClientStream,
    outcome: TryOutcome | None,
    shortage: Shortage | None = None,
) -> Answered | OwnAnswer | None:
    """Give the final answer to a request; None if its answer has begun, which is broken off.

    :param outcome: of the last try; none without one.
    :param shortage: for which there is no further try.
    """
    if client.is_begun:
        context.add_step("answer broken off")
        return None
    if client.empty_ends.answer is not None and not context.is_resumed_here and context.may_run_again:
        if _has_asked_all(parts, context, client):
            return client.empty_ends.answer  # its client has no part of another answer from this node
        context.add_step("other servers may have further events")
    cause = outcome.cause if isinstance(outcome, NotRun | MayHaveRun) else ""
    if context.may_have_run and not (shortage is Shortage.PATH and context.is_declinable):
        return context.make_may_have_run_answer(cause)
    return _refuse(parts, context, outcome, shortage, cause)


def _has_asked_all(parts: TrafficParts, context: RequestContext, client: ClientStream) -> bool:
    """Tell whether every server that could resume a stream has said that it has no further event.

    A server that refuses requests for now, or is in backoff, may still have some.
    """
    listed = {server.id for server in parts.view.list_servers(context.service) if server.can_lead}
    known = listed | context.attempts.servers
    return known <= client.empty_ends.servers and not context.attempts.has_unnamed


def _refuse(
    parts: TrafficParts, context: RequestContext, outcome: TryOutcome | None, shortage: Shortage | None, cause: str
) -> OwnAnswer:
    """Refuse a request that has not run, with the reason and the time after which it may return."""
    wait = parts.compute_wait(context.service)
    retry_after = wait + RETRY_AFTER_S * (1 + random.random())
    if not context.may_send():
        return refuse(Reason.KEYS_TOO_OLD, retry_after, cause)
    if outcome is None and shortage is Shortage.CROSSING:
        return refuse(Reason.CROSSINGS_FULL, random.uniform(*CROSSINGS_RETRY_S))
    if shortage is Shortage.PATH:
        return refuse(Reason.NO_PATH, NO_PATH_RETRY_S * (1 + random.random()), cause)
    if wait:
        return refuse(Reason.SERVERS_LIMITED, retry_after, cause)
    if outcome is not None and shortage is Shortage.BUDGET:
        return refuse(Reason.RETRY_BUDGET, retry_after, cause)
    return refuse(Reason.NO_CHAIN if outcome is None else Reason.NOT_RUN, retry_after, cause)


__all__ = ["Shortage", "give_up_stream"]
