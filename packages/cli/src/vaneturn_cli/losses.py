"""Finds in the log lines of nodes which requests were late or not served, when and why."""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from statistics import median
from typing import Final, NamedTuple

import msgspec
from tabulate import tabulate

from vaneturn_core.traffic.state import TrafficRequest

REQUEST_ENDED_MESSAGE: Final = "request ended"
SERVED_ENDING: Final = re.compile(r"^(whole|status 2\d\d)$")
OWN_REFUSAL_ENDING: Final = re.compile(r"^own (503|429|408|421) ")
CLIENT_LEFT_ENDING: Final = "client left"
BROKEN_OFF_ENDING: Final = "broken off"
NO_STEP: Final = "no step"
_STEP_TIME_PREFIX: Final = re.compile(r"^\d+ms ")
_SERVER_PATTERN: Final = re.compile(r"\b(i-[0-9a-zA-Z]+)\b(\[\d+,\d+\))?")
_CHAIN_STEP_MARK: Final = "over "  # in steps that name a chain of servers; a step that begins with it is not a cause


class Loss(Enum):
    """Kinds of losses: how a request was late or not served."""

    FIRST_EVENT = "late first event"
    PAUSE = "long pause"
    BROKEN_OFF = "broken off"
    REFUSED = "refused"
    FAILED = "failed"
    CLIENT_LEFT = "client left"


@dataclass(frozen=True)
class Limits:
    """Times above which a stream counts as late."""

    first_event: float  # seconds from the arrival of the request
    pause: float  # seconds between two events


class _LogLine(msgspec.Struct):
    """A log line about the end of a request; the fields of the request are on the same level."""

    message: str
    time: str = ""


class PauseParts(NamedTuple):
    """The consecutive parts of a pause after the loss of a server, in seconds."""

    silence: float  # until the servers were probed
    question: float  # until the lost or stalling server was found
    choice: float  # until another server was asked to resume
    going_on: float  # until the next event: the prompt is processed again and an event produced


@dataclass
class LossTable:
    """Counts of losses by kind and cause."""

    requests: int = 0
    invalid_lines: int = 0
    seconds: defaultdict[tuple[Loss, str], Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    routes: defaultdict[tuple[Loss, str], set[str]] = field(default_factory=lambda: defaultdict(set))
    servers: Counter[str] = field(default_factory=Counter)  # named in steps of losses, counted once per request
    pauses: list[PauseParts] = field(default_factory=list)  # long pauses after the loss of a server
    unexplained: int = 0  # long pauses of requests whose steps name only the chain

    def add(self, request: TrafficRequest, second: str, limits: Limits) -> None:
        """Count a request."""
        self.requests += 1
        loss = find_loss(request, limits)
        if loss is not None:
            key = (loss, find_cause(request))
            self.seconds[key][second] += 1
            self.routes[key].add(request.route)
            self.servers.update(find_suspect_servers(request))
        if loss is Loss.PAUSE:
            self._add_pause(request)

    def _add_pause(self, request: TrafficRequest) -> None:
        if find_cause(request) == NO_STEP:
            self.unexplained += 1
        if request.found and request.went_on:
            self.pauses.append(
                PauseParts(
                    request.looked,
                    request.found - request.looked,
                    request.went_on - request.found,
                    request.longest_pause - request.went_on,
                )
            )

    def count_by_second(self) -> dict[str, Counter[Loss]]:
        """Count the losses of each second by kind."""
        counts: defaultdict[str, Counter[Loss]] = defaultdict(Counter)
        for (kind, _), seconds in self.seconds.items():
            for second, count in seconds.items():
                counts[second][kind] += count
        return dict(counts)

    def list_rows(self) -> list[tuple[str, str, int, int, str, int]]:
        """List kind, cause, requests, routes, worst second and the requests of that second, most requests first."""
        rows = []
        for key, seconds in self.seconds.items():
            worst_second, worst_count = seconds.most_common(1)[0]
            rows.append((key[0].value, key[1], seconds.total(), len(self.routes[key]), worst_second, worst_count))
        return sorted(rows, key=lambda row: -row[2])


def find_loss(request: TrafficRequest, limits: Limits) -> Loss | None:
    """Find the kind of loss; None if the request was served in time or refused because of what the client sent."""
    if SERVED_ENDING.match(request.ending):
        if request.first_event > limits.first_event:
            return Loss.FIRST_EVENT
        return Loss.PAUSE if request.longest_pause > limits.pause else None
    if request.ending == CLIENT_LEFT_ENDING:
        return Loss.CLIENT_LEFT
    if request.ending == BROKEN_OFF_ENDING:
        return Loss.BROKEN_OFF
    if OWN_REFUSAL_ENDING.match(request.ending):
        return Loss.REFUSED
    return Loss.FAILED if re.search(r"\b5\d\d\b", request.ending) else None


def find_cause(request: TrafficRequest) -> str:
    """Find the steps that delayed a request, without times and server names; high load alone leaves no step."""
    steps = [_SERVER_PATTERN.sub("S", _STEP_TIME_PREFIX.sub("", step)) for step in request.steps]
    causes = dict.fromkeys(step for step in steps if not step.startswith(_CHAIN_STEP_MARK))
    return "; ".join(causes) or request.reason or NO_STEP


def find_suspect_servers(request: TrafficRequest) -> set[str]:
    """Find the suspect servers: those that steps name as lost or refusing, or else the first of the last chain."""
    named = {
        server.group(1)
        for step in request.steps
        if _CHAIN_STEP_MARK not in step
        for server in _SERVER_PATTERN.finditer(step)
    }
    chains = [step for step in request.steps if _CHAIN_STEP_MARK in step]
    first = _SERVER_PATTERN.search(chains[-1]) if chains else None
    return named or ({first.group(1)} if first is not None else set())


def read_lines(lines: Iterable[str], limits: Limits) -> LossTable:
    """Read log lines; text before the JSON of a line is skipped, and other messages are ignored."""
    table = LossTable()
    for line in lines:
        if REQUEST_ENDED_MESSAGE not in line:
            continue
        text = line[line.find("{") :]
        try:
            log_line = msgspec.json.decode(text, type=_LogLine)
            if log_line.message == REQUEST_ENDED_MESSAGE:
                table.add(msgspec.json.decode(text, type=TrafficRequest), log_line.time[:19], limits)
        except msgspec.DecodeError:
            table.invalid_lines += 1
    return table


def format_losses(table: LossTable, max_rows: int) -> str:
    """Format the table, the rows with the most requests first."""
    rows = table.list_rows()
    loss_count = sum(row[2] for row in rows)
    text = tabulate(
        rows[:max_rows],
        headers=("loss", "cause", "requests", "routes", "worst second", "then"),
        maxcolwidths=[None, 70],
    )
    left_out = f", {len(rows) - max_rows} rows left out" if len(rows) > max_rows else ""
    return f"{table.requests} requests, {loss_count} late or not served{left_out}\n\n{text}\n\n{format_pauses(table)}"


def format_pauses(table: LossTable) -> str:
    """Format the median parts of the long pauses after a loss, and the number of all that no step explains."""
    text = f"{len(table.pauses)} long pauses after a loss"
    if table.pauses:
        medians = [median(part) for part in zip(*table.pauses, strict=True)]
        named_medians = [
            f"{name.replace('_', ' ')} {value:.3f}" for name, value in zip(PauseParts._fields, medians, strict=True)
        ]
        text += f", medians in seconds: {', '.join(named_medians)}"
    return f"{text}; {table.unexplained} without a step"


__all__ = [
    "Limits",
    "Loss",
    "LossTable",
    "find_cause",
    "find_loss",
    "find_suspect_servers",
    "format_losses",
    "format_pauses",
    "read_lines",
]
