"""Judges from the requests that servers received whether the nodes followed the directives of the servers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence

from standins.platform.directives import Arrival, Directive, DirectiveRecord

LIMIT_NOTICE_TIME_S = 3.0  # seconds from the first announcement of a limit until all nodes must keep it
DIRECTIVE_DELAY_S = 0.5  # seconds from a directive to a node until this node must follow it
WINDOW_S = 4.0  # seconds; requests are counted against a limit over this time
EXCESS_FACTOR, EXTRA_REQUESTS = 1.5, 5  # factor on what a limit allows in the window, and requests allowed in addition
REST_EXTRA_REQUESTS = 2  # requests that may come during a rest
DRAIN_TIME_S = 2.0  # seconds from the announcement that a server leaves to its last new request

IsExcused = Callable[[str, float, float], bool]  # node, start, end


def excuse_nothing(_node: str, _start: float, _end: float) -> bool:
    return False


def find_breaches(record: DirectiveRecord, is_excused: IsExcused = excuse_nothing) -> list[str]:
    """List violations of rate limits, rests and announcements of leaving servers."""
    return [
        *_find_rate_breaches(record, is_excused),
        *_find_rest_breaches(record, is_excused),
        *_find_drain_breaches(record, is_excused),
    ]


def _find_rate_breaches(record: DirectiveRecord, is_excused: IsExcused) -> list[str]:
    by_limit: defaultdict[tuple[str, float], list[Directive]] = defaultdict(list)
    for directive in record.directives:
        if directive.rate_limit is not None:
            by_limit[directive.server, directive.rate_limit].append(directive)
    breaches = []
    for (server, limit), directives in by_limit.items():
        told_at: dict[str, float] = {}
        for directive in directives:
            told_at.setdefault(directive.node, directive.at)
        counted = [
            arrival.at
            for arrival in record.arrivals
            if arrival.server == server
            and arrival.at >= told_at.get(arrival.node, float("inf")) + DIRECTIVE_DELAY_S
            and not is_excused(arrival.node, arrival.at - WINDOW_S, arrival.at)
        ]
        start, end = directives[0].at + LIMIT_NOTICE_TIME_S, directives[-1].at
        allowed = EXCESS_FACTOR * limit * WINDOW_S + EXTRA_REQUESTS
        peak = max((_count_between(counted, at - WINDOW_S, at) for at in counted if start <= at <= end), default=0)
        if peak > allowed:
            breaches.append(
                f"{server} asked for {limit}/s and got {peak} requests in {WINDOW_S:.0f} s, {allowed:.0f} allowed"
            )
    return breaches


def _find_rest_breaches(record: DirectiveRecord, is_excused: IsExcused) -> list[str]:
    breaches = []
    for directive in record.directives:
        if directive.rest is None:
            continue
        # a node follows a request for rest from when it has it; the rest itself counts from when it was written
        heard_at = directive.passed_at if directive.passed_at is not None else directive.at
        start, end = heard_at + DIRECTIVE_DELAY_S, directive.at + directive.rest
        count = _count_between(_list_arrival_times(record.arrivals, directive), start, end)
        if count > REST_EXTRA_REQUESTS and not is_excused(directive.node, directive.at, end):
            breaches.append(
                f"{directive.server} asked {directive.node} for {directive.rest} s of rest and got {count} requests: "
                f"it had passed after {heard_at - directive.at:.2f} s{_describe_arrivals(record.arrivals, directive)}"
            )
    return breaches


def _describe_arrivals(arrivals: Sequence[Arrival], directive: Directive) -> str:
    """Describe the requests around a request for rest, by the seconds since it was written."""
    assert directive.rest is not None
    start, end = directive.at - DIRECTIVE_DELAY_S, directive.at + directive.rest
    return "".join(
        f"; {arrival.request} at {arrival.at - directive.at:.2f} s"
        for arrival in arrivals
        if (arrival.server, arrival.node) == (directive.server, directive.node) and start < arrival.at <= end
    )


def _find_drain_breaches(record: DirectiveRecord, is_excused: IsExcused) -> list[str]:
    first_announcements: dict[tuple[str, str], Directive] = {}
    for directive in record.directives:
        if directive.is_leaving:
            first_announcements.setdefault((directive.server, directive.node), directive)
    return [
        f"{directive.server} told {directive.node} that it leaves and got a request {at - directive.at:.2f} s later"
        for directive in first_announcements.values()
        for at in _list_arrival_times(record.arrivals, directive)
        if at > directive.at + DRAIN_TIME_S and not is_excused(directive.node, directive.at, at)
    ]


def _list_arrival_times(arrivals: Sequence[Arrival], directive: Directive) -> list[float]:
    return [arrival.at for arrival in arrivals if (arrival.server, arrival.node) == (directive.server, directive.node)]


def _count_between(times: Sequence[float], start: float, end: float) -> int:
    return sum(start < at <= end for at in times)


__all__ = ["find_breaches"]
