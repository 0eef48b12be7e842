"""The randomised run with requests that crash servers, and with servers that restart under the same name."""

from __future__ import annotations

import random
import sys
from collections.abc import Awaitable, Callable

import anyio
import httpx

from rig.soakclients import NODES, SLACK_S
from rig.trafficsoak import SETTLING_TIME_S, TrafficSoak, main

DEADLY_BODY = b"a letter that ends servers"
MAX_LATE_SENDS = 3  # allowed more than SETTLING_TIME_S after a request has crashed three servers


class DeadlySoak(TrafficSoak):
    """Adds a client that sends a deadly request, and restarts of servers, to the clients and faults of TrafficSoak."""

    def list_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        self.traffic.fleet.crash_body = DEADLY_BODY
        self.traffic.fleet.reports_births = True
        return [*super().list_faults(), self._send_deadly, self._restart_server]

    async def _send_deadly(self, rng: random.Random) -> None:
        """Send the deadly request, and retry it if it was cut or refused, as clients do."""
        await anyio.sleep(rng.uniform(1.0, 4.0))
        self.findings.counts["fault: deadly request"] += 1
        for _ in range(2):
            try:
                answer = await self.traffic.ask_for(DEADLY_BODY, "/letter/1", rng.randrange(NODES))
            except httpx.HTTPError:
                self.findings.counts["deadly cut"] += 1
                continue
            self.findings.counts[f"deadly {answer.status_code}"] += 1
            if answer.status_code != httpx.codes.SERVICE_UNAVAILABLE:
                break

    async def _restart_server(self, rng: random.Random) -> None:
        """Crash a server and restart it under the same name."""
        await anyio.sleep(rng.uniform(4.0, 9.0))
        fleet = self.traffic.fleet
        server = self._pick_server(rng)
        self.findings.counts["fault: server starts again"] += 1
        await self._crash(server)
        await anyio.sleep(rng.uniform(0.2, 2.0))
        await fleet.restart(server)

    def _check_cuts(self) -> None:
        lost_at = self.findings.troubles_by_source.lost_at
        for at, address in self.traffic.fleet.crashes:
            lost_at[address] = min(at, lost_at.get(address, at))
        super()._check_cuts()

    def _check_runs(self) -> None:
        super()._check_runs()
        fleet = self.traffic.fleet
        self.findings.counts["servers ended by it"] = len(fleet.crashes)
        if len(fleet.crashes) <= MAX_LATE_SENDS:
            return
        late_from = sorted(at for at, _ in fleet.crashes)[2] + SETTLING_TIME_S + SLACK_S
        late = [run for run in fleet.runs if run.body == DEADLY_BODY and run.started > late_from]
        undisturbed = [run for run in late if not self._was_disturbed(run.started)]
        if len(undisturbed) > MAX_LATE_SENDS:
            self.findings.faults.append(f"{len(undisturbed)} sends of a deadly request late after its third crash")


if __name__ == "__main__":
    sys.exit(main(DeadlySoak))
