"""A randomised run of real processes under failures, checked against the journals of the stand-ins."""

from __future__ import annotations

import argparse
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx
import msgspec

from rig.checks import find_faults
from rig.installation import CHAT_PATH, LAYERS, Installation, Stream, caller_headers, expect_text, make_chat
from rig.processes import wait_until

LAYER_RANGES = ((0, 4), (4, 8), (8, LAYERS))
CALLERS = 6
MAX_TOKENS = 120
MAX_CONNECTIONS_PER_ANSWER = 200
CUT_ERRORS = (httpx.TransportError, httpx.StreamError)


@dataclass
class Findings:
    """Counts and faults seen by callers and operators."""

    counts: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    not_run_keys: set[str] = field(default_factory=set)  # at least one try was answered with "not run"
    possibly_run_keys: set[str] = field(default_factory=set)  # at least one try had another outcome


class Soak:
    """Callers, failures and operators that work on one installation at the same time."""

    def __init__(self, installation: Installation, seconds: float, seed: int) -> None:
        self.installation = installation
        self.until = time.monotonic() + seconds
        self.seed = seed
        self.findings = Findings()
        self.revisions: defaultdict[str, int] = defaultdict(int)
        self._lock = threading.Lock()  # only one thread at a time stops and starts processes

    def start(self) -> None:
        installation = self.installation
        installation.start_platform(vm_list_lag=1.0)
        for first, end in LAYER_RANGES:
            for letter in "abc":
                installation.start_engine(f"runner-{first}{letter}", first, end, "--iteration-seconds", "0.004")
        for index in range(3):
            installation.start_plain(f"desk-{index}", "brokerdesk")
            installation.start_node(f"entry-{index}")
        installation.apply_everywhere()

    def run(self) -> None:
        steps: list[Callable[[random.Random], None]] = []
        steps += [self.chat] * CALLERS + [self.post] * 2
        steps += [self.fail_engine, self.fail_node, self.fail_store, self.change, self.watch]
        threads = [
            threading.Thread(target=self._repeat, args=(step, random.Random(f"{self.seed} {index}")))
            for index, step in enumerate(steps)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _repeat(self, step: Callable[[random.Random], None], rng: random.Random) -> None:
        while time.monotonic() < self.until:
            try:
                step(rng)
            except Exception as error:  # noqa: BLE001 # any unexpected exception is a fault
                self.findings.faults.append(f"{step.__name__}: {error!r}")
                return

    # callers

    def chat(self, rng: random.Random) -> None:
        text = f"case {rng.randrange(1000)} " + "line " * rng.randrange(60)
        max_tokens = rng.randint(1, MAX_TOKENS)
        stream = self._follow_answer(rng, make_chat(text, max_tokens=max_tokens, stream=True))
        if stream is not None:
            self._judge_answer(stream, expect_text(text, max_tokens=max_tokens))

    def _follow_answer(self, rng: random.Random, body: dict[str, Any]) -> Stream | None:
        """Read an answer, resuming it on other nodes when cut; None if it was refused or cut before its first token."""
        stream: Stream | None = None
        for _ in range(MAX_CONNECTIONS_PER_ANSWER):
            node = rng.choice(self.installation.nodes)
            url = self.installation.url(node) + CHAT_PATH
            extra = {"Last-Event-ID": stream.last_event_id} if stream else {}
            try:
                with httpx.stream("POST", url, json=body, headers=caller_headers(**extra), timeout=90) as response:
                    if response.is_success:
                        stream = Stream(response, stream)
                        stream.read()
                        return stream
                    error = msgspec.json.decode(response.read())["error"]
            except CUT_ERRORS:
                self.findings.counts["chat: node gone"] += 1
                if stream is None or not stream.last_event_id:
                    return None
                continue
            self.findings.counts[f"chat: {error['code']} {error['run']}"] += 1
            if stream is None:
                return None
            time.sleep(0.1)
        return stream

    def _judge_answer(self, stream: Stream, expected: str) -> None:
        if not expected.startswith(stream.text):
            self.findings.faults.append(f"wrong answer: {stream.text!r}, expected {expected!r}")
        if stream.is_whole and stream.text != expected:
            self.findings.faults.append("an incomplete answer was marked as complete")
        if not stream.is_whole:
            self.findings.faults.append(f"answer ended early: {stream.error}")
        self.findings.counts["chat: whole, resumed" if stream.resumes else "chat: whole"] += 1

    def post(self, rng: random.Random) -> None:
        key = f"key-{rng.randrange(10**9)}"
        for _ in range(rng.randint(1, 3)):
            node = rng.choice(self.installation.nodes)
            url = self.installation.url(node) + "/services/brokerdesk/reminders"
            headers = caller_headers(**{"Idempotency-Key": key, "Vaneturn-Timeout": "5"})
            try:
                response = httpx.post(url, content=b"reminder", headers=headers, timeout=30)
            except CUT_ERRORS:
                self.findings.possibly_run_keys.add(key)
                self.findings.counts["post: node gone"] += 1
                continue
            run = "run" if response.is_success else response.json()["error"]["run"]
            self.findings.counts[f"post: {run}"] += 1
            (self.findings.not_run_keys if run == "not_run" else self.findings.possibly_run_keys).add(key)

    # failures

    def fail_engine(self, rng: random.Random) -> None:
        first, end = rng.choice(LAYER_RANGES)
        name = f"runner-{first}{rng.choice('abc')}"
        kind = rng.choice(["kill", "freeze", "leave", "replies", "delay"])
        self.findings.counts[f"fault: engine {kind}"] += 1
        match kind:
            case "kill" | "leave":
                if kind == "leave":
                    self.installation.client.post(self.installation.url(name) + "/control/leave")
                    time.sleep(rng.uniform(1.0, 2.0))
                with self._lock:
                    self.installation.processes[name].kill()
                    time.sleep(rng.uniform(0.1, 0.5))
                    self.installation.start_engine(name, first, end, "--iteration-seconds", "0.004")
                    self.installation.wait_started()
            case "freeze":
                self._freeze(name, rng.uniform(0.2, 4.0))
            case "replies":
                kinds = ["lose_replies", "double_replies", "late_replies", "cross_replies", "wrong_ranges"]
                self.installation.set_faults(name, **{rng.choice(kinds): rng.randint(1, 3)})
            case "delay":
                self.installation.set_faults(name, delay=rng.uniform(0.05, 0.5))
                time.sleep(rng.uniform(0.5, 2.0))
                self.installation.set_faults(name)
        time.sleep(rng.uniform(0.2, 1.0))

    def fail_node(self, rng: random.Random) -> None:
        time.sleep(rng.uniform(1.0, 3.0))
        name = rng.choice(self.installation.nodes)
        kind = rng.choice(["kill", "stop", "freeze"])
        self.findings.counts[f"fault: node {kind}"] += 1
        if kind == "freeze":
            self._freeze(name, rng.uniform(0.5, 3.0))
            return
        with self._lock:
            process = self.installation.processes[name]
            process.send(signal.SIGTERM if kind == "stop" else signal.SIGKILL)
        status = process.popen.wait(timeout=120)
        if kind == "stop" and status != 0:
            self.findings.faults.append(f"{name} exited with status {status} at a planned stop")
        with self._lock:
            self.installation.start_node(name)
            self.installation.wait_started()

    def fail_store(self, rng: random.Random) -> None:
        time.sleep(rng.uniform(1.0, 4.0))
        kind = rng.choice(["down", "lost", "slow"])
        self.findings.counts[f"fault: store {kind}"] += 1
        match kind:
            case "down":
                self.installation.set_faults("kv", down=True)
                time.sleep(rng.uniform(0.5, 3.0))
            case "lost":
                self.installation.set_faults("kv", lose_write_answers=2)
                time.sleep(1.0)
            case "slow":
                self.installation.set_faults("kv", delay=0.4)
                time.sleep(1.5)
        self.installation.set_faults("kv")

    def _freeze(self, name: str, seconds: float) -> None:
        process = self.installation.processes[name]
        process.send(signal.SIGSTOP)
        time.sleep(seconds)
        process.send(signal.SIGCONT)

    # operators

    def change(self, rng: random.Random) -> None:
        time.sleep(rng.uniform(0.3, 1.5))
        node = rng.choice(self.installation.nodes)
        try:
            response = self.installation.apply(node, change=f"change-{rng.randrange(10**9)}")
        except CUT_ERRORS:
            self.findings.counts["change: node gone"] += 1
            return
        self.findings.counts[f"change: {response.json()['result']}"] += 1

    def watch(self, _rng: random.Random) -> None:
        """Check that no process goes back to an older revision."""
        time.sleep(0.1)
        for node in self.installation.nodes:
            try:
                state = self.installation.show_state(node)
            except CUT_ERRORS:
                continue
            if state["revision"] < self.revisions[state["node"]]:
                self.findings.faults.append(f"{node} went back to revision {state['revision']}")
            self.revisions[state["node"]] = state["revision"]

    # checks after the run

    def judge(self) -> list[str]:
        """Clear the faults of the store, and list all faults found during the run and in the journals."""
        installation = self.installation
        installation.set_faults("kv")
        engines = [name for name in installation.processes if name.startswith("runner")]
        faults = [*self.findings.faults, *self._judge_convergence()]
        journals: dict[str, list[dict[str, Any]]] = {name: installation.read_journal(name) for name in engines}
        faults += find_faults(journals, LAYERS)
        desks = [entry for index in range(3) for entry in installation.read_journal(f"desk-{index}")]
        calls = Counter(entry["key"] for entry in desks if entry["method"] == "POST")
        faults += [f"{key} ran {count} times" for key, count in calls.items() if count > 1]
        certainly_not_run = self.findings.not_run_keys - self.findings.possibly_run_keys
        faults += [f"{key} was refused as not run, but it ran" for key in certainly_not_run if key in calls]
        return faults

    def _judge_convergence(self) -> list[str]:
        def agree() -> bool:
            return len({self.installation.show_state(node)["digest"] for node in self.installation.nodes}) == 1

        try:
            wait_until(agree)
        except TimeoutError:
            return ["the nodes do not agree on the configuration"]
        return []


def run_soak(folder: Path, seconds: float, seed: int) -> Soak:
    with Installation(folder) as installation:
        soak = Soak(installation, seconds, seed)
        soak.start()
        soak.until = time.monotonic() + seconds
        soak.run()
        soak.findings.faults = soak.judge()
        return soak


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", type=Path, help="folder for logs and journals")
    options = parser.parse_args()
    print(f"seed {options.seed}")
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        findings = run_soak(folder, options.seconds, options.seed).findings
    for name, count in sorted(findings.counts.items()):
        print(f"{count:6} {name}")
    for fault in findings.faults:
        print(f"FAULT {fault}")
    print("broken promises:", len(findings.faults))
    return 1 if findings.faults else 0


if __name__ == "__main__":
    sys.exit(main())
