"""Slopes of the control traffic over real processes, and the table of the planned size worked out from them."""

from __future__ import annotations

import argparse
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from rig.installation import Installation
from rig.measuring import fit_line, read_cpu, read_memory, read_metric
from rig.processes import wait_until

PLANNED_NODES = 390
PLANNED_SERVERS = 810
PLANNED_CUSTOMERS = 1000
ENGINES = ("runner-a", "runner-b", "runner-c", "runner-d")  # behind all declared servers
LINK_SETTLING = 15.0  # seconds for the links to connect, or to have backed off
SETTLING = 10.0  # seconds between two looks at the rate
QUIET = 300.0  # bytes a second; probes alone are half of it
BUDGET_CPU = 1.9  # per cent of a core
BUDGET_MEMORY = 128.0  # MB
BUDGET_BYTES = 3000.0  # a second


@dataclass
class Point:
    """What one size gave, for each node."""

    size: int
    cpu: float  # per cent of a core
    memory: float  # MB
    sent: float  # bytes a second between nodes
    calls: float  # on the key-value service, a second, of all nodes
    spread: float  # seconds until a change was in force on every node


def measure_nodes(count: int, seconds: float) -> Point:
    """Measure idle nodes that know each other, and one change of configuration."""
    with tempfile.TemporaryDirectory() as folder, Installation(Path(folder)) as installation:
        installation.start_platform()
        for index in range(count):
            installation.start_node(f"entry-{index}")
            if index % 8 == 7:
                installation.wait_started()
        installation.apply_everywhere()
        nodes = installation.nodes
        first = installation.url(nodes[0])
        wait_until(lambda: read_metric(first, "vaneturn_members") >= count, timeout=180, interval=0.5)
        wait_until_told(first)
        pids = [installation.processes[node].popen.pid for node in nodes]
        cpu, started = sum(map(read_cpu, pids)), time.monotonic()
        sent = read_metric(first, "vaneturn_peer_bytes_total")
        calls = sum(read_calls(installation).values())
        time.sleep(seconds)
        taken = time.monotonic() - started
        cpu = sum(map(read_cpu, pids)) - cpu
        sent = read_metric(first, "vaneturn_peer_bytes_total") - sent
        calls = sum(read_calls(installation).values()) - calls
        memory = sum(map(read_memory, pids)) / count
        spread = measure_spread(installation)
    return Point(count, cpu / count / taken * 100, memory, sent / taken, calls / taken, spread)


def read_calls(installation: Installation) -> dict[str, int]:
    calls: dict[str, int] = installation.client.get(installation.url("kv") + "/control/calls").json()
    return calls


def wait_until_told(url: str) -> None:
    """Wait until the news of the start has been told, each change some twenty times by each node."""
    rate = float("inf")
    while rate > QUIET:
        before = read_metric(url, "vaneturn_peer_bytes_total")
        time.sleep(SETTLING)
        rate = (read_metric(url, "vaneturn_peer_bytes_total") - before) / SETTLING


def measure_spread(installation: Installation) -> float:
    """Give the seconds from the first to the last node on which a change is in force, by their logs."""
    installation.declared["classes"].append({"name": "later", "priority": 1})
    revision = installation.apply().json()["change"]["revision"]
    wait_until(lambda: len(list_in_force(installation, revision)) == len(installation.nodes), interval=1.0)
    times = list_in_force(installation, revision)
    return (max(times) - min(times)).total_seconds()


def list_in_force(installation: Installation, revision: int) -> list[datetime]:
    """List when a revision came in force on the nodes that have it."""
    times = []
    for node in installation.nodes:
        for line in (installation.folder / f"{node}.log").read_bytes().splitlines():
            record = msgspec.json.decode(line)
            if record["message"] == "configuration in force" and record["revision"] == revision:
                times.append(datetime.strptime(record["time"], "%Y-%m-%d %H:%M:%S,%f").replace(tzinfo=UTC))
    return times


def measure_declared(servers: int, customers: int, seconds: float, *, are_up: bool) -> tuple[float, float, float]:
    """Give a node's memory (MB), idle processor time (%) and the seconds to put a document of that size in force."""
    with tempfile.TemporaryDirectory() as folder, Installation(Path(folder)) as installation:
        installation.start_platform()
        for name in ENGINES:
            installation.start_engine(name, 0, 12)
        installation.start_node("entry-0", log_level="ERROR")
        installation.wait_started()
        declare_many(installation, servers, customers, ENGINES if are_up else ())
        started = time.monotonic()
        response = installation.apply()
        response.raise_for_status()
        applied = time.monotonic() - started
        time.sleep(LINK_SETTLING)
        pid = installation.processes["entry-0"].popen.pid
        cpu = read_cpu(pid)
        time.sleep(seconds)
        return read_memory(pid), (read_cpu(pid) - cpu) / seconds * 100, applied


def declare_many(installation: Installation, servers: int, customers: int, engines: Sequence[str]) -> None:
    """Declare servers in three pipelines of four parts; a few engines stand for all of them, or none answers."""
    addresses = [f"127.0.0.1:{installation.ports[name]}" for name in engines] or ["127.0.0.1:1"]
    declared = installation.declared
    declared["customers"] = [
        installation.describe_customer(f"customer-{index}", f"key-{index}", "portal") for index in range(customers)
    ]
    declared["servers"] = [
        {"vm": f"runner-{index}", "address": addresses[index % len(addresses)], "data_hall": "osborne"}
        for index in range(servers)
    ]
    parts = [(0, 8), (8, 16), (16, 24), (24, 32)]
    declared["pipelines"] = [
        {
            "name": f"model-{model}",
            "model": "m",
            "version": "1",
            "layers": 32,
            "stages": [
                {
                    "vm": f"runner-{index}",
                    "first": parts[index // 3 % 4][0],
                    "end": parts[index // 3 % 4][1],
                    "rate": 900,
                }
                for index in range(model, servers, 3)
            ],
        }
        for model in range(3)
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[8, 32, 100])
    parser.add_argument("--seconds", type=float, default=15)
    options = parser.parse_args()
    points = [measure_nodes(size, options.seconds) for size in options.sizes]
    print("nodes  cpu %  memory MB  peer bytes/s  store calls/s of all  change in force everywhere s")
    for point in points:
        print(
            f"{point.size:5} {point.cpu:6.2f} {point.memory:10.1f} {point.sent:13.0f}"
            f" {point.calls:21.2f} {point.spread:29.2f}",
            flush=True,
        )
    print(f"\nfit over nodes, and at {PLANNED_NODES}")
    for name, budget in (("cpu", BUDGET_CPU), ("memory", BUDGET_MEMORY), ("sent", BUDGET_BYTES), ("calls", 0.0)):
        start, slope, error = fit_line([(point.size, getattr(point, name)) for point in points])
        planned = start + slope * PLANNED_NODES
        print(f"{name:7} {start:9.2f} + {slope:8.4f} n  error {error:5.1%}  planned {planned:9.2f}  budget {budget}")
    print("\nservers customers  answer  memory MB  idle cpu %  apply s")
    for servers, customers in ((30, 10), (270, 300), (PLANNED_SERVERS, PLANNED_CUSTOMERS)):
        for are_up in (True, False):
            memory, cpu, applied = measure_declared(servers, customers, options.seconds, are_up=are_up)
            word = "yes" if are_up else "no"
            print(f"{servers:7} {customers:9} {word:>7} {memory:10.1f} {cpu:11.2f} {applied:8.2f}", flush=True)


if __name__ == "__main__":
    main()
