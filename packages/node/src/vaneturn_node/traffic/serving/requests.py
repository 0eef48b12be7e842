"""The context of one client request: what it asks for, its deadline and its tries so far."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from typing import Final

from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.beliefs import ServerStatus
from vaneturn_core.traffic.blame.causes import Cause
from vaneturn_core.traffic.blame.contents import Fingerprint, digest_content
from vaneturn_core.traffic.blame.crashboard import CrashBoard
from vaneturn_core.traffic.blame.crashes import EARLIEST_CRASH_S, LostRequest, Suspicion
from vaneturn_core.traffic.chain import Chain
from vaneturn_core.traffic.configuration import TrafficCustomer, TrafficRoute
from vaneturn_core.traffic.servers import ServerId, ServerName
from vaneturn_core.traffic.state import AdmissionRecord
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import HttpLink
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.platform.headers import Dispatch, RequestFacts
from vaneturn_node.traffic.serving.answerprogress import AnswerProgress
from vaneturn_node.traffic.serving.attempts import Attempts
from vaneturn_node.traffic.serving.emptyends import EmptyEnds
from vaneturn_node.traffic.serving.firstnode import FirstNode
from vaneturn_node.traffic.serving.outcomes import OwnAnswer, Reason, refuse
from vaneturn_node.traffic.serving.sends import Send, SendHistory

QUARANTINE_RETRY_S: Final = 1.0  # added to Retry-After, so that a request like it can be tried and reported before
ANSWER_MARGIN_S: Final = 0.03  # a request is given up that long before its deadline, so that the answer arrives in time
MOST_URGENT: Final = 0
LEAST_URGENT: Final = 9


@dataclass
class RequestContext(AnswerProgress):
    """An admitted request and the state of its tries."""

    request: ClientRequest
    facts: RequestFacts
    route: TrafficRoute
    service: ServiceName
    customer: TrafficCustomer | None  # in whose name it is handled, if the store has confirmed its key recently
    is_key_valid: Callable[[], bool]  # called right before each send: the key may have been revoked meanwhile
    crashes: CrashBoard
    first_node: FirstNode | None = None  # that forwarded it; such a request is not forwarded again
    is_repeatable: Callable[[], bool] = lambda: True  # by the configuration in force, which may be newer than its route
    is_key_known: Callable[[], bool] = lambda: False  # in the configuration that this node has, confirmed or not
    is_customer_confirmed: Callable[[], bool] = lambda: True  # called right before each send, also on public routes
    key_holder: TrafficCustomer | None = None  # confirmed or not; tells the same content of different callers apart
    sends: int = 0
    attempts: Attempts = field(default_factory=Attempts)
    empty_ends: EmptyEnds = field(default_factory=EmptyEnds)
    may_have_run: bool = False  # if so, no answer of this node may promise that it has not run
    avoided: set[ServerId] = field(default_factory=set)
    draw: float = field(default_factory=random.random)  # one for all tries, to decide on shares of requests
    steps: list[str] = field(default_factory=list)  # decisions made, for the log
    history: SendHistory = field(default_factory=SendHistory)
    is_sound: bool = False  # a server has run it for a while, so it does not crash servers
    is_trial: bool = False  # whether it was sent to try a blocked identity again
    admission: AdmissionRecord | None = None  # of a request that was not admitted at once
    spent_at: float | None = None  # monotonic time since which no server that its attempts allow could take it
    wait_steps: set[str] = field(default_factory=set)  # reasons to wait since the newest event; each is logged once
    has_no_retry: bool = False  # the retry budget was used up when it was to be sent last
    was_lost_by_server: bool = False  # a server that it was sent to has answered that it does not know it
    has_lent_retry: bool = False  # for its next send, from the budget of the node that forwarded it
    has_declined_peers: bool = False  # no other node has accepted it
    peers_asked_at: float = float("-inf")  # monotonic time at which other nodes were asked for a retry
    release_place: Callable[[], None] = lambda: None  # ends its admission by this node, when another has admitted it

    def __post_init__(self) -> None:
        """Continue the counts of the node that forwarded it."""
        if self.first_node is not None:
            self.sends = self.first_node.sends
            self.attempts = self.attempts.resume(self.first_node.runs, self.first_node.attempted)
            self.empty_ends.add(self.first_node.exhausted)
            self.may_have_run = self.first_node.may_have_run
            self.has_lent_retry = self.first_node.has_retry
            self.avoided |= self.first_node.avoided

    @property
    def is_forwarded(self) -> bool:
        """Tell whether another node has forwarded it to this one."""
        return self.first_node is not None

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """Give what it can be blamed for; the content is the same when it is repeated under another id."""
        caller = self.key_holder.name if self.key_holder is not None else self.facts.key or ""
        target = self.request.target
        content = digest_content(self.facts.host, self.request.method, target, caller, self.request.body)
        return Fingerprint(content, self.facts.shared_parts)

    def record_send(self, target: str, link: HttpLink) -> Send:
        """Record that it is about to be sent to a server or another node."""
        if self.facts.id is not None:
            link.connection.record_request(self.facts.id)
        send = Send(target, self.age, link, link.connection.number, link.connection.exchanges)
        self.history.record(send, self.facts.id, must_run_once=not self.may_repeat)
        return send

    def find_block(self) -> Cause | None:
        """Find why it may not run any more: servers crash when they begin to run it, or others like it."""
        return self.crashes.find_block(self.fingerprint, self.service, is_trial=self.is_trial)

    def describe_loss(self, events: int, sent_at: float) -> LostRequest | None:
        """Describe that its server was lost; None if it is known not to crash servers.

        :param events: of its answer that arrived from this server.
        :param sent_at: monotonic time of the send to this server.
        """
        if self.is_sound:
            return None
        suspicion = Suspicion.BEGUN if events or read_clock() < sent_at + EARLIEST_CRASH_S else Suspicion.UNHEARD
        return LostRequest(self.fingerprint, suspicion, sent_at)

    def may_send(self) -> bool:
        """Tell whether it may be sent to a server; without this check of each send, one request crashed 26 in 70 s."""
        return self.is_key_valid() and self.find_block() is None

    def may_be_sent_later(self) -> bool:
        """Tell whether only the confirmation of its key by the store is missing to send it."""
        return not self.is_key_valid() and self.is_key_known() and self.find_block() is None

    def find_obstacle(self) -> str | None:
        """Find what forbids a send right before it is made; that it must run once is checked from its sends as well."""
        if not self.may_send():
            return "keys too old"
        if not self.may_repeat and (self.may_have_run or self.history.may_have_run):
            self.may_have_run = True
            return "it may have run before"
        return None

    def claim_send(self, server_status: ServerStatus) -> str | None:
        """Claim a send to a server right before it is made; return what forbids it, None if nothing does."""
        obstacle = self.find_obstacle()
        if obstacle is not None:
            return obstacle
        if not server_status.claim_send(read_clock()):
            return "the server asked for no more requests"
        self.is_trial = self.crashes.begin_trial(self.fingerprint, self.service)
        return None

    @property
    def expires_at(self) -> float:
        """Give the monotonic time at which it must be answered."""
        allowed = self.route.timeout if self.facts.deadline is None else min(self.route.timeout, self.facts.deadline)
        return self.request.arrived + allowed - ANSWER_MARGIN_S

    @property
    def time_left(self) -> float:
        """Give the seconds until it must be answered."""
        return self.expires_at - read_clock()

    @property
    def may_repeat(self) -> bool:
        """Tell whether it may run a second time, here and by the node that forwarded it."""
        must_run_once = self.first_node is not None and self.first_node.must_run_once
        return self.route.may_repeat and not must_run_once and self.is_repeatable()

    @property
    def may_run_again(self) -> bool:
        """Tell whether it may run on a further server."""
        return self.may_repeat and self.attempts.count < self.route.max_attempts

    @property
    def may_leave_try(self) -> bool:
        """Tell whether a try in progress, which is not counted yet, may be given up for another one."""
        return self.may_repeat and self.attempts.count + 1 < self.route.max_attempts

    @property
    def age(self) -> float:
        """Give the seconds since it arrived."""
        return read_clock() - self.request.arrived

    @property
    def priority(self) -> int:
        """Give its priority: the customer's overrides the route's."""
        own = self.customer.priority if self.customer is not None else None
        return self.route.priority if own is None else own

    def make_dispatch(
        self, server: ServerName, chain: Chain | None = None, last_event: str | None = None, *, is_resumed: bool = False
    ) -> Dispatch:
        """Make what is added to the request when it is sent to a server.

        :param is_resumed: whether the client already has a part of the answer and waits for the next event.
        """
        customer = self.customer if self.is_customer_confirmed() else None
        if customer is None and self.key_holder is not None:
            self.add_step("sent without its customer, as the store has not confirmed its key")
        return Dispatch(
            server=server,
            deadline=None if self.facts.deadline is None else max(0.001, self.time_left),
            customer=customer.name if customer is not None else None,
            priority=MOST_URGENT if is_resumed or self.is_resumed_here else min(LEAST_URGENT, self.priority),
            chain=chain,
            last_event_id=last_event if last_event is not None else self.facts.last_event_id,
        )

    @property
    def is_declinable(self) -> bool:
        """Tell whether it was forwarded to this node, which has not sent it to any server."""
        return self.first_node is not None and self.sends == self.first_node.sends

    @property
    def is_resumed_here(self) -> bool:
        """Tell whether its client has received a part of the answer from the node that forwarded it."""
        return self.first_node is not None and self.first_node.is_resumed

    def make_blocked_answer(self, block: Cause) -> OwnAnswer:
        """Make the answer to a request that crashes servers; status 400 tells clients not to repeat it.

        While it is not clear whether it does, it is refused until another one like it may have been tried.
        """
        cause = block.describe()
        if self.crashes.is_final(block):
            return OwnAnswer(400, Reason.ENDS_SERVERS, cause=cause)
        if self.sends or self.history.may_have_run:
            return self.make_may_have_run_answer(cause)
        wait = max(0.0, self.crashes.get_return_time(block) - read_clock())
        return refuse(Reason.QUARANTINED, wait + QUARANTINE_RETRY_S * (1 + random.random()), cause)

    def make_may_have_run_answer(self, cause: str) -> OwnAnswer:
        """Make the final answer to a request that may have run."""
        status, reason = (504, Reason.TIMEOUT) if self.time_left <= 0 else (502, Reason.MAY_HAVE_RUN)
        return OwnAnswer(status, reason, cause=cause)

    def add_step(self, step: str) -> None:
        """Add a step to the log line of the request."""
        self.steps.append(f"{self.age * 1000:.0f}ms {step}")

    def add_wait_step(self, step: str) -> None:
        """Add what the request waits for to its log line, once until the next event."""
        if step not in self.wait_steps:
            self.wait_steps.add(step)
            self.add_step(step)


__all__ = ["RequestContext"]
