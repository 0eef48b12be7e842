"""One request on its way: what it asks, how long it may take, what became of it so far."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from typing import Final

from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.beliefs import ServerBelief
from vaneturn_core.traffic.chain import Chain
from vaneturn_core.traffic.configuration import TrafficCustomer, TrafficRoute
from vaneturn_core.traffic.contents import Content, digest_content
from vaneturn_core.traffic.crashes import CrashBoard
from vaneturn_core.traffic.pace import Pause
from vaneturn_core.traffic.servers import ServerId, ServerName
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.server import ClientRequest
from vaneturn_node.platform.headers import Dispatch, RequestFacts
from vaneturn_node.traffic.serving.outcomes import OwnAnswer, Reason

ANSWER_MARGIN: Final = 0.03  # seconds before the end of a request's time at which it is given up, for the way back
MOST_URGENT: Final = 0
LEAST_URGENT: Final = 9


@dataclass
class RequestInProgress:
    """A request that was let in."""

    request: ClientRequest
    facts: RequestFacts
    route: TrafficRoute
    service: ServiceName
    customer: TrafficCustomer | None
    has_key: Callable[[], bool]  # asked right before each send: the key may have been taken away meanwhile
    crashes: CrashBoard
    sends: int = 0
    runs: int = 0  # sends that count as attempts: those on servers that have ended do not
    may_have_run: bool = False  # no answer of this node may promise that it has not
    avoided: set[ServerId] = field(default_factory=set)
    events: int = 0  # of a stream, passed on
    first_event: float = 0.0  # seconds from its arrival to the first event of a stream
    longest_pause: Pause | None = None  # between two events of a stream
    draw: float = field(
        default_factory=random.random
    )  # decides for all its tries whether it is among a share of requests
    steps: list[str] = field(default_factory=list)  # what was decided, for the log
    is_sound: bool = False  # a server has run it for a while, so that it ends none
    waits: set[str] = field(default_factory=set)  # what is lacked since its newest event; noted once

    @cached_property
    def content(self) -> Content:
        """Give what it asks for: the same when it comes again under another id."""
        caller = self.customer.name if self.customer is not None else self.facts.key or ""
        return digest_content(self.facts.host, self.request.method, self.request.target, caller, self.request.body)

    @property
    def is_barred(self) -> bool:
        """Tell whether it may not run any more, since servers end that begin to run it."""
        return self.crashes.is_barred(self.content)

    def may_send(self) -> bool:
        """Tell whether it may still go to a server.

        Second servers, moved chains and resumed streams all ask here: 26 servers ended in 70 s under a request that
        each of these ways sent on.
        """
        return self.has_key() and not self.is_barred

    def find_obstacle(self, belief: ServerBelief) -> str | None:
        """Find right before a send to a server what forbids it; none when it may be made now."""
        if not self.may_send():
            return "keys too old"
        return None if belief.claim_send(read_clock()) else "the server asked for no more requests"

    @property
    def ends(self) -> float:
        """Give the steady time at which it must be answered."""
        allowed = self.route.timeout
        if self.facts.deadline is not None:
            allowed = min(allowed, self.facts.deadline)
        return self.request.arrived + allowed - ANSWER_MARGIN

    @property
    def left(self) -> float:
        """Give the seconds until it must be answered."""
        return self.ends - read_clock()

    @property
    def may_run_again(self) -> bool:
        """Tell whether it may run on one more server."""
        return self.route.may_repeat and self.runs < self.route.max_attempts

    @property
    def age(self) -> float:
        """Give the seconds since it arrived."""
        return read_clock() - self.request.arrived

    @property
    def priority(self) -> int:
        """Give its rank: the customer's goes before the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    def make_dispatch(
        self,
        server: ServerName,
        chain: Chain | None = None,
        last_event: str | None = None,
        *,
        is_resumed: bool = False,
    ) -> Dispatch:
        """Make what is added to the request for a server.

        :param is_resumed: whether the client has a part of the answer already, and waits for the next event.
        """
        return Dispatch(
            server=server,
            deadline=None if self.facts.deadline is None else max(0.001, self.left),
            customer=self.customer.name if self.customer is not None else None,
            priority=MOST_URGENT if is_resumed else min(LEAST_URGENT, self.priority),
            chain=chain,
            last_event_id=last_event if last_event is not None else self.facts.last_event_id,
        )

    def bar(self) -> OwnAnswer:
        """Make the final answer to a request that ends servers; none of its kind is to come again."""
        ends = ", ".join(self.crashes.list_ends_under(self.content))
        return OwnAnswer(400, Reason.ENDS_SERVERS, cause=f"servers ended when they began to run it: {ends}")

    def give_up_run(self, cause: str) -> OwnAnswer:
        """Make the final answer to a request that may have run."""
        if self.left <= 0:
            return OwnAnswer(504, Reason.TIMEOUT, cause=cause)
        return OwnAnswer(502, Reason.MAY_HAVE_RUN, cause=cause)

    def note(self, step: str) -> None:
        """Take a step into the log line of the request."""
        self.steps.append(f"{self.age * 1000:.0f}ms {step}")

    def note_wait(self, lack: str) -> None:
        """Take what is lacked into the log line, once until the request goes on."""
        if lack not in self.waits:
            self.waits.add(lack)
            self.note(lack)


__all__ = ["RequestInProgress"]
