"""The sends of one request to servers and other nodes, and what is known of each."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from vaneturn_core.identifiers import RequestId
from vaneturn_core.traffic.state import TrafficSend
from vaneturn_node.http1.link import HttpLink

logger = logging.getLogger(__name__)


class Evidence(Enum):
    """What shows that a request has not run where it was sent; the values appear in logs and metrics."""

    NOT_SENT = "not sent"  # no byte of it was written
    REFUSED = "refused"  # by the server
    DECLINED = "declined"  # by another node, which has sent it to no server


@dataclass(slots=True)
class Send:
    """One send of a request."""

    target: str  # a server or another node
    at: float  # seconds since the request arrived
    link: HttpLink
    connection: int  # its number within this process
    exchange: int  # its number on the connection, from 1
    evidence: Evidence | None = None  # None while the request may have run there

    @property
    def was_written(self) -> bool:
        """Tell whether a byte of the request may have been written."""
        return self.link.was_sent

    @property
    def may_have_run(self) -> bool:
        """Tell whether the request may have run there."""
        return self.was_written and self.evidence is None

    @property
    def not_run(self) -> str:
        """Give what shows that the request has not run there, for logs; empty if it may have."""
        return self.evidence.value if self.evidence is not None else ""


class Repeat(NamedTuple):
    """A send after another one of the same request."""

    must_run_once: bool
    not_run: str  # what shows that the request has not run at the send before; empty if it may have


class SendHistory:
    """All sends of one request, in their order."""

    def __init__(self) -> None:
        self._sends: list[Send] = []

    def record(self, send: Send, request: RequestId | None, *, must_run_once: bool) -> None:
        """Record a send that is about to be made.

        A second send of a request that must run once is logged at once: this process may not live to log its end.
        """
        if self._sends and must_run_once:
            before = self._sends[-1]
            extra = {
                "request": request,
                "target": send.target,
                "connection": send.connection,
                "exchange": send.exchange,
                "previous_target": before.target,
                "not_run": before.not_run,
            }
            logger.info("request sent again", extra=extra)
        self._sends.append(send)

    @property
    def may_have_run(self) -> bool:
        """Tell whether the request may have run anywhere."""
        return any(send.may_have_run for send in self._sends)

    def list_repeats(self, *, must_run_once: bool) -> Iterator[Repeat]:
        """List the sends after the first, for metrics."""
        for before, _ in itertools.pairwise(self._sends):
            yield Repeat(must_run_once, before.not_run)

    def describe(self) -> list[TrafficSend]:
        """Describe the sends to operators."""
        return [
            TrafficSend(send.target, round(send.at, 3), send.connection, send.exchange, send.not_run)
            for send in self._sends
        ]


__all__ = ["Evidence", "Repeat", "Send", "SendHistory"]
