"""A model of load on a prioritized service: arrivals, completions and figures that reach the nodes late.

Nodes decide with the code under test. A request that is admitted while all servers are full is refused by them.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any, Final

from vaneturn_core.identifiers import CustomerName
from vaneturn_core.traffic.admission.capacity import CapacityEstimate
from vaneturn_core.traffic.admission.demand import Demand, ServiceDemand
from vaneturn_core.traffic.admission.returns import ReturnSchedule
from vaneturn_core.traffic.admission.threshold import (
    AdmissionShares,
    Decision,
    Verdict,
    compute_shares,
    decide,
    fix_draw,
)
from vaneturn_core.traffic.admission.waiting import WaitingQueue, WaitingRequest
from vaneturn_core.traffic.blame.contents import Content

TICK_S: Final = 0.01
REPORT_S: Final = 0.8
WINDOW_S: Final = 2.0  # in which arrivals are counted
DURATION_S: Final = 4.0
OBJECTIVE_S: Final = 0.5
TIME_LEFT_S: Final = 5.0


def measure_served(requests: list[Request]) -> float:
    """Measure which share of requests was served in time."""
    return sum(request.outcome == "served" for request in requests) / max(1, len(requests))


class Manner(Enum):
    """What the client of a refused request does."""

    LEAVE = "leave"
    HEED = "heed"  # returns once after `Retry-After`
    IGNORE = "ignore"  # retries at once, four times


@dataclass(frozen=True)
class Stream:
    priority: int
    rate: Callable[[float], float]  # requests per second by time
    customers: Mapping[str | None, float] = field(default_factory=lambda: {None: 1.0})
    manner: Manner = Manner.LEAVE


@dataclass(eq=False)
class Request:
    stream: Stream
    customer: CustomerName | None
    content: Content
    arrived: float
    tries: int = 0
    tried: float = 0.0  # time of the newest try
    outcome: str = ""  # served, full (refused by servers) or refused


@dataclass
class Node:
    group: int  # of nodes that reach each other; none below 0
    capacity: CapacityEstimate
    returns: ReturnSchedule
    report_at: float
    queue: WaitingQueue[Request] = field(default_factory=WaitingQueue)
    demand: ServiceDemand | None = None
    seen_at: float = -math.inf  # time of the figures
    shares: AdmissionShares | None = None
    shares_at: float = 0.0
    admitted_since: int = 0
    arrivals: deque[tuple[float, int, CustomerName | None]] = field(default_factory=deque)
    refusals: deque[tuple[float, int]] = field(default_factory=deque)
    in_progress: Counter[int] = field(default_factory=Counter)


class OverloadModel:
    """Plays streams against nodes; `capacity` is that of the servers by time."""

    def __init__(
        self,
        nodes: int,
        streams: list[Stream],
        capacity: Callable[[float], float],
        *,
        seed: int = 1,
        group: Callable[[int, float], int] = lambda _node, _now: 0,
    ) -> None:
        self.random = Random(seed)
        self.streams, self.capacity, self.group = streams, capacity, group
        self.nodes = [
            Node(0, CapacityEstimate(DURATION_S), ReturnSchedule(self.random), self.random.uniform(0, REPORT_S))
            for _ in range(nodes)
        ]
        self.now = 0.0
        self.running = 0
        self.requests: list[Request] = []
        self.samples: list[tuple[float, int, float]] = []  # time, requests in progress, limit
        self.refused_free: list[float] = []  # times of refusals while fewer than the limit were in progress
        self.longest_refusal = 0.0  # seconds from a try to its refusal
        self.waits: list[float] = []  # times of requests that had to wait
        self.returned: list[Request] = []
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._numbers = itertools.count()
        self._seen: dict[int, deque[tuple[float, ServiceDemand]]] = defaultdict(lambda: deque(maxlen=40))

    @property
    def limit(self) -> float:
        return 0.9 * self.capacity(self.now)

    def run(self, seconds: float) -> OverloadModel:
        ticks = round(seconds / TICK_S)
        for tick in range(ticks):
            self.now = tick * TICK_S
            if tick % 10 == 0:
                self._sample()
            while self._events and self._events[0][0] <= self.now:
                _, _, action, argument = heapq.heappop(self._events)
                action(argument)
            for stream in self.streams:
                for _ in range(self._draw_count(stream.rate(self.now) * TICK_S)):
                    names = list(stream.customers)
                    (name,) = self.random.choices(names, list(stream.customers.values()))
                    customer = None if name is None else CustomerName(name)
                    request = Request(stream, customer, Content(self.random.getrandbits(64)), self.now)
                    self.requests.append(request)
                    self._arrive(request)
        return self

    def list_requests(self, start: float) -> list[Request]:
        """List the requests that arrived after a time."""
        return [request for request in self.requests if request.arrived >= start]

    def compute_use(self, start: float) -> float:
        """Compute the mean of the requests in progress over the limit."""
        used = [running / limit for at, running, limit in self.samples if at >= start]
        return sum(used) / len(used)

    def _schedule(self, at: float, action: Callable[..., None], argument: Any) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action, argument))

    def _draw_count(self, mean: float) -> int:
        count, product, bound = 0, self.random.random(), math.exp(-mean)
        while product > bound:
            count += 1
            product *= self.random.random()
        return count

    def _sample(self) -> None:
        self.samples.append((self.now, self.running, self.limit))
        members: defaultdict[int, list[Node]] = defaultdict(list)
        for index, node in enumerate(self.nodes):
            node.group = self.group(index, self.now)
            members[node.group].append(node)
        for group, nodes in members.items():
            if group >= 0:
                self._seen[group].append((self.now, self._sum(nodes)))
        for node in self.nodes:
            if node.report_at <= self.now:
                node.report_at += REPORT_S
                self._report(node)

    def _sum(self, nodes: list[Node]) -> ServiceDemand:
        scale = len(self.nodes) / len(nodes)
        arrivals: Counter[int] = Counter()
        refused: Counter[int] = Counter()
        customers: Counter[CustomerName] = Counter()
        for node in nodes:
            while node.refusals and node.refusals[0][0] < self.now - WINDOW_S:
                node.refusals.popleft()
            refused.update(priority for _, priority in node.refusals)
            while node.arrivals and node.arrivals[0][0] < self.now - WINDOW_S:
                node.arrivals.popleft()
            arrivals.update(priority for _, priority, _ in node.arrivals)
            customers.update(name for _, _, name in node.arrivals if name is not None)
        rows = {
            stream.priority: Demand(
                arrivals[stream.priority] * scale / WINDOW_S,
                round(scale * sum(node.in_progress[stream.priority] for node in nodes)),
                0,
                refused[stream.priority] * scale / WINDOW_S,
            )
            for stream in self.streams
        }
        return ServiceDemand(rows, {}, {c: n * scale / WINDOW_S for c, n in customers.most_common(8)}, math.inf)

    def _report(self, node: Node) -> None:
        """Give a node figures that are 1 s old or more, and 3 s at the next report at most."""
        oldest = self.now - self.random.uniform(1.0, 3.0 - REPORT_S)
        found = [seen for seen in self._seen[node.group] if seen[0] <= oldest + 1e-9]
        if found and found[-1][0] > max(node.seen_at, self.now - 3.0):
            node.seen_at, node.demand = found[-1]
            node.admitted_since = 0
            self._compute_shares(node, self._view(node))
            self._offer(node)

    def _view(self, node: Node) -> ServiceDemand:
        seen = node.demand
        if seen is None or self.now - node.seen_at > 3.0 + 1e-9:
            return self._sum([node])
        return ServiceDemand(seen.by_priority, {}, seen.customers, self.now - node.seen_at)

    def _compute_shares(self, node: Node, demand: ServiceDemand) -> None:
        node.capacity.update(self.capacity(self.now), self.now)
        node.shares = compute_shares(demand, node.capacity, node.shares, self.now - node.shares_at)
        node.shares_at = self.now

    def _decide(self, node: Node, request: Request) -> Decision:
        demand = self._view(node)
        node.capacity.update(self.capacity(self.now), self.now)
        if math.isinf(demand.age) or node.shares is None:
            self._compute_shares(node, demand)
        assert node.shares is not None
        return decide(
            demand,
            node.capacity,
            node.shares,
            admitted_since=node.admitted_since,
            priority=request.stream.priority,
            customer=request.customer,
            draw=fix_draw(request.content, self.now),
        )

    def _arrive(self, request: Request) -> None:
        node = self.random.choice(self.nodes)
        request.tries += 1
        request.tried = self.now
        priority = request.stream.priority
        node.arrivals.append((self.now, priority, request.customer))
        verdict = self._decide(node, request).verdict
        if verdict is Verdict.ADMIT:
            self._admit(node, request)
            return
        waiting = None
        if verdict is Verdict.WAIT:
            waiting = node.queue.push(
                request, route="", priority=priority, customer=request.customer, objective=OBJECTIVE_S, now=self.now
            )
        if waiting is None:
            self._refuse(node, request)
            return
        self.waits.append(self.now)
        self._schedule(waiting.until, self._expire, (node, waiting))

    def _expire(self, found: tuple[Node, WaitingRequest[Request]]) -> None:
        if found[0].queue.remove(found[1]):
            self._refuse(found[0], found[1].item)

    def _offer(self, node: Node) -> None:
        def is_admitted(waiting: WaitingRequest[Request]) -> bool:
            admitted = self._decide(node, waiting.item).verdict is Verdict.ADMIT
            if admitted:
                self._admit(node, waiting.item)
            return admitted

        node.queue.offer(self.now, is_admitted)

    def _admit(self, node: Node, request: Request) -> None:
        node.admitted_since += 1
        if self.running >= self.capacity(self.now):
            request.outcome = "full"
            figures = self._view(node).by_priority.values()
            node.capacity.record_refusal(sum(one.in_progress for one in figures), self.now)
            return
        request.outcome = "served"
        self.running += 1
        node.in_progress[request.stream.priority] += 1
        seconds = self.random.gammavariate(4.0, DURATION_S / 4.0)
        self._schedule(self.now + seconds, self._end, (node, request, seconds))

    def _end(self, ended: tuple[Node, Request, float]) -> None:
        node, request, seconds = ended
        self.running -= 1
        node.in_progress[request.stream.priority] -= 1
        node.capacity.record_duration(seconds)
        node.queue.record_end(self.now)
        self._offer(node)

    def _refuse(self, node: Node, request: Request) -> None:
        request.outcome = "refused"
        self.longest_refusal = max(self.longest_refusal, self.now - request.tried)
        if self.running < self.limit:
            self.refused_free.append(self.now)
        node.refusals.append((self.now, request.stream.priority))
        if request.stream.manner is Manner.IGNORE and request.tries <= 4:
            self._schedule(self.now + 0.02, self._arrive, request)
            return
        total = sum(len(one.refusals) for one in self.nodes)
        room = node.capacity.rate * len(node.refusals) / total
        left = request.arrived + TIME_LEFT_S - self.now
        after = node.returns.assign(self.now, room, left)
        if request.stream.manner is Manner.HEED and request.tries == 1:
            self.returned.append(request)
            self._schedule(self.now + after, self._arrive, request)
