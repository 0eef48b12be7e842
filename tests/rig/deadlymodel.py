"""A simulation of requests that crash servers among many streams, with the CrashBoard of vaneturn_core on each node.

Servers lead streams, read prompts one after another and crash soon after a deadly request began to run. Streams of a
crashed server resume on another one; the client of a deadly request that was cut sends it once more. The figures
allow comparing decisions under the same load; they don't predict the counts of a real fleet.
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

STREAM_TIME = 3.3  # mean duration of an answer in seconds
FIRST_TIME = (0.03, 0.15)  # seconds from a send to the first event; range
ENDS_AFTER = 0.1  # seconds that a deadly request runs before it crashes its server
READ_TIME = 0.006  # seconds to read a prompt; prompts of streams that move at the same time are read in sequence
BACK_TIME = 5.0  # seconds from the crash of a server until it holds its layers again
WORD_TIME = 0.04  # seconds until the report of one node has reached all others, over two relays
RETURN_TIME = 0.1  # seconds until a client sends its request again
MOST_MOVES = 3  # number of times that one try may move to another server


@dataclass
class Harm:
    """Effects of the deadly requests in a run."""

    ended: list[float] = field(default_factory=list)  # times at which servers crashed
    sends: list[float] = field(default_factory=list)  # times at which deadly requests were sent to servers
    barred: int = 0  # harmless requests that were barred
    broken: int = 0  # harmless streams that lost their server and found no other one
    all_barring: float | None = None  # time from which on every node barred the deadly content

    def count_late_sends(self, grace: float) -> int:
        """Count the deadly requests that were sent more than `grace` seconds after the third crash."""
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
    run: int = 0  # incremented with each server, so that events planned for an earlier server are ignored


class DeadlyModel:
    """One run of the simulation."""

    def __init__(self, *, nodes: int, servers: int, rate: float, deadly_rate: float, bars: bool, seed: int = 1) -> None:
        """Set up a run.

        :param servers: number of servers that can lead a stream.
        :param rate: harmless streams per second; a tenth of them have one of a few popular contents.
        :param deadly_rate: copies of one deadly request per second.
        :param bars: whether nodes bar requests; otherwise they ignore and don't report the crashes they recorded.
        """
        self.random = random.Random(seed)
        self.now = 0.0
        self.harm = Harm()
        self._bars = bars
        self._rates = rate, deadly_rate
        self._streams: list[dict[_Try, None]] = [{} for _ in range(servers)]  # by server; dicts keep their order
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
        """Simulate some seconds of traffic."""
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
        """Schedule an action for a try; it is skipped if the try has left its server by then."""
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
                word = Suspicion.NO_EVENT if one.heard_at > self.now else Suspicion.STARTED
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
        """Report the crashes known to a node to all others."""
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
