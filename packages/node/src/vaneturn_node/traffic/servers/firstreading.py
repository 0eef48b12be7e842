"""The first read of the store, which requests wait for while a node starts."""

from __future__ import annotations

import anyio

from vaneturn_core.traffic.startup import compute_first_wait
from vaneturn_node.clock import read_clock


class FirstReading:
    """Starts with the process and ends once, whether the read succeeded or not."""

    def __init__(self) -> None:
        self._began = read_clock()
        self._ended = anyio.Event()

    def end(self) -> None:
        """Release all waiting requests: the configuration was read, the read has failed, or a planned stop ends it."""
        self._ended.set()

    def describe(self) -> str:
        """Describe the state of the read, for the log line of a request that got no configuration."""
        state = "ended without a configuration" if self._ended.is_set() else "under way"
        return f"first reading {state}, {read_clock() - self._began:.2f} s after its begin"

    async def wait(self, deadline: float | None, arrived: float) -> None:
        """Wait until the read ends, but no longer than the client does.

        :param deadline: seconds that the client waits.
        :param arrived: monotonic time at which the request arrived.
        """
        longest = compute_first_wait(deadline, read_clock() - arrived, is_read=self._ended.is_set())
        with anyio.move_on_after(longest):
            await self._ended.wait()


__all__ = ["FirstReading"]
