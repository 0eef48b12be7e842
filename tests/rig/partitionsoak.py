"""The randomised run in which nodes lose their paths to all servers again and again, for seconds each."""

from __future__ import annotations

import random
import sys
from collections.abc import Awaitable, Callable

import anyio

from rig.trafficsoak import TrafficSoak, main

LONG_CUT_RANGE_S = (2.0, 9.0)  # seconds


class PartitionSoak(TrafficSoak):
    """Leaves out the faults of nodes and the store, so that first tries can be compared over most of the run."""

    def list_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        return [self._fail_server, self._change, self._silence_many, self._fill_links]

    def list_path_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        return [self._cut_for_long, self._cut_paths]

    async def _cut_for_long(self, rng: random.Random) -> None:
        await anyio.sleep(rng.uniform(0.5, 2.0))
        await self._cut_off(rng, rng.uniform(*LONG_CUT_RANGE_S))


if __name__ == "__main__":
    sys.exit(main(PartitionSoak))
