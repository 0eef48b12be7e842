"""The outcomes of the newest requests, for operators who look them up by request id."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import msgspec

from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.blame.contents import format_content, format_identity
from vaneturn_core.traffic.pace import Pause
from vaneturn_core.traffic.state import TrafficRequest
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.platform.headers import RequestFacts
from vaneturn_node.traffic.serving.outcomes import Answered, OwnAnswer
from vaneturn_node.traffic.serving.requests import RequestContext

NO_PAUSE: Final = Pause(0.0, 0.0)
KEPT_REQUESTS: Final = 256  # about 1 KB each


class RequestHistory:
    """The newest requests that have ended."""

    def __init__(self) -> None:
        self._requests: OrderedDict[RequestId, TrafficRequest] = OrderedDict()

    def add(self, request: RequestId | None, ended: TrafficRequest) -> None:
        """Keep the outcome of a request; the oldest one is dropped."""
        if request is None:
            return
        self._requests[request] = ended
        if len(self._requests) > KEPT_REQUESTS:
            self._requests.popitem(last=False)

    def find(self, request: RequestId) -> TrafficRequest | None:
        """Find the outcome of a request; None if it is in progress, was not handled by this node, or was dropped."""
        return self._requests.get(request)


def describe_request(
    request: ClientRequest,
    facts: RequestFacts,
    context: RequestContext | None,
    result: Answered | OwnAnswer | None,
    *,
    ending: str,
    view: PlatformView,
) -> TrafficRequest:
    """Describe the outcome of a request.

    :param context: None for a request that was not admitted.
    """
    own = result if isinstance(result, OwnAnswer) else None
    version = view.configuration.version if view.configuration is not None else None
    described = TrafficRequest(
        request=facts.id,
        route="",
        customer="",
        ending=ending,
        seconds=round(read_clock() - request.arrived, 3),
        version=version,
        age=round(view.finite_age, 3),
        keys_age=round(view.keys_age, 3),
        steps=[],
        reason=own.reason.value if own is not None else "",
        cause=own.cause if own is not None else "",
        shared_parts=[format_identity(part) for part in facts.shared_parts],
    )
    if context is None:
        return described
    end = context.answer_end
    pause = context.longest_pause or NO_PAUSE
    return msgspec.structs.replace(
        described,
        route=context.route.name,
        customer=context.customer.name if context.customer is not None else "",
        steps=context.steps,
        events=context.events,
        first_event=round(context.first_event, 3),
        last_event=round(context.last_event, 3),
        longest_pause=round(pause.length, 3),
        looked=round(pause.looked, 3),
        found=round(pause.found, 3),
        went_on=round(pause.went_on, 3),
        answer_framing=end.framing.value if end is not None else "",
        answer_end=end.ending.value if end is not None else "",
        answer_body_end=end.body_end.value if end is not None else "",
        forwarded_by=context.first_node.vm if context.first_node is not None else "",
        content=format_content(context.fingerprint.content),
        admission=context.admission,
        sends=context.history.describe(),
    )


__all__ = ["RequestHistory", "describe_request"]
