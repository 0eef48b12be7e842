"""Recently ended requests of this node, for operators."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from vaneturn_core.identifiers import RequestId
from vaneturn_core.operators import EndedRequest

MAX_ENDED_REQUESTS: Final = 2048  # about 1 MB of memory


class EndedRequests:
    """Keeps a limited number of ended requests, the newest ones."""

    def __init__(self) -> None:
        self._requests: OrderedDict[RequestId, EndedRequest] = OrderedDict()

    def add(self, ended: EndedRequest) -> None:
        """Add a request, and drop the oldest one beyond the limit."""
        self._requests[ended.request] = ended
        if len(self._requests) > MAX_ENDED_REQUESTS:
            self._requests.popitem(last=False)

    def find(self, request: RequestId) -> EndedRequest | None:
        """Find a request that is still kept."""
        return self._requests.get(request)


__all__ = ["EndedRequests"]
