"""Clients of a randomised run, and what the run found."""

from __future__ import annotations

import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import anyio
import httpx

from rig.processorwatch import ProcessorWatch
from rig.traffic import Traffic, list_ids
from rig.trafficjudge import Cut, Span, Troubles
from standins.platform.operator import KEY

NODES = 5
TOKENS = 30
KEY_REMOVAL_TIME_S = 5.0  # seconds from the removal of a key to the last request accepted with it
DRAIN_TIME_S = 2.0  # seconds from the announcement that a server leaves to its last new request
SLACK_S = 0.5  # seconds of tolerance for busy machines
NEVER = float("inf")
STREAMS = ("/letter/1", "/letter/1", "/notice/1")
PLAIN = ("/once/1", "/check/1")


class FirstTry(NamedTuple):
    """One request of a client, which sends each request once."""

    node: int
    sent_at: float  # monotonic
    is_served: bool


@dataclass
class Findings:
    """Counts, faults and events that the checks after the run use."""

    counts: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    allowed: list[str] = field(default_factory=list)  # faults that the guarantees allow in small numbers
    not_run: set[str] = field(default_factory=set)  # requests answered with 429 or 503, that is, not run
    run_once: set[str] = field(default_factory=set)  # requests that must not run twice
    left_at: dict[str, float] = field(default_factory=dict)  # when each server announced that it leaves
    trouble_spans: list[tuple[float, float]] = field(default_factory=list)  # of nodes and the store
    cut_streams: list[Cut] = field(default_factory=list)  # whose response had begun
    cut_by_stops: list[Cut] = field(default_factory=list)  # requests in progress at a planned stop that were cut
    troubles_by_source: Troubles = field(default_factory=Troubles)
    longest_waits: dict[str, float] = field(default_factory=dict)  # seconds without a processor, by process
    first_tries: list[FirstTry] = field(default_factory=list)
    stops: defaultdict[int, list[float]] = field(default_factory=lambda: defaultdict(list))  # SIGTERMs, by node
    restarts: defaultdict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # planned ones, by node


class SoakClients:
    """Clients of one platform, each of which sends one request at a time."""

    def __init__(self, traffic: Traffic, seconds: float, seed: int) -> None:
        self.traffic = traffic
        self.findings = Findings()
        self._until = time.monotonic() + seconds
        self._seed = seed
        self._fault_lock = anyio.Lock()  # a planned stop and other faults exclude each other
        self._faulty_nodes: set[int] = set()  # numbers of nodes that have a fault
        self._version = 1
        self._extra_routes: list[dict[str, Any]] = []  # additional routes that make the configuration long
        self._silence_counts: Counter[str] = Counter()  # number of faults that make a server unresponsive, by address
        self._cut_counts: Counter[int] = Counter()  # number of faults that cut a node off from servers, by node
        self._processors = ProcessorWatch(traffic, self.findings.troubles_by_source.stalls, self.findings.longest_waits)
        self._keys: dict[str, float] = {KEY: NEVER}  # API keys and when each was removed
        self._used_versions: defaultdict[tuple[int, int], int] = defaultdict(int)  # latest, by node and process id

    async def _ask(
        self, path: str, node: int, key: str = KEY, *, through_a_stop: bool = False
    ) -> tuple[str, httpx.Response | None]:
        """Send one request; return its id, and its complete response unless it was cut."""
        request = f"soak-{random.getrandbits(60):x}"
        sent, answer = time.monotonic(), None
        built = self.traffic.build(path, node=node, X_Request_Id=request, Authorization=f"Token {key}")
        try:
            answer = await self.traffic.client.send(built, stream=True)
            await answer.aread()
        except httpx.TransportError as error:
            self.findings.counts["cut"] += 1
            has_begun = answer is not None and answer.status_code == httpx.codes.OK
            cut = Cut(request, path, node, repr(error), sent, time.monotonic())
            if has_begun and path in STREAMS:
                self.findings.cut_streams.append(cut)
            if through_a_stop:
                self.findings.cut_by_stops.append(cut)
            self.findings.first_tries.append(FirstTry(node, sent, is_served=False))
            return request, None
        self.findings.first_tries.append(FirstTry(node, sent, answer.status_code < httpx.codes.INTERNAL_SERVER_ERROR))
        self.findings.counts[f"{path.split('/')[1]} {answer.status_code}"] += 1
        if answer.status_code == httpx.codes.BAD_REQUEST:
            self.findings.faults.append(f"{request} was rejected as a bad request: {answer.text}")
        if answer.status_code in {429, 503}:
            self.findings.not_run.add(request)
            if "retry-after" not in answer.headers:
                self.findings.faults.append("a refusal has no Retry-After header")
        return request, answer

    async def _ask_stream(self, rng: random.Random) -> None:
        path = rng.choice(STREAMS)
        request, answer = await self._ask(path, rng.randrange(NODES))
        if "notice" in path:
            self.findings.run_once.add(request)
        if answer is None or answer.status_code != httpx.codes.OK:
            await anyio.sleep(0.05)
            return
        if list_ids(answer.text) != list(range(1, TOKENS + 1)):
            self.findings.faults.append(f"events {list_ids(answer.text)} in an answer that ended as complete")
        if answer.text.count(f" of {request}\n") != TOKENS:
            self.findings.faults.append(f"events of another request in the answer to {request}")

    async def _ask_plain(self, rng: random.Random) -> None:
        path, key = rng.choice(PLAIN), rng.choice(list(self._keys))
        sent = time.monotonic()
        request, answer = await self._ask(path, rng.randrange(NODES), key)
        if "once" in path:
            self.findings.run_once.add(request)
        if answer is None:
            return
        if answer.status_code == httpx.codes.OK and answer.content != b"answer to " + request.encode():
            self.findings.faults.append(f"the answer to {request} is {answer.content!r}")
        if answer.status_code == httpx.codes.OK and sent > self._keys[key] + KEY_REMOVAL_TIME_S:
            self.findings.faults.append(f"a key was accepted {sent - self._keys[key]:.2f} s after its removal")
        await anyio.sleep(rng.uniform(0.0, 0.1))


__all__ = ["DRAIN_TIME_S", "NEVER", "NODES", "SLACK_S", "STREAMS", "TOKENS", "Findings", "SoakClients"]
