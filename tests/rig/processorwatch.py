"""Records when the processes of a randomised run had no processor."""

from __future__ import annotations

import time

import anyio

from rig.traffic import Traffic
from rig.trafficjudge import Span

READ_INTERVAL_S = 0.05  # seconds between readings of the clock
PAUSE_S = 0.2  # seconds; a longer gap between readings means that this process did not run
OWN_PROCESS = "clients and stand-ins"


class ProcessorWatch:
    """Watches the nodes, and the process of the run, which holds all clients, stand-ins and links.

    :ivar clock_readings: readings of the monotonic clock by the process of the run.
    """

    def __init__(self, traffic: Traffic, stalls: dict[int, list[Span]], longest_waits: dict[str, float]) -> None:
        """Prepare the watch.

        :param stalls: gets the spans in which a node waited for a processor.
        :param longest_waits: gets the longest wait of each process.
        """
        self._traffic = traffic
        self._stalls = stalls
        self._longest_waits = longest_waits
        self.clock_readings: list[float] = []

    async def run(self) -> None:
        """Watch until cancelled."""
        waits = [0.0] * len(self._traffic.nodes)
        while True:
            now = time.monotonic()
            if self.clock_readings:
                self._record(OWN_PROCESS, now - self.clock_readings[-1] - READ_INTERVAL_S)
            self.clock_readings.append(now)
            for number, node in enumerate(self._traffic.nodes):
                waited = node.process.read_run_delay()
                self._record(f"node {number}", waited - waits[number])
                if waited - waits[number] >= PAUSE_S:
                    now = time.monotonic()
                    self._stalls[number].append(Span(now - (waited - waits[number]), now))
                waits[number] = waited
            await anyio.sleep(READ_INTERVAL_S)

    def _record(self, process: str, seconds: float) -> None:
        self._longest_waits[process] = max(self._longest_waits.get(process, 0.0), seconds)


__all__ = ["PAUSE_S", "ProcessorWatch"]
