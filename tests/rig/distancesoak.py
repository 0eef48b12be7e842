"""The randomised run of OnceSoak over distances: data cross closed connections, stopped processes go on later.

Servers run the requests that waited in their sockets, and a proxy accepts connections for crashed servers.
"""

from __future__ import annotations

import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable

import anyio

from rig.oncesoak import OnceSoak
from rig.trafficjudge import Span
from rig.trafficsoak import main

MAX_DELAY_S = 0.02  # seconds that data of a node are on their way to a server
HOLD_TIME_S = 1.0  # seconds for which connections to crashed servers stay open, at most
FREEZE_RANGE_S = (0.1, 3.0)  # seconds


class DistanceSoak(OnceSoak):
    """Adds delays, a proxy and stopped processes to OnceSoak."""

    def list_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        fleet, delays = self.traffic.fleet, random.Random(f"{self._seed} delays")
        fleet.get_delay = lambda: delays.uniform(0.0, MAX_DELAY_S)
        fleet.hold_time = HOLD_TIME_S
        return super().list_faults()

    def list_path_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        return [*super().list_path_faults(), self._freeze_nodes, self._freeze_server, self._freeze_server]

    async def _freeze_nodes(self, rng: random.Random) -> None:
        """Stop two nodes at once, and let one go on before the other."""
        await anyio.sleep(rng.uniform(1.0, 4.0))
        async with (
            self._fault_lock,
            self._reserve_node(rng) as first,
            self._reserve_node(rng) as second,
            self._record_trouble() as records,
        ):
            if first is None or second is None:
                return
            self.findings.counts["fault: two nodes frozen"] += 1
            nodes = self.traffic.nodes
            records += [self.findings.troubles_by_source.nodes[nodes.index(node)] for node in (first, second)]
            for node in (first, second):
                node.process.send(signal.SIGSTOP)
            for node in (first, second):
                await anyio.sleep(rng.uniform(*FREEZE_RANGE_S))
                node.process.send(signal.SIGCONT)

    async def _freeze_server(self, rng: random.Random) -> None:
        """Stop a server with the requests in its sockets, and let it run them later."""
        await anyio.sleep(rng.uniform(0.5, 2.0))
        server = self._pick_server(rng)
        if server.thawed is not None:
            return
        self.findings.counts["fault: server frozen"] += 1
        began = time.monotonic()
        server.freeze()
        await anyio.sleep(rng.uniform(*FREEZE_RANGE_S))
        server.thaw()
        self.findings.troubles_by_source.silences[server.address].append(Span(began, time.monotonic()))


if __name__ == "__main__":
    sys.exit(main(DistanceSoak))
