"""Time from a lost stage to the next token: killed, frozen and leaving stages, and the ways to move a cache."""

from __future__ import annotations

import argparse
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from rig.installation import LAYERS, Installation, expect_text
from rig.measuring import take_quantile

TOKENS = 60
PROMPT = "line " * 400
RANGES = ((0, 4), (4, 8), (8, LAYERS))


def start(installation: Installation, bandwidth: float | None, preference: str) -> None:
    installation.start_platform()
    for first, end in RANGES:
        for letter in "ab":
            installation.start_engine(f"runner-{first}{letter}", first, end, "--iteration-seconds", "0.005")
    installation.start_node("entry-1")
    installation.declared["pipelines"][0]["preference"] = preference
    if bandwidth is not None:
        link = {"halls": ["osborne", "osborne"], "latency": 0.0, "bandwidth": bandwidth}
        installation.declared["links"] = [link]
    installation.apply_everywhere()


def kill(installation: Installation, server: str) -> None:
    installation.processes[server].kill()


def freeze(installation: Installation, server: str) -> None:
    installation.processes[server].send(signal.SIGSTOP)


def leave(installation: Installation, server: str) -> None:
    installation.client.post(installation.url(server) + "/control/leave").raise_for_status()


def measure(fail: Callable[[Installation, str], None], bandwidth: float | None, preference: str) -> float:
    """Give the longest gap between tokens after the failure."""
    with tempfile.TemporaryDirectory() as folder, Installation(Path(folder)) as installation:
        start(installation, bandwidth, preference)
        with installation.stream(PROMPT, max_tokens=TOKENS) as stream:
            stream.read(10)
            fail(installation, stream.route[1])
            gaps = []
            while not stream.is_whole:
                before = time.monotonic()
                stream.read(1)
                gaps.append(time.monotonic() - before)
        if stream.text != expect_text(PROMPT, max_tokens=TOKENS):
            raise AssertionError("wrong answer")
    return max(gaps)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    cases: list[tuple[str, Callable[[Installation, str], None], float | None, str]] = [
        ("killed, throughput preferred", kill, None, "throughput"),
        ("frozen, throughput preferred", freeze, None, "throughput"),
        ("frozen, recovery preferred", freeze, None, "recovery"),
        ("leaving, cache imported", leave, None, "throughput"),
        ("leaving, cache rebuilt (slow link)", leave, 1000.0, "throughput"),
    ]
    print(f"longest gap between tokens in seconds over {options.rounds} rounds")
    for name, fail, bandwidth, preference in cases:
        gaps = [measure(fail, bandwidth, preference) for _ in range(options.rounds)]
        print(f"{name:36} p50 {take_quantile(gaps, 0.5):6.3f}  p99 {take_quantile(gaps, 0.99):6.3f}", flush=True)


if __name__ == "__main__":
    main()
