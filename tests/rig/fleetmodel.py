"""A model of many nodes that choose chains for streams over one fleet: the product's decisions in simulated time.

Nodes learn what the others have in progress as late as on a real fleet. Servers read prompts one after another, refuse
what they have no room for, and take longer for a token the more requests they have. The figures are those of the model,
good for comparing two decisions on the same load, not for promising times.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.chain import Chain
from vaneturn_core.traffic.chains import ChainChooser
from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.layermap import HOP_TIME_S, LayerMap, Part
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.losses import Finding, LossBoard
from vaneturn_core.traffic.retries import WindowedRetryBudget
from vaneturn_core.traffic.servers import BackendServer, ServerId, ServerLoad

TELL_INTERVAL = 1.0  # seconds between two words of a relay to a node
WORD_LAG = 0.8  # seconds from the counting of a load to its arrival at a node, over two relays
TELL_TIME = 0.1  # seconds from a finding to the relay, and from there to the other nodes
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW = 0.2, 574.0, 10.0  # second sends; seconds
MAX_TRIES = 3
EVENT_TOKENS = 6
LATE_FIRST = 0.6  # seconds to the first event
LATE_PAUSE = 0.3  # seconds between events
READ_RATE = 128_000.0  # prompt tokens a second through all layers, times the factor below
READ_FACTOR = 0.6  # of a kind's step factor: how much slower it reads than the fastest kind
KEPT_TIME = 6.0  # seconds for which a connection may still be open
QUEUE_WAIT = 0.4  # seconds that a request waits at least for a place at a first server without one


@dataclass
class Figures:
    """What became of the streams."""

    asked: int = 0
    late: int = 0
    refused: int = 0
    refusals: int = 0  # by servers, those of requests that were served in the end among them
    begun: Counter[ServerId] = field(default_factory=Counter)  # streams by first server
    outside: int = 0  # streams over another hall than the node's
    returns: int = 0  # streams over a first server that the node used a moment ago

    @property
    def late_share(self) -> float:
        return self.late / max(1, self.asked)

    @property
    def refused_share(self) -> float:
        return self.refused / max(1, self.asked)

    def compute_peak(self, firsts: Iterable[BackendServer]) -> float:
        """Compute the streams of the busiest first server over the mean of all that hold the first layer."""
        counts = [self.begun[server.id] for server in firsts]
        return max(counts) / (sum(counts) / len(counts))


@dataclass
class _Node:
    vm: VmId
    hall: DataHall
    beliefs: ServerStatuses
    board: LoadBoard
    budget: WindowedRetryBudget
    used: dict[ServerId, float] = field(default_factory=dict)  # when the newest stream began there


@dataclass
class _ServerWork:
    taken: float = 0.0
    leading: int = 0
    reads_until: float = 0.0


class FleetModel:
    """One run."""

    def __init__(
        self,
        engine: EngineProfile,
        servers: Sequence[BackendServer],
        *,
        nodes: int,
        rate: float,
        seed: int = 1,
        tells_loads: bool = True,
        tells_losses: bool = True,
    ) -> None:
        """Prepare.

        :param rate: streams a second over all nodes; nodes get unequal shares.
        :param tells_loads: whether nodes hear of the requests of the others.
        :param tells_losses: whether nodes hear which servers others have found lost.
        """
        self.random = random.Random(seed)
        self.now = 0.0
        self.servers = list(servers)
        self.figures = Figures()
        self._engine = engine
        self._rate = rate
        self._tells_loads = tells_loads
        self._tells_losses = tells_losses
        self._losses = LossBoard(lambda: self.now)  # of the relays
        self._lost: set[ServerId] = set()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        halls = sorted({server.hall for server in servers})
        self._nodes = [self._make_node(index, DataHall(halls[index % len(halls)])) for index in range(nodes)]
        self._shares = [self.random.uniform(0.5, 1.5) for _ in self._nodes]
        self._work: defaultdict[ServerId, _ServerWork] = defaultdict(_ServerWork)
        self._layer_map = LayerMap(engine, self.servers)
        self._schedule(self.random.expovariate(self._rate), self._arrive)
        if self._tells_loads:
            for node in self._nodes:
                self._schedule(self.random.uniform(0, TELL_INTERVAL), lambda node=node: self._count_loads(node))  # type: ignore[misc]

    def run(self, seconds: float) -> Figures:
        """Play some seconds more of traffic."""
        ends = self.now + seconds
        while self._events and self._events[0][0] <= ends:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = ends
        return self.figures

    def list_firsts(self) -> list[BackendServer]:
        """List the servers that hold the first layer."""
        return [server for server in self.servers if server.layers and server.layers[0].first == 0]

    def lose(self, share: float) -> None:
        """Let a share of the servers go dark; the list shows nothing of it."""
        self._lost.update(server.id for server in self.random.sample(self.servers, int(share * len(self.servers))))

    def move_clients(self, hall: DataHall) -> None:
        """Let all nodes be in one hall, as if all clients came to it."""
        for node in self._nodes:
            node.hall = hall

    def _make_node(self, index: int, hall: DataHall) -> _Node:
        budget = WindowedRetryBudget(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, lambda: len(self._nodes), lambda: self.now)
        return _Node(VmId(f"entry-{index}"), hall, ServerStatuses(), LoadBoard(lambda: self.now), budget)

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def _count_loads(self, node: _Node) -> None:
        """Count the loads of all nodes, and bring them to a node when they are old."""
        total = {server: ServerLoad(work.leading, work.taken) for server, work in self._work.items() if work.taken > 0}
        own = node.beliefs.list_loads()
        self._schedule(WORD_LAG, lambda: node.board.record_total(total, own))
        self._schedule(TELL_INTERVAL, lambda: self._count_loads(node))

    def _arrive(self) -> None:
        self._schedule(self.random.expovariate(self._rate), self._arrive)
        node = self.random.choices(self._nodes, self._shares)[0]
        prompt = min(3 * self._engine.usual_prompt, self.random.expovariate(1 / self._engine.usual_prompt))
        answer = max(
            EVENT_TOKENS, min(3 * self._engine.usual_answer, self.random.expovariate(1 / self._engine.usual_answer))
        )
        self.figures.asked += 1
        self._serve(node, prompt, answer)

    def _serve(self, node: _Node, prompt: float, answer: float) -> None:
        avoided: set[ServerId] = set()
        node.budget.record_first()
        for number in range(MAX_TRIES):
            if number and not node.budget.spend():
                break
            able = node.beliefs.list_eligible(self.servers, avoided, self.now)
            chooser = ChainChooser(
                layer_map=self._layer_map,
                statuses=node.beliefs,
                node=node.vm,
                hall=node.hall,
                share=node.beliefs.estimate_share(len(self._nodes), self.now),
                prompt=prompt,
                tokens=prompt + self._engine.usual_answer,
                now=self.now,
                board=node.board if self._tells_loads else None,
            )
            chain = chooser.choose(able)
            if chain is None:
                break
            faulty = next((part for part in chain.parts if self._refuses(part, chooser.tokens)), None)
            if faulty is None:
                self._begin(node, chain, chooser.tokens, prompt, answer)
                return
            self.figures.refusals += 1
            avoided.add(faulty.server.id)
            fullness = chooser.estimate_server(faulty.server, is_first=faulty is chain.parts[0])
            node.beliefs[faulty.server.id].record_refusal(self.now, fullness)
            if self._tells_losses:
                self._schedule(TELL_TIME, lambda: self._tell_losses(node))
        self.figures.refused += 1

    def _tell_losses(self, node: _Node) -> None:
        """Bring what a node has found to the relays, and what two nodes have found to all."""
        before = self._losses.version
        found = node.beliefs.list_failed(self.now)
        self._losses.record_follower(node.vm, {server: Finding(until) for server, until in found.items()}, {})
        if self._losses.version == before:
            return
        confirmed = self._losses.list_confirmed({})

        def adopt() -> None:
            for each in self._nodes:
                for server, until in confirmed.items():
                    each.beliefs[server].record_reported_loss(until, self.now)

        self._schedule(TELL_TIME, adopt)

    def _refuses(self, part: Part, tokens: float) -> bool:
        """Tell whether a server is lost, or has no room."""
        taken = self._work[part.server.id].taken + tokens * (part.end - part.first)
        return part.server.id in self._lost or taken > part.server.compute_room(self._engine)

    def _begin(self, node: _Node, chain: Chain, tokens: float, prompt: float, answer: float) -> None:
        first = self._work[chain.first.id]
        wait = QUEUE_WAIT if first.leading >= chain.first.slots else 0.0
        first_event = wait + self._read_prompt(chain, prompt) - self.now
        token_time = sum(self._estimate_step(part) for part in chain.parts)
        self._count_begun(node, chain.first)
        if first_event > LATE_FIRST or EVENT_TOKENS * token_time > LATE_PAUSE:
            self.figures.late += 1
        self._reserve(node, chain, tokens, 1)
        self._schedule(first_event + answer * token_time, lambda: self._reserve(node, chain, tokens, -1))

    def _count_begun(self, node: _Node, first: BackendServer) -> None:
        self.figures.begun[first.id] += 1
        self.figures.outside += first.hall != node.hall
        self.figures.returns += self.now - node.used.get(first.id, float("-inf")) < KEPT_TIME
        node.used[first.id] = self.now

    def _read_prompt(self, chain: Chain, prompt: float) -> float:
        """Read a prompt on one server after the other; gives when it is read."""
        at = self.now
        for part in chain.parts:
            work = self._work[part.server.id]
            factor = max(1.0, READ_FACTOR * self._engine.kinds[part.server.kind or ""].step_factor)
            share = (part.end - part.first) / self._engine.layers
            at = work.reads_until = max(at, work.reads_until) + prompt * factor * share / READ_RATE
        return at

    def _estimate_step(self, part: Part) -> float:
        factor = self._engine.kinds[part.server.kind or ""].step_factor * (part.end - part.first) / self._engine.layers
        held = sum(len(layers) for layers in part.server.layers)
        grown = self._engine.step_growth * self._work[part.server.id].taken / max(1, held)
        return factor * (self._engine.step + grown) + HOP_TIME_S

    def _reserve(self, node: _Node, chain: Chain, tokens: float, sign: int) -> None:
        for part in chain.parts:
            belief = node.beliefs[part.server.id]
            work = self._work[part.server.id]
            is_first = part is chain.parts[0]
            amount = sign * tokens * (part.end - part.first)
            belief.in_progress += sign
            belief.leading += sign * is_first
            belief.reserved += amount
            work.leading += sign * is_first
            work.taken += amount
