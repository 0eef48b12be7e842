"""The randomised run with requests that end servers, and servers that start again under their names."""

from __future__ import annotations

import random
import sys
from collections.abc import Awaitable, Callable

import anyio
import httpx

from rig.soakclients import NODES, SLACK
from rig.trafficsoak import CONTACT_TIME, TrafficSoak, main

DEADLY = b"a letter that ends servers"
MOST_SENDS = 3  # later than the contact time after a request has ended three servers


class DeadlySoak(TrafficSoak):
    """The same clients and faults, and a client with a deadly request."""

    def list_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        self.traffic.fleet.crash_body = DEADLY
        self.traffic.fleet.reports_births = True
        return [*super().list_faults(), self._send_deadly, self._start_again]

    async def _send_deadly(self, rng: random.Random) -> None:
        """Send the request, and again where it was broken off, as clients do."""
        await anyio.sleep(rng.uniform(1.0, 4.0))
        self.findings.counts["fault: deadly request"] += 1
        for _ in range(2):
            try:
                answer = await self.traffic.ask_for(DEADLY, "/letter/1", rng.randrange(NODES))
            except httpx.HTTPError:
                self.findings.counts["deadly cut"] += 1
                continue
            self.findings.counts[f"deadly {answer.status_code}"] += 1
            if answer.status_code != httpx.codes.SERVICE_UNAVAILABLE:
                break

    async def _start_again(self, rng: random.Random) -> None:
        """Let a server end by itself and start again under its name."""
        await anyio.sleep(rng.uniform(4.0, 9.0))
        fleet = self.traffic.fleet
        server = self._pick_server(rng)
        self.findings.counts["fault: server starts again"] += 1
        await self._crash(server)
        await anyio.sleep(rng.uniform(0.2, 2.0))
        await fleet.restart(server)

    def _check_cuts(self) -> None:
        lost_at = self.findings.by_whom.lost_at
        for at, address in self.traffic.fleet.crashes:
            lost_at[address] = min(at, lost_at.get(address, at))
        super()._check_cuts()

    def _check_runs(self) -> None:
        super()._check_runs()
        fleet = self.traffic.fleet
        self.findings.counts["servers ended by it"] = len(fleet.crashes)
        if len(fleet.crashes) <= MOST_SENDS:
            return
        since = sorted(at for at, _ in fleet.crashes)[2] + CONTACT_TIME + SLACK
        late = [run for run in fleet.runs if run.body == DEADLY and run.started > since]
        calm = [run for run in late if not self._was_troubled(run.started)]
        if len(calm) > MOST_SENDS:
            self.findings.faults.append(f"{len(calm)} sends of a deadly request late after its third end")


if __name__ == "__main__":
    sys.exit(main(DeadlySoak))
