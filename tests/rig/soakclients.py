"""Clients of a randomised run, and what they and the servers saw."""

from __future__ import annotations

import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx

from rig.traffic import Traffic, list_ids
from rig.trafficjudge import Cut, Span, Troubles
from standins.platform.operator import KEY

NODES = 5
TOKENS = 30
KEYS_TIME = 5.0  # seconds from the removal of a key to its last request
DRAIN_TIME = 2.0  # seconds from the word that a server leaves to its last new work
SLACK = 0.5  # seconds that a busy machine may take
NEVER = float("inf")
STREAMS = ("/letter/1", "/letter/1", "/notice/1")
PLAIN = ("/once/1", "/check/1")


@dataclass
class Findings:
    """What clients and servers saw."""

    counts: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)  # requests that were called not run
    once: set[str] = field(default_factory=set)  # requests that must not run twice
    left_at: dict[str, float] = field(default_factory=dict)  # servers that said they leave
    troubles: list[tuple[float, float]] = field(default_factory=list)  # of nodes and the store, from and to
    cuts: list[Cut] = field(default_factory=list)  # of streams that had begun
    stopped: list[Cut] = field(default_factory=list)  # of streams that a planned stop may have cut
    by_whom: Troubles = field(default_factory=Troubles)
    restarts: defaultdict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # planned ones, by node


class SoakClients:
    """Clients of one platform, each with one request at a time."""

    def __init__(self, traffic: Traffic, seconds: float, seed: int) -> None:
        self.traffic = traffic
        self.findings = Findings()
        self._until = time.monotonic() + seconds
        self._seed = seed
        self._planned = anyio.Lock()  # a planned stop and other faults exclude each other
        self._busy: set[int] = set()  # nodes that have a fault
        self._version = 1
        self._more: list[dict[str, Any]] = []  # routes of a long configuration
        self._silent: Counter[str] = Counter()  # faults that keep each server silent, by address
        self._looks: list[float] = []  # at the clock
        self._keys: dict[str, float] = {KEY: NEVER}  # and when each was taken away
        self._seen: defaultdict[tuple[int, int], int] = defaultdict(int)  # by node and process: newest version used

    async def _ask(
        self, path: str, node: int, key: str = KEY, *, through_a_stop: bool = False
    ) -> tuple[str, httpx.Response | None]:
        """Send one request; gives its id, and its whole answer unless it was cut."""
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
                self.findings.cuts.append(cut)
            if through_a_stop:
                self.findings.stopped.append(cut)
            return request, None
        self.findings.counts[f"{path.split('/')[1]} {answer.status_code}"] += 1
        if answer.status_code == httpx.codes.BAD_REQUEST:
            self.findings.faults.append(f"{request} was refused for good: {answer.text}")
        if answer.status_code in {429, 503}:
            self.findings.refused.add(request)
            if "retry-after" not in answer.headers:
                self.findings.faults.append("a refusal does not tell when to come back")
        return request, answer

    async def _ask_stream(self, rng: random.Random) -> None:
        path = rng.choice(STREAMS)
        request, answer = await self._ask(path, rng.randrange(NODES))
        if "notice" in path:
            self.findings.once.add(request)
        if answer is None or answer.status_code != httpx.codes.OK:
            await anyio.sleep(0.05)
            return
        if list_ids(answer.text) != list(range(1, TOKENS + 1)):
            self.findings.faults.append(f"events {list_ids(answer.text)} in an answer that ended as whole")
        if answer.text.count(f" of {request}\n") != TOKENS:
            self.findings.faults.append(f"events of another request in the answer to {request}")

    async def _ask_plain(self, rng: random.Random) -> None:
        path, key = rng.choice(PLAIN), rng.choice(list(self._keys))
        sent = time.monotonic()
        request, answer = await self._ask(path, rng.randrange(NODES), key)
        if "once" in path:
            self.findings.once.add(request)
        if answer is None:
            return
        if answer.status_code == httpx.codes.OK and answer.content != b"answer to " + request.encode():
            self.findings.faults.append(f"the answer to {request} is {answer.content!r}")
        if answer.status_code == httpx.codes.OK and sent > self._keys[key] + KEYS_TIME:
            self.findings.faults.append(f"a key ran {sent - self._keys[key]:.2f} s after it was taken away")
        await anyio.sleep(rng.uniform(0.0, 0.1))


__all__ = ["DRAIN_TIME", "NEVER", "NODES", "SLACK", "STREAMS", "TOKENS", "Findings", "SoakClients"]
