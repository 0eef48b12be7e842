"""The randomised run with frequent planned stops and with faults of servers and links.

Some clients open a connection and let it rest, often across the signal, before they send their first request.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from rig.rawclient import format_request
from rig.soakclients import NEVER, NODES, SLACK_S
from rig.trafficjudge import Span
from rig.trafficsoak import TrafficSoak, main

MAX_REST_S = 6.0  # seconds; a node ends within 8 s of the signal
OPEN_TIME_S = 2.6  # seconds after the signal in which a node serves the first request of a connection
RESTING_CLIENTS = 6


class RestedRequest(NamedTuple):
    """The first request of a connection that had rested."""

    request: str
    node: int
    opened_at: float  # monotonic
    sent_at: float  # monotonic
    is_answered: bool


class StopSoak(TrafficSoak):
    """Runs the clients of TrafficSoak; most faults are planned stops."""

    def list_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        self._rested: list[RestedRequest] = []
        return [
            *[self._stop_node] * 4, self._fail_server, self._silence_many, self._fill_links, self._change_often,
            *[self._ask_after_rest] * RESTING_CLIENTS,
        ]  # fmt: skip

    async def _ask_after_rest(self, rng: random.Random) -> None:
        """Check that a request on a connection that has rested is answered, or not passed on to a server."""
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        request = f"rest-{rng.getrandbits(60):x}"
        node = rng.randrange(NODES)
        built = self.traffic.build("/once/1", node=node, X_Request_Id=request)
        try:
            reader, writer = await asyncio.open_connection(built.url.host, built.url.port)
        except OSError:
            return  # the process has ended
        answer = b""
        opened_at = sent_at = time.monotonic()
        try:
            await asyncio.sleep(rng.uniform(0.0, MAX_REST_S))
            sent_at = time.monotonic()
            writer.write(format_request(built, "HTTP/1.1"))
            answer = await reader.read(1)
        except OSError:
            self.findings.counts["rested and reset"] += 1
        finally:
            writer.close()
        self._rested.append(RestedRequest(request, node, opened_at, sent_at, is_answered=bool(answer)))
        self.findings.counts[f"rested and {'answered' if answer else 'closed'}"] += 1
        if not answer and self.traffic.fleet.find_runs(request):
            self.findings.faults.append(f"{request} ran, and its connection was closed without an answer")

    def _check_runs(self) -> None:
        """Check that a stopping node answers requests as long as it serves the first ones of connections."""
        super()._check_runs()
        for rested in self._rested:
            since_stop = self._measure_since_stop(rested)
            if since_stop >= OPEN_TIME_S - SLACK_S:
                continue
            self.findings.counts["rested, and sent to a stopping node"] += 1
            if not rested.is_answered:
                found = f"{rested.request}, sent {since_stop:.2f} s after the signal to node {rested.node}"
                self.findings.faults.append(f"{found} on a connection without a request yet, got no answer")

    def _measure_since_stop(self, rested: RestedRequest) -> float:
        """Return the seconds from the signal to the request; infinite without one while its connection was open."""
        rest = Span(rested.opened_at, rested.sent_at)
        if any(restart.overlaps(rest) for restart in self.findings.restarts[rested.node]):
            return NEVER  # the connection ended with the process before
        return min(
            (rested.sent_at - at for at in self.findings.stops[rested.node] if at <= rested.sent_at), default=NEVER
        )


if __name__ == "__main__":
    sys.exit(main(StopSoak))
