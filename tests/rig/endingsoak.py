"""The randomised run in which answers end in every way: in each framing, whole or broken off, at any byte."""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Awaitable, Callable

import anyio
import httpx

from rig.ports import find_port
from rig.rawclient import read_to_end
from rig.soakclients import NODES, TOKENS
from rig.traffic import list_ids
from rig.trafficjudge import Cut, Span
from rig.trafficsoak import TrafficSoak, main
from standins.platform.endings import AnswerPlan, draw_plan
from standins.platform.servers import Run, Server

BROKEN_SHARE = 0.12  # of the answers; the retry budget suffices for it
CRASH_SHARE = 0.15  # of the broken answers
REFUSED_PAUSE_S = 0.05  # seconds, after an answer that is no success
CRASH_INTERVAL_S = 1.0  # between servers that end with their answers; each is replaced
LETTER_ATTEMPTS = 2  # max_attempts of the route
MIN_TRY_TIME_S = 0.3  # seconds; no try of a safe request ends sooner while its server works
MAX_CONFIRMATION_S = 1.5  # seconds after a whole answer; if its server ends meanwhile, the answer may run again


class EndingSoak(TrafficSoak):
    """Leaves out the faults of nodes and the store; streams are also read by HTTP/1.0 clients."""

    _next_crash_at = 0.0

    def list_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        rng = random.Random(f"{self._seed} endings")
        fleet = self.traffic.fleet

        def plan(run: Run, pieces: list[bytes]) -> AnswerPlan | None:
            if time.monotonic() >= self._until:
                return None  # the check of recovery begins after the last fault
            crash_share = CRASH_SHARE if time.monotonic() >= self._next_crash_at else 0.0
            drawn = draw_plan(rng, pieces, BROKEN_SHARE, crash_share, is_stream=run.is_stream)
            if drawn.crashes_server:
                self._next_crash_at = time.monotonic() + CRASH_INTERVAL_S
            ending = "" if drawn.is_whole else f", {drawn.close.value}{' with its server' * drawn.crashes_server}"
            self.findings.counts[f"answers framed by {drawn.framing.value}{ending}"] += 1
            return drawn

        fleet.plan_answer = plan
        fleet.crash_server = self._crash_and_replace
        return [self._fail_server, self._change, self._fill_links, *[self._ask_as_http_1_0] * 2]

    def list_path_faults(self) -> list[Callable[[random.Random], Awaitable[None]]]:
        return []

    async def _crash_and_replace(self, server: Server) -> None:
        if server not in self._list_ready_servers():
            return
        fleet = self.traffic.fleet
        await self._crash(server)

        async def replace() -> None:
            await fleet.add(f"127.0.0.1:{find_port()}", server.service, server.hall, server.kind)
            await anyio.sleep(3.6)
            fleet.store.remove(f"servers/{server.id}")

        fleet.tasks.start_soon(replace)

    async def _ask_as_http_1_0(self, rng: random.Random) -> None:
        request = f"soak-{random.getrandbits(60):x}"
        path = rng.choice(["/letter/1", "/notice/1"])
        node, sent_at = rng.randrange(NODES), time.monotonic()
        if path.startswith("/notice/"):
            self.findings.run_once.add(request)
        try:
            answer = await read_to_end(self.traffic.build(path, node=node, X_Request_Id=request))
        except ConnectionError as error:
            self.findings.counts["HTTP/1.0 reset"] += 1
            self.findings.cut_streams.append(Cut(request, path, node, repr(error), sent_at, time.monotonic()))
            return
        head, _, body = answer.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        self.findings.counts[f"HTTP/1.0 {status}"] += 1
        if status != httpx.codes.OK:
            await anyio.sleep(REFUSED_PAUSE_S)
            return
        if list_ids(body.decode()) != list(range(1, TOKENS + 1)):
            self.findings.faults.append(f"{request}: {len(body)} bytes ended as complete to an HTTP/1.0 client")

    def _check_cuts(self) -> None:
        """Leave out streams that their servers broke off, if they may not run again."""
        fleet, findings = self.traffic.fleet, self.findings
        broken = {run.request for run in fleet.runs if run.plan is not None and not run.plan.is_whole}
        allowed = [cut for cut in findings.cut_streams if self._may_be_broken(cut.request, cut.path)]
        findings.counts["begun and cut: broken off by servers"] += len(allowed)
        findings.counts["requests whose servers broke an answer off"] += len(broken)
        findings.cut_streams = [cut for cut in findings.cut_streams if cut not in allowed]
        super()._check_cuts()
        self._check_whole_answers()

    def _may_be_broken(self, request: str, path: str) -> bool:
        """Tell whether the newest server broke a stream off when all of its attempts were used."""
        runs = sorted(self.traffic.fleet.find_runs(request), key=lambda run: run.started)
        is_broken = bool(runs) and runs[-1].plan is not None and not runs[-1].plan.is_whole
        return is_broken and len(runs) >= (1 if path.startswith("/notice/") else LETTER_ATTEMPTS)

    def _check_whole_answers(self) -> None:
        """Check that no request ran again after a whole answer whose server ran on."""
        lost_at = self.findings.troubles_by_source.lost_at
        silences = self.findings.troubles_by_source.silences
        for run in self.traffic.fleet.runs:
            if run.plan is None or not run.plan.is_whole or run.ended is None or run.was_cut:
                continue
            address = next(s.address for s in self.traffic.fleet.servers.values() if s.id == run.server)
            after = Span(run.ended, run.ended + MAX_CONFIRMATION_S)
            if run.ended - MAX_CONFIRMATION_S <= lost_at.get(address, 0.0) <= after.end:
                continue
            if any(silence.overlaps(after) for silence in silences[address]):
                continue
            if self._took_too_long(run):
                continue
            again = [each for each in self.traffic.fleet.find_runs(run.request) if each.started > run.ended]
            self.findings.faults += [
                f"{run.request} ran again {each.started - run.ended:.3f} s after its whole answer" for each in again
            ]

    def _took_too_long(self, run: Run) -> bool:
        """Tell whether a plain answer came when its try was over, so that a second server had been asked."""
        if run.is_stream or run.ended is None or run.ended - run.started < MIN_TRY_TIME_S:
            return False
        lines = (line for node in self.traffic.nodes for line in node.read_log() if line.get("request") == run.request)
        return any("no answer in time" in step for line in lines for step in line.get("steps", ()))


if __name__ == "__main__":
    sys.exit(main(EndingSoak))
