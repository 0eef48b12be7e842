"""Judges from the requests that servers received whether the nodes followed the directives of the servers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence

from standins.platform.directives import Arrival, Directive, DirectiveRecord

CONTACT_TIME = 3.0  # seconds from the first announcement of a limit until all nodes must keep it
TOLD_TIME = 0.5  # seconds from a directive to a node until this node must follow it
WINDOW = 4.0  # seconds; requests are counted against a limit over this time
EXCESS, SLACK = 1.5, 5  # factor on what a limit allows in the window, and requests allowed in addition
REST_SLACK = 2  # requests that may come during a rest
DRAIN_TIME = 2.0  # seconds from the announcement that a server leaves to its last new request

IsExcused = Callable[[str, float, float], bool]  # node, start, end


def never(_node: str, _start: float, _end: float) -> bool:
    return False


def find_breaches(record: DirectiveRecord, is_excused: IsExcused = never) -> list[str]:
    """List violations of rate limits, rests and announcements of leaving servers."""
    return [
        *_find_rate_breaches(record, is_excused),
        *_find_rest_breaches(record, is_excused),
        *_find_late_arrivals(record, is_excused),
    ]


def _find_rate_breaches(record: DirectiveRecord, is_excused: IsExcused) -> list[str]:
    named: defaultdict[tuple[str, float], list[Directive]] = defaultdict(list)
    for one in record.directives:
        if one.rate_limit is not None:
            named[one.server, one.rate_limit].append(one)
    breaches = []
    for (server, limit), directives in named.items():
        told: dict[str, float] = {}
        for one in directives:
            told.setdefault(one.node, one.at)
        counted = [
            arrival.at
            for arrival in record.arrivals
            if arrival.server == server
            and arrival.at >= told.get(arrival.node, float("inf")) + TOLD_TIME
            and not is_excused(arrival.node, arrival.at - WINDOW, arrival.at)
        ]
        start, end = directives[0].at + CONTACT_TIME, directives[-1].at
        allowed = EXCESS * limit * WINDOW + SLACK
        most = max((_count(counted, at - WINDOW, at) for at in counted if start <= at <= end), default=0)
        if most > allowed:
            breaches.append(
                f"{server} asked for {limit} a second and got {most} requests in {WINDOW:.0f} s, {allowed:.0f} allowed"
            )
    return breaches


def _find_rest_breaches(record: DirectiveRecord, is_excused: IsExcused) -> list[str]:
    breaches = []
    for one in record.directives:
        if one.rest is None:
            continue
        start, end = one.at + TOLD_TIME, one.at + one.rest
        count = _count(_list_from(record.arrivals, one), start, end)
        if count > REST_SLACK and not is_excused(one.node, one.at, end):
            breaches.append(f"{one.server} asked {one.node} for {one.rest} s of rest and got {count} requests")
    return breaches


def _find_late_arrivals(record: DirectiveRecord, is_excused: IsExcused) -> list[str]:
    first: dict[tuple[str, str], Directive] = {}
    for one in record.directives:
        if one.is_leaving:
            first.setdefault((one.server, one.node), one)
    return [
        f"{one.server} announced to {one.node} that it leaves and got a new request {at - one.at:.2f} s later"
        for one in first.values()
        for at in _list_from(record.arrivals, one)
        if at > one.at + DRAIN_TIME and not is_excused(one.node, one.at, at)
    ]


def _list_from(arrivals: Sequence[Arrival], directive: Directive) -> list[float]:
    return [one.at for one in arrivals if (one.server, one.node) == (directive.server, directive.node)]


def _count(times: Sequence[float], start: float, end: float) -> int:
    return sum(start < at <= end for at in times)


__all__ = ["find_breaches"]
