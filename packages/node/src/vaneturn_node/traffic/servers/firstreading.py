"""The first reading of the store, which the requests of a node's first moments wait for."""

from __future__ import annotations

import anyio

from vaneturn_core.traffic.startup import compute_first_wait
from vaneturn_node.clock import read_clock


class FirstReading:
    """Begun with the process; ended once, well or not."""

    def __init__(self) -> None:
        self._began = read_clock()
        self._ended = anyio.Event()

    def end(self) -> None:
        """Let all who wait go on: there is a configuration now, or none is on its way."""
        self._ended.set()

    def describe(self) -> str:
        """Describe it, for the log line of a request that got no configuration."""
        state = "ended without a configuration" if self._ended.is_set() else "under way"
        return f"first reading {state}, {read_clock() - self._began:.2f} s after its begin"

    async def wait(self, deadline: float | None, arrived: float) -> None:
        """Wait for its end, for as long as a client bears.

        :param deadline: seconds that the client waits.
        :param arrived: when its request did, by the steady clock.
        """
        longest = compute_first_wait(deadline, read_clock() - arrived, is_read=self._ended.is_set())
        with anyio.move_on_after(longest):
            await self._ended.wait()


__all__ = ["FirstReading"]
