"""The randomised run with frequent planned stops and with faults of servers and links."""

from __future__ import annotations

import random
import sys
from collections.abc import Awaitable, Callable

from rig.trafficsoak import TrafficSoak, main


class StopSoak(TrafficSoak):
    """Runs the clients of TrafficSoak; most faults are planned stops."""

    def list_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        return [
            *[self._stop_node] * 4, self._fail_server, self._silence_many, self._fill_links, self._change_often,
        ]  # fmt: skip


if __name__ == "__main__":
    sys.exit(main(StopSoak))
