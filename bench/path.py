"""Throughput against the bound, processor time and added latency for each token, at 1, 4 and 8 stages."""

from __future__ import annotations

import argparse
import itertools
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from rig.installation import LAYERS, Installation, Stream
from rig.measuring import read_cpu, read_metric, take_quantile

ITERATION = 0.004  # seconds of a batch at an engine
TOKENS = 100


@dataclass
class Figures:
    """What one number of stages gave."""

    stages: int
    throughput: float  # tokens a second
    bound: float
    cpu: float  # microseconds of the node for each token
    added: float  # milliseconds of a token beyond the time at the engines, one answer alone


def split_layers(stages: int) -> list[tuple[int, int]]:
    edges = [round(index * LAYERS / stages) for index in range(stages + 1)]
    return list(itertools.pairwise(edges))


def start(installation: Installation, stages: int, rate: float, token_time: float) -> None:
    installation.start_platform()
    for first, end in split_layers(stages):
        options = ["--iteration-seconds", str(ITERATION), "--token-seconds", str(1 / rate - ITERATION / 64)]
        installation.start_engine(f"runner-{first}", first, end, *options, rate=rate)
    installation.start_node("entry-1")
    installation.declared["customers"][0]["max_in_progress"] = 10_000
    installation.declared["classes"][0]["max_wait"] = 60
    installation.declared["pipelines"][0]["token_time"] = token_time
    installation.apply_everywhere()


def measure_alone(installation: Installation, stages: int, rate: float) -> float:
    """Give the milliseconds that a token of one answer takes beyond its engines."""
    times: list[float] = []
    with installation.stream("alone", max_tokens=TOKENS) as stream:
        while not stream.is_whole:
            before = time.perf_counter()
            stream.read(1)
            times.append(time.perf_counter() - before)
    return (take_quantile(times[2:], 0.5) - stages * (ITERATION + 1 / rate)) * 1e3


def keep_busy(installation: Installation, number: int, until: float) -> None:
    while time.monotonic() < until:
        with installation.stream(f"busy {number}", max_tokens=TOKENS) as stream:
            read_whole(stream)


def read_whole(stream: Stream) -> None:
    stream.read()
    if not stream.is_whole:
        raise AssertionError(f"answer not whole: {stream.response.status_code} {stream.error}")


def measure(stages: int, options: argparse.Namespace) -> Figures:
    rate, callers, seconds = options.rate, options.callers, options.seconds
    with tempfile.TemporaryDirectory() as folder, Installation(Path(folder)) as installation:
        start(installation, stages, rate, options.token_time)
        added = measure_alone(installation, stages, rate)
        until = time.monotonic() + seconds + 2
        threads = [threading.Thread(target=keep_busy, args=(installation, number, until)) for number in range(callers)]
        for thread in threads:
            thread.start()
        time.sleep(1)
        url, pid = installation.url("entry-1"), installation.processes["entry-1"].popen.pid
        tokens, cpu, started = read_metric(url, "vaneturn_tokens_total"), read_cpu(pid), time.monotonic()
        time.sleep(seconds)
        tokens = read_metric(url, "vaneturn_tokens_total") - tokens
        cpu, taken = read_cpu(pid) - cpu, time.monotonic() - started
        bound = read_metric(url, "vaneturn_throughput_bound_tokens")
        for thread in threads:
            thread.join()
    return Figures(stages, tokens / taken, bound, cpu / tokens * 1e6, added)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=500, help="tokens a second of each engine")
    parser.add_argument("--callers", type=int, default=32)
    parser.add_argument("--token-time", type=float, default=0.058, help="wanted between tokens, bounds the answers")
    parser.add_argument("--seconds", type=float, default=6)
    options = parser.parse_args()
    print("stages  tokens/s  bound  share  node us/token  us/token and stage  added ms/token")
    for stages in (1, 4, 8):
        got = measure(stages, options)
        print(
            f"{got.stages:6} {got.throughput:9.0f} {got.bound:6.0f} {got.throughput / got.bound:6.2f}"
            f" {got.cpu:14.0f} {got.cpu / got.stages:19.0f} {got.added:15.2f}"
        )


if __name__ == "__main__":
    main()
