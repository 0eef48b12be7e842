"""Backend servers: model engines that run a chain of layers token by token, and plain services."""

from __future__ import annotations

import itertools
import json
import random
import re
import time
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import anyio
import anyio.lowlevel
from anyio import Event
from anyio.abc import Listener, SocketStream, TaskGroup

from standins.platform.directives import DirectiveRecord
from standins.platform.endings import AnswerPlan, PlannedAnswer, send_answer
from standins.platform.store import Store
from standins.platform.wire import (
    AfterAnswer,
    Call,
    Exchange,
    FindLink,
    GetDelay,
    KeptConnection,
    find_no_link,
    get_no_delay,
    keep_connection,
    serve,
)

_PART = re.compile(r"(?P<address>[0-9.:]+)=(?P<first>\d+)-(?P<end>\d+)")


@dataclass(frozen=True)
class Part:
    address: str
    first: int
    end: int


def parse_chain(text: str) -> list[Part]:
    return [Part(found["address"], int(found["first"]), int(found["end"])) for found in _PART.finditer(text)]


def list_shared_parts(headers: dict[str, str]) -> list[str]:
    """List the ids of all parts of a prompt but the last."""
    return [entry.partition(":")[0] for entry in headers.get("x-prompt-prefix", "").split(",")[:-1]]


@dataclass
class Run:
    """One request that a server began to run."""

    request: str
    server: str
    headers: dict[str, str]
    body: bytes
    caller: str  # the IP address of the node that sent it
    tokens: list[list[Part]] = field(default_factory=list)  # the chain that produced each token
    chains: list[list[Part]] = field(default_factory=list)  # chains assigned to the request; the last one is in force
    is_stream: bool = False
    was_cut: bool = False
    plan: AnswerPlan | None = None  # how its answer was sent; None for the usual way
    started: float = field(default_factory=time.monotonic)
    ended: float | None = None  # monotonic, when an answer that was sent as planned ended
    token_times: list[float] = field(default_factory=list)  # monotonic, when each token was produced


class Arrival(NamedTuple):
    """A request that reached a server, which ran or refused it."""

    at: float  # monotonic
    service: str
    request: str


@dataclass
class Fleet:
    """All servers of a test, and the requests that they ran."""

    store: Store
    tasks: TaskGroup
    layers: int = 8
    token_time: float = 0.01
    answer_tokens: int = 10
    find_link: FindLink = find_no_link  # finds the link of the calling node
    crash_body: bytes | None = None  # body of a request that crashes each server that begins to run it
    crash_parts: frozenset[str] = frozenset()  # parts of prompts that do the same; the last part of a prompt does not
    crash_software: str | None = None  # version of the servers that crash; None for all
    crash_delay: float = 0.03  # seconds from the start of that request to the crash
    restart_time: float = 0.5  # seconds from that crash to the next start at the same address
    plan_answer: Callable[[Run, list[bytes]], AnswerPlan | None] = lambda _run, _pieces: None  # how each answer is sent
    crash_server: Callable[[Server], Awaitable[None]] = lambda server: server.crash()  # when its planned answer ends
    after_answer: AfterAnswer = keep_connection  # what becomes of kept connections
    get_delay: GetDelay = get_no_delay  # gives the seconds that data of a node are on their way
    hold_time: float | None = None  # seconds for which a proxy keeps connections to crashed servers; None without one
    lost_sends: Counter[str] = field(default_factory=Counter)  # of requests, which servers lose without a trace
    refused_once: set[str] = field(default_factory=set)  # requests refused once, for the last part of their chain
    reports_births: bool = False  # whether servers report when they started
    crashes: list[tuple[float, str]] = field(default_factory=list)  # monotonic time and address of each crash
    refused_connections: list[tuple[float, str]] = field(default_factory=list)  # monotonic times, and their callers
    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    record: DirectiveRecord = field(default_factory=DirectiveRecord)
    servers: dict[str, Server] = field(default_factory=dict)  # by address
    _runs_by_request: defaultdict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    _indexed_runs: int = 0
    _server_numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    async def add(self, address: str, service: str, hall: str, kind: str | None, software: str = "v1") -> Server:
        name = f"i-{next(self._server_numbers):04x}"
        server = Server(self, name, address, service, hall, kind, software=software)
        self.servers[address] = server
        await server.start()
        return server

    async def crash_and_restart(self, server: Server) -> None:
        """Crash a server and start it again after some time; it holds no layers then.

        Two requests may crash a server at the same moment; it is restarted once.
        """
        if server.is_crashed:
            return
        self.crashes.append((time.monotonic(), server.address))
        await server.crash()
        await anyio.sleep(self.restart_time)
        if self.reports_births:
            await self.restart(server)
            return
        self.store.remove(f"servers/{server.id}")
        await self.add(server.address, server.service, server.hall, server.kind, server.software)

    def crashes_on(self, server: Server, call: Call) -> bool:
        """Tell whether a request crashes a server that begins to run it."""
        if self.crash_software not in {None, server.software}:
            return False
        return call.body == self.crash_body or not self.crash_parts.isdisjoint(list_shared_parts(call.headers))

    def list_deadly_runs(self, since: float = 0.0) -> list[Run]:
        """List the runs of requests with a part that crashes servers, from a monotonic time on."""
        runs = [run for run in self.runs if run.started > since]
        return [run for run in runs if not self.crash_parts.isdisjoint(list_shared_parts(run.headers))]

    async def restart(self, server: Server) -> Server:
        """Restart a crashed server under its id and address; it holds no layers and has begun no order."""
        place = (server.id, server.address, server.service, server.hall, server.kind)
        restarted = Server(self, *place, software=server.software)
        restarted.work_time, restarted.load_time = server.work_time, server.load_time
        self.servers[server.address] = restarted
        await restarted.start()
        return restarted

    def find_runs(self, request: str) -> list[Run]:
        """Find the runs of a request, in the order in which they began."""
        for run in self.runs[self._indexed_runs :]:
            self._runs_by_request[run.request].append(run)
        self._indexed_runs = len(self.runs)
        return self._runs_by_request[request]


@dataclass
class Server:
    """One start of a backend server."""

    fleet: Fleet
    id: str
    address: str
    service: str
    hall: str
    kind: str | None  # of its accelerator; None for a plain service
    software: str = field(kw_only=True, default="v1")  # version
    state: str = "ready"
    held: tuple[int, int] | None = None
    is_unresponsive: bool = False  # neither answers calls nor resets connections
    is_crashed: bool = False
    is_loading: bool = False
    orders: int = 0
    fence: int = 0
    order_delay: float = 0.0  # seconds before an order is carried out; such an order is never answered
    load_time: float = 0.05
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)  # Unix milliseconds
    fault_handler: Callable[[Exchange, Run], Any] | None = None  # sends a faulty answer in place of the correct one
    report_time: float = 0.0  # seconds until it answers a call for its report
    report_body: bytes | None = None  # sent in place of its report
    work_time: float = 0.01  # seconds that a plain service works on a request
    rate_limit: float | None = None  # requests per second from all nodes, stated in its answers
    refused_share: float = 0.0  # of the requests that reach it
    rest: float | None = None  # seconds of rest that it asks for when it rejects requests
    max_connections: int | None = None  # open ones, from all nodes; new ones beyond them are reset
    announces_leaving: bool = False  # in its answers, whatever its entry in the store says
    thawed: Event | None = None  # set when its process, which is stopped, goes on; None while it runs
    active: dict[str, Run] = field(default_factory=dict)  # the newest run of each request
    _listener: Listener[SocketStream] | None = None
    _open: set[Exchange] = field(default_factory=set)

    async def start(self) -> None:
        self._listener = await serve(
            self.address,
            self._answer,
            self.fleet.tasks,
            self.fleet.find_link,
            self._keep_connection,
            get_delay=self.fleet.get_delay,
            refuses_connection=self._refuses_connection,
        )
        self.announce()

    def _refuses_connection(self, open_connections: int, caller: str) -> bool:
        if self.max_connections is None or open_connections < self.max_connections:
            return False
        self.fleet.refused_connections.append((time.monotonic(), caller))
        return True

    def _keep_connection(self, exchange: Exchange, connection: KeptConnection) -> None:
        self.fleet.after_answer(exchange, connection)  # tests may have replaced it since the start

    def announce(self) -> None:
        """Write the server's entry to the store."""
        entry: dict[str, Any] = {
            "service": self.service, "addr": self.address, "zone": self.hall, "version": self.software,
            "slots": 8, "state": self.state, "cold_left_ms": 0, "seq": 1,
        }  # fmt: skip
        if self.kind is not None:
            layers = [{"from": self.held[0], "target_version": self.held[1], "version": 1}] if self.held else []
            entry |= {"route_type": self.kind, "models": [{"name": "m", "version": 1, "adapters": []}] * bool(layers)}
            entry["layers"] = layers
        if self.fleet.reports_births:
            entry["born"] = self.born
        self.fleet.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def crash(self, *, is_listed: bool = True) -> None:
        """Stop listening and reset all connections."""
        self.is_crashed = True
        if self._listener is not None:
            await self._listener.aclose()
        if self.fleet.hold_time is not None:
            self._listener = await serve(self.address, self._hold_connection, self.fleet.tasks)
        if not is_listed:
            self.fleet.store.remove(f"servers/{self.id}")

    async def _hold_connection(self, exchange: Exchange) -> None:
        """Take a call for a crashed server, and close its connection later without an answer."""
        await anyio.sleep(random.uniform(0.0, self.fleet.hold_time or 0.0))
        await exchange.close()

    def freeze(self) -> None:
        """Stop the process; calls wait in its sockets until it goes on."""
        self.thawed = Event()

    def thaw(self) -> None:
        """Let the process go on with the calls that have arrived, also those whose callers have left."""
        if self.thawed is not None:
            self.thawed.set()
        self.thawed = None

    async def _wait_while_frozen(self) -> None:
        while self.thawed is not None:
            await self.thawed.wait()

    async def _answer(self, exchange: Exchange) -> None:
        await self._wait_while_frozen()
        if self.is_unresponsive:
            await exchange.watch_client()
            await exchange.close()
        if self.is_crashed:
            await exchange.reset()
        call = exchange.call
        expected = call.headers.get("x-expect-instance")
        if expected not in {None, self.id}:
            request = call.headers.get("x-request-id")
            await exchange.reply(421, {"X-Instance-Id": self.id, **({"X-Request-Id": request} if request else {})})
        elif call.path == "/api/report":
            await anyio.sleep(self.report_time)
            body = json.dumps(self._report()).encode() if self.report_body is None else self.report_body
            await exchange.reply(200, {"Content-Type": "application/json"}, body)
        elif call.path == "/api/order":
            await self._take_order(exchange, json.loads(call.body))
        else:
            await self._serve(exchange)

    async def _serve(self, exchange: Exchange) -> None:
        request = exchange.call.headers["x-request-id"]
        self.fleet.record.note_arrival(self.id, exchange.caller, exchange.received_at, request)
        if self.fleet.lost_sends[request]:
            self.fleet.lost_sends[request] -= 1
            await exchange.watch_client()
            await exchange.close()
        self.fleet.arrivals.append(Arrival(time.monotonic(), self.service, request))
        if self.rest is not None:
            headers = {"X-Not-Executed": "1", "X-Request-Id": request}
            headers |= {"Retry-After": str(self.rest), **self._list_directives()}
            place = self.fleet.record.note_answer(self.id, exchange.caller, headers)
            await exchange.reply(503, headers)
            await exchange.flush()
            self.fleet.record.note_passed(place)
        elif random.random() < self.refused_share:
            await exchange.reply(503, {"X-Not-Executed": "1", "X-Request-Id": request})
        elif self.kind is None:
            await self._serve_plain(exchange)
        else:
            await self._serve_stream(exchange)

    def _list_directives(self) -> dict[str, str]:
        directives = {"Server-Limit": str(self.rate_limit)} if self.rate_limit is not None else {}
        return directives | ({"Server-Leaving": "1"} if self.announces_leaving else {})

    def _report(self) -> dict[str, Any]:
        layers = [{"from": self.held[0], "target_version": self.held[1], "version": 1}] if self.held else []
        stalled = []
        for request, run in self.active.items():
            lost = next((part for part in run.chains[-1] if not self._is_alive(part)), None)
            if lost is not None:
                stalled.append({"id": request, "addr": lost.address})
        born = {"born": self.born} if self.fleet.reports_births else {}
        report = {"seq": self.orders, "utilization": self.is_loading, "layers": layers, "stalled": stalled, "pace": 1.0}
        return {**report, **born}

    async def _take_order(self, exchange: Exchange, order: dict[str, Any]) -> None:
        if order.get("fence", self.fence) < self.fence:
            await exchange.reply(412)
            return
        if order["op"] == "repath":
            await self._change_chain(exchange, order)
            return
        if self.order_delay:
            self.fleet.tasks.start_soon(self._place_after_delay, order)
            await exchange.watch_client()
            await exchange.close()
        if order.get("expected_rev", self.orders) != self.orders:
            await exchange.reply(409)
            return
        await self._place(order)
        await exchange.reply(202)

    async def _place_after_delay(self, order: dict[str, Any]) -> None:
        await anyio.sleep(self.order_delay)
        if order.get("expected_rev", self.orders) == self.orders:
            await self._place(order)

    async def _place(self, order: dict[str, Any]) -> None:
        self.fence = max(self.fence, order.get("fence", 0))
        self.orders += 1
        self.is_loading = True

        async def load() -> None:
            await anyio.sleep(self.load_time)
            self.is_loading = False
            self.held = (order["from"], order["target_version"])
            self.announce()

        self.fleet.tasks.start_soon(load)

    async def _change_chain(self, exchange: Exchange, order: dict[str, Any]) -> None:
        if order["id"] not in self.active:
            await exchange.reply(404)
            return
        chain = parse_chain(order["path"])
        if not all(self._is_alive(part) for part in chain):
            await exchange.reply(409)
            return
        self.active[order["id"]].chains.append(chain)
        await exchange.reply(200)

    def _is_alive(self, part: Part) -> bool:
        server = self.fleet.servers.get(part.address)
        if server is None or server.is_unresponsive or server.thawed or server.is_crashed or server.held is None:
            return False
        return server.held[0] <= part.first and part.end <= server.held[1]

    async def _serve_plain(self, exchange: Exchange) -> None:
        call = exchange.call
        run = Run(call.headers["x-request-id"], self.id, call.headers, call.body, exchange.caller)
        run.started = exchange.received_at
        self.fleet.runs.append(run)
        if self.fleet.crashes_on(self, call):
            await self._crash_on(exchange)
        await anyio.sleep(self.work_time)
        await self._wait_while_frozen()
        if self.fault_handler is not None:
            await self.fault_handler(exchange, run)
            return
        body = b"answer to " + run.request.encode()
        if not await self._send_as_planned(exchange, run, [body]):
            await exchange.reply(200, self._sign(exchange, run), body)

    async def _send_as_planned(self, exchange: Exchange, run: Run, pieces: list[bytes]) -> bool:
        """Send an answer in the planned way; return False if none is planned."""
        run.plan = self.fleet.plan_answer(run, pieces)
        if run.plan is None:
            return False
        headers = {**self._sign(exchange, run), **({"Content-Type": "text/event-stream"} if self.kind else {})}

        async def make_piece() -> None:
            if self.kind is not None:
                await self._make_token(exchange, run)

        async def crash() -> None:
            await self.fleet.crash_server(self)

        try:
            await send_answer(exchange, PlannedAnswer(run.plan, headers, pieces, make_piece), crash)
        finally:
            run.ended = time.monotonic()
        return True

    def _sign(self, exchange: Exchange, run: Run) -> dict[str, str]:
        headers = {"X-Request-Id": run.request, "X-Response-Seal": f"seal-{run.server}", "X-Instance-Load": "1,0,8"}
        headers |= self._list_directives()
        self.fleet.record.note_answer(self.id, exchange.caller, headers)
        return headers

    async def _serve_stream(self, exchange: Exchange) -> None:
        call = exchange.call
        request = call.headers["x-request-id"]
        chain = parse_chain(call.headers.get("path", f"{self.address}=0-{self.fleet.layers}"))
        lost = next((part for part in chain if not self._is_alive(part)), None)
        if request in self.fleet.refused_once:
            self.fleet.refused_once.remove(request)
            lost = chain[-1]
        if lost is not None or chain[0].address != self.address:
            at = lost.address if lost is not None else self.address
            await exchange.reply(503, {"X-Not-Executed": "1", "At-Server": at, "X-Request-Id": request})
            return
        run = Run(request, self.id, call.headers, call.body, exchange.caller, chains=[chain], is_stream=True)
        run.started = exchange.received_at
        self.fleet.runs.append(run)
        self.active[request] = run
        try:
            if self.fleet.crashes_on(self, call):
                await exchange.begin(200, {**self._sign(exchange, run), "Content-Type": "text/event-stream"})
                await self._crash_on(exchange)
            if self.fault_handler is not None:
                await self.fault_handler(exchange, run)
                return
            await self._stream(exchange, run)
        finally:
            # The request may have arrived again before this run noticed that its client left.
            if self.active.get(request) is run:
                del self.active[request]

    async def _crash_on(self, exchange: Exchange) -> None:
        """Run a request that crashes this server."""
        await anyio.sleep(self.fleet.crash_delay)
        if not self.is_crashed:
            self.fleet.tasks.start_soon(self.fleet.crash_and_restart, self)
            await anyio.lowlevel.checkpoint()
        await exchange.reset()

    async def _stream(self, exchange: Exchange, run: Run) -> None:
        start = int(run.headers.get("last-event-id", "0"))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._stop_when_client_leaves, exchange, run, tasks)
            numbers = range(start + 1, self.fleet.answer_tokens + 1)
            events = [f"id: {number}\ndata: token {number} of {run.request}\n\n".encode() for number in numbers]
            if await self._send_as_planned(exchange, run, events):
                return
            headers = {**self._sign(exchange, run), "Content-Type": "text/event-stream"}
            if not events:
                await exchange.begin(200, headers)
            for index, event in enumerate(events):
                await self._make_token(exchange, run)
                if index == 0:
                    await exchange.begin(200, headers)
                await exchange.send(event)
            await exchange.end()
            tasks.cancel_scope.cancel()

    async def _stop_when_client_leaves(self, exchange: Exchange, run: Run, tasks: TaskGroup) -> None:
        await exchange.watch_client()
        run.was_cut = True
        tasks.cancel_scope.cancel()

    async def _make_token(self, exchange: Exchange, run: Run) -> None:
        """Produce a token over the chain in force; wait while a server of the chain is lost."""
        await anyio.sleep(self.fleet.token_time)
        while not all(self._is_alive(part) for part in run.chains[-1]):
            if self.is_crashed:
                await exchange.reset()
            await anyio.sleep(self.fleet.token_time)
        run.tokens.append(run.chains[-1])
        run.token_times.append(time.monotonic())


@asynccontextmanager
async def open_fleet(store_address: str) -> AsyncIterator[Fleet]:
    """Run a store and a fleet until the context ends."""
    async with anyio.create_task_group() as tasks:
        store = Store()
        await store.start(store_address, tasks)
        yield Fleet(store, tasks)
        tasks.cancel_scope.cancel()


__all__ = ["Fleet", "Run", "Server", "list_shared_parts", "open_fleet", "parse_chain"]
