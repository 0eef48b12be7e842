"""A model of requests that end servers among many streams: the product's boards on many nodes in simulated time.

Servers lead streams, read prompts one after another and end under a deadly request soon after it began to run. Streams
of a server that ended go on at another one; clients whose answer was broken off come back once. The figures are those
of the model, good for comparing decisions on the same load, not for promising counts.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from vaneturn_core.traffic.contents import Content
from vaneturn_core.traffic.crashes import STARTING_TIME_S, CrashBoard, Suspicion
from vaneturn_core.traffic.servers import ServerId

STREAM_TIME = 3.3  # seconds of an answer, mean
FIRST_TIME = (0.03, 0.15)  # seconds from a send to the first event
ENDS_AFTER = 0.1  # seconds that a deadly request runs before its server ends
READ_TIME = 0.006  # seconds of a prompt; streams that move together are read one after another
BACK_TIME = 5.0  # seconds from the end of a server until it holds its layers again
WORD_TIME = 0.04  # seconds from what one node sees to all others, over two relays
RETURN_TIME = 0.1  # seconds until a client comes back
MOST_MOVES = 3  # of one try


@dataclass
class Harm:
    """What deadly requests did."""

    ended: list[float] = field(default_factory=list)  # times at which servers ended
    sends: list[float] = field(default_factory=list)  # times at which deadly requests were sent to servers
    barred: int = 0  # honest requests that were refused for good
    broken: int = 0  # streams that servers took along, and that found no other one
    all_barring: float | None = None  # when every node had barred the first deadly content

    def count_late_sends(self, grace: float) -> int:
        """Count the sends later than some seconds after the third server had ended."""
        if len(self.ended) < 3:
            return 0
        return sum(at > self.ended[2] + grace for at in self.sends)


@dataclass(eq=False)
class _Try:
    node: int
    content: Content
    is_deadly: bool
    moves: int = 0
    returns: int = 0
    is_sound: bool = False
    heard_at: float = float("inf")
    server: int | None = None
    run: int = 0  # rises with each server, so that what was planned on an earlier one is void


class DeadlyModel:
    """One run."""

    def __init__(self, *, nodes: int, servers: int, rate: float, deadly_rate: float, bars: bool, seed: int = 1) -> None:
        """Prepare.

        :param servers: that can lead a stream.
        :param rate: honest streams a second; a tenth of them asks for one of a few things.
        :param deadly_rate: copies of one deadly request a second.
        :param bars: whether the boards decide; without, all goes on as if nothing was remembered.
        """
        self.random = random.Random(seed)
        self.now = 0.0
        self.harm = Harm()
        self._bars = bars
        self._rates = rate, deadly_rate
        self._streams: list[dict[_Try, None]] = [{} for _ in range(servers)]  # in their order
        self._starts = [0] * servers
        self._back_at = [0.0] * servers
        self._read_until = [0.0] * servers
        self._boards = [CrashBoard(lambda: self.now, lambda: ["v1"]) for _ in range(nodes)]
        self._is_telling = [False] * nodes
        for number, board in enumerate(self._boards):
            board.listeners.append(lambda number=number: self._tell(number))  # type: ignore[misc]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._contents = itertools.count(1000)
        self._schedule(0.0, self._arrive)
        self._schedule(2.0, self._arrive_deadly)

    def run(self, seconds: float) -> Harm:
        """Play some seconds of traffic."""
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.harm

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def _arrive(self) -> None:
        self._schedule(self.random.expovariate(self._rates[0]), self._arrive)
        is_popular = self.random.random() < 0.1
        content = Content(self.random.randrange(5) + 10 if is_popular else next(self._contents))
        self._send(_Try(self._draw_node(), content, is_deadly=False))

    def _arrive_deadly(self) -> None:
        self._schedule(self.random.expovariate(self._rates[1]), self._arrive_deadly)
        self._send(_Try(self._draw_node(), Content(1), is_deadly=True))

    def _draw_node(self) -> int:
        return self.random.randrange(len(self._boards))

    def _send(self, one: _Try) -> None:
        if self._bars and self._boards[one.node].is_barred(one.content):
            self.harm.barred += not one.is_deadly
            return
        able = [server for server, back_at in enumerate(self._back_at) if back_at <= self.now]
        if not able:
            self.harm.broken += not one.is_deadly
            return
        pair = self.random.choices(able, k=2)
        server = one.server = min(pair, key=lambda each: len(self._streams[each]))
        self._streams[server][one] = None
        one.run, one.heard_at = one.run + 1, float("inf")
        self.harm.sends += [self.now] * one.is_deadly
        read_at = self._read_until[server] = max(self.now, self._read_until[server]) + READ_TIME
        first = read_at - self.now + self.random.uniform(*FIRST_TIME)
        if one.is_deadly:
            self._plan(one, first + ENDS_AFTER, lambda: self._end_server(server))
            return
        self._plan(one, first, lambda: self._hear(one))
        self._plan(one, first + self.random.expovariate(1 / STREAM_TIME), lambda: self._finish(one))

    def _plan(self, one: _Try, delay: float, action: Callable[[], None]) -> None:
        """Plan what happens to a try, unless it has gone to another server by then."""
        run = one.run
        self._schedule(delay, lambda: action() if one.run == run and one.server is not None else None)

    def _hear(self, one: _Try) -> None:
        one.heard_at = self.now
        self._plan(one, STARTING_TIME_S, lambda: self._prove(one))

    def _prove(self, one: _Try) -> None:
        one.is_sound = True
        self._boards[one.node].record_completion(one.content, "v1")

    def _finish(self, one: _Try) -> None:
        assert one.server is not None
        del self._streams[one.server][one]
        one.server = None
        self._boards[one.node].record_completion(one.content, "v1")

    def _end_server(self, server: int) -> None:
        self.harm.ended.append(self.now)
        name = ServerId(f"i-{server}-{self._starts[server]}")
        self._starts[server] += 1
        self._back_at[server] = self.now + BACK_TIME
        lost, self._streams[server] = list(self._streams[server]), {}
        for one in lost:
            one.server = None
            if not one.is_sound:
                word = Suspicion.UNHEARD if one.heard_at > self.now else Suspicion.BEGUN
                self._boards[one.node].record_lost_connection(name, "v1", one.content, word)
        for node in sorted({one.node for one in lost}):
            self._boards[node].confirm(name)
        self.random.shuffle(lost)
        for one in lost:
            self._go_on(one)

    def _go_on(self, one: _Try) -> None:
        if one.moves < MOST_MOVES:
            one.moves += 1
            self._send(one)
        elif one.is_deadly and not one.returns:
            again = _Try(self._draw_node(), one.content, is_deadly=True, returns=1)
            self._schedule(RETURN_TIME, lambda: self._send(again))
        else:
            self.harm.broken += not one.is_deadly

    def _tell(self, node: int) -> None:
        """Bring what a node knows to all others."""
        if self._bars and not self._is_telling[node]:
            self._is_telling[node] = True
            self._schedule(WORD_TIME, lambda: self._join(node))

    def _join(self, node: int) -> None:
        self._is_telling[node] = False
        ends = self._boards[node].list_crashes()
        for board in self._boards:
            if board.check != self._boards[node].check:
                board.join(ends)
        if self.harm.all_barring is None and all(board.is_barred(Content(1)) for board in self._boards):
            self.harm.all_barring = self.now


__all__ = ["DeadlyModel", "Harm"]
