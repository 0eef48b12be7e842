"""Checks the journals of the engines after a run."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

Journals = Mapping[str, Iterable[Mapping[str, Any]]]


def find_faults(journals: Journals, layers: int) -> list[str]:
    """List violations of the rule that each layer runs once, in order, for each position of each session.

    A stage that crashes after it ran a position but before its reply was used is replaced, and the position runs again
    on another server. The first run has no effect on any answer, so a second run is a fault on the same server only.
    """
    faults: list[str] = []
    runs_by_layer: defaultdict[tuple[str, int], Counter[int]] = defaultdict(Counter)
    latest_starts: dict[str, int] = {}  # position at which the latest step starts, which may be incomplete; by session
    for server, entries in journals.items():
        next_position: dict[str, int] = {}
        for entry in entries:
            match entry["event"]:
                case "start":
                    next_position.clear()
                case "diverged":
                    faults.append(f"{server}: cache of {entry['session']} diverged at {entry['position']}")
                case "close" | "evicted":
                    next_position.pop(entry["session"], None)
                case "import":
                    next_position[entry["session"]] = entry["held"]
                case "run":
                    faults.extend(_check_order(server, entry, next_position))
                    _record_layers(entry, runs_by_layer)
                    latest_starts[entry["session"]] = max(latest_starts.get(entry["session"], 0), entry["position"])
    faults.extend(_check_coverage(runs_by_layer, latest_starts, layers))
    return faults


def _check_order(server: str, entry: Mapping[str, Any], next_position: dict[str, int]) -> Iterable[str]:
    session, position, end = entry["session"], entry["position"], entry["position"] + entry["count"]
    expected = next_position.get(session, 0)
    if entry["rebuild"]:
        next_position[session] = max(expected, end)
        return
    if position != expected:
        yield f"{server}: {session} ran position {position} where {expected} was next"
    next_position[session] = end


def _record_layers(entry: Mapping[str, Any], runs_by_layer: defaultdict[tuple[str, int], Counter[int]]) -> None:
    for position in range(entry["position"], entry["position"] + entry["count"]):
        runs_by_layer[entry["session"], position].update(range(entry["first"], entry["end"]))


def _check_coverage(
    runs_by_layer: Mapping[tuple[str, int], Counter[int]], latest_starts: Mapping[str, int], layers: int
) -> Iterable[str]:
    """Check that positions before the latest step of a session ran through every layer."""
    for (session, position), layer_runs in runs_by_layer.items():
        if position < latest_starts[session] and set(layer_runs) != set(range(layers)):
            yield f"{session}: position {position} ran on layers {sorted(layer_runs)} only"


__all__ = ["find_faults"]
