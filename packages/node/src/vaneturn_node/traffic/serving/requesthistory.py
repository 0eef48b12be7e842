"""The outcomes of the newest requests, for operators who look them up by request id."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.state import TrafficRequest

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


__all__ = ["RequestHistory"]
