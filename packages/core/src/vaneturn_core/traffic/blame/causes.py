"""Decides which identities of requests caused crashes of servers.

The requests that were on a crashed server are suspected with all their identities. Those that a request has run with
elsewhere are cleared. Of the others, an identity is blamed once enough crashes count against it. It is blocked together
with its companions, the suspected identities that all of its crashes have in common: a request is rejected only if it
has all of them, since the evidence does not tell which of them is the cause. A harmless request that lacks one of them
runs, and clears those that it has.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Final

from vaneturn_core.traffic.blame.contents import Content, Fingerprint, Identity, format_identity
from vaneturn_core.traffic.blame.crashes import ServerCrash
from vaneturn_core.traffic.servers import ServerId, Software

BLAME_WEIGHT: Final = 6  # two crashes before the first event, or three crashes in all
CONFIRMING_CRASHES: Final = 3  # with fewer, a request may have been on both servers by chance
MAX_TIED_CRASHES: Final = 5  # with as many, identities that were on the same servers are all blocked
MIN_CONTESTED_CRASHES: Final = 2  # that a contested cause and another identity have in common
MAX_CONTESTED_CRASHES: Final = 7  # with more, a cause is not tried again although another may explain its crashes
SETTLING_TIME_S: Final = 1.0  # from a crash until the reports of all nodes have arrived, also if one was lost before


@dataclass(frozen=True, slots=True)
class Cause:
    """An identity that is blamed for crashes."""

    identity: Identity
    is_part: bool  # of prompts; otherwise it is a content
    has_cleared_parts: bool  # it is the content of a request whose prompt has parts, all of them cleared
    servers: frozenset[ServerId]  # whose crashes count against it
    companions: frozenset[Identity]  # that all of these crashes have in common, itself included
    newest: float  # monotonic time of the newest of these crashes
    software: frozenset[Software]  # that the servers ran
    has_rival_part: bool = False  # a part of other requests explains nearly as many of these crashes
    has_rival_content: bool = False  # it is a content, and another request was on the same servers

    def crashes_any(self, software: Iterable[Software]) -> bool:
        """Tell whether it has crashed servers with any of the given software."""
        return not self.software.isdisjoint(software)

    def describe(self) -> str:
        """Describe it to callers and operators."""
        parts = " ".join(sorted(format_identity(part) for part in self.companions))
        subject = f"requests with {parts}" if self.is_part else "it"
        return f"servers ended when they began to run {subject}: {', '.join(sorted(self.servers))}"

    @property
    def is_contested(self) -> bool:
        """Tell whether another identity may explain these crashes, so that this one may be harmless."""
        return self.has_rival_part or self.has_rival_content

    @property
    def is_confirmed(self) -> bool:
        """Tell whether there are enough crashes to exclude chance."""
        return len(self.servers) >= CONFIRMING_CRASHES and not self.is_contested

    @property
    def settles_at(self) -> float:
        """Give the monotonic time by which reports of other suspects have arrived.

        A confirmed part needs none: it crashed servers in several requests, which did not move on together.
        """
        return float("-inf") if self.is_part and self.is_confirmed else self.newest + SETTLING_TIME_S


Causes = Mapping[Identity, Cause]


@dataclass(slots=True)
class _Group:
    """The causes with the same crashes."""

    identities: set[Identity] = field(default_factory=set)
    parts: dict[Identity, Cause] = field(default_factory=dict)


def find_causes(crashes: Mapping[ServerId, ServerCrash]) -> Causes:
    """Find the identities that are to be blamed for crashes; nodes that know the same crashes find the same."""
    weights: defaultdict[Identity, dict[ServerId, int]] = defaultdict(dict)
    for server, crash in crashes.items():
        for identity, weight in crash.list_weights():
            weights[identity][server] = weight
    heavy = [(one, by_server) for one, by_server in weights.items() if sum(by_server.values()) >= BLAME_WEIGHT]
    blaming = {server for _, by_server in heavy for server in by_server}
    companies = {server: crashes[server].find_companies() for server in blaming}
    parts = {server: crashes[server].list_parts() for server in blaming}
    candidates = [
        _make_cause(identity, {server: crashes[server] for server in by_server}, companies, parts)
        for identity, by_server in heavy
    ]
    all_groups = _group(candidates)
    causes = [cause for cause in candidates if not _is_explained_by_two(cause, all_groups)]
    groups = _group(causes)
    blamed = [
        cause
        for cause in causes
        if not any(cause.servers < servers for servers in groups) and not _is_tied(cause, groups[cause.servers])
    ]
    return {
        cause.identity: replace(
            cause,
            has_rival_part=_has_rival_part(cause, all_groups),
            has_rival_content=_has_rival_content(cause, all_groups[cause.servers]),
        )
        for cause in blamed
    }


def describe_kind(cause: Cause) -> str:
    """Name the kind of an identity for logs and operators."""
    return "part" if cause.is_part else "content"


def list_matching(causes: Causes, fingerprint: Fingerprint) -> list[Cause]:
    """List the causes that apply to a request: it has all of their companions."""
    if not causes:
        return []
    held = fingerprint.identities
    return [causes[identity] for identity in held if identity in causes and causes[identity].companions <= held]


def _make_cause(
    identity: Identity,
    crashes: Mapping[ServerId, ServerCrash],
    companies: Mapping[ServerId, Mapping[Identity, frozenset[Identity]]],
    parts: Mapping[ServerId, frozenset[Identity]],
) -> Cause:
    """Make the cause that an identity is of some crashes.

    :param companies: the identities that were suspected together with each one, by crash.
    :param parts: the identities of all parts of prompts, by crash.
    """
    own = frozenset((identity,))
    companions = frozenset.intersection(*(companies[server].get(identity, own) for server in crashes))
    has_parts = any(crash.requests.get(Content(identity)) for crash in crashes.values())
    return Cause(
        identity=identity,
        is_part=any(identity in parts[server] for server in crashes),
        has_cleared_parts=has_parts and companions == {identity},
        servers=frozenset(crashes),
        companions=companions,
        newest=max(crash.at for crash in crashes.values()),
        software=frozenset(crash.software for crash in crashes.values()),
    )


def _group(causes: Iterable[Cause]) -> Mapping[frozenset[ServerId], _Group]:
    """Group causes by the servers whose crashes count against them: a crash often has hundreds, all alike in this."""
    groups: defaultdict[frozenset[ServerId], _Group] = defaultdict(_Group)
    for cause in causes:
        group = groups[cause.servers]
        group.identities.add(cause.identity)
        if cause.is_part:
            group.parts[cause.identity] = cause
    return groups


def _is_explained_by_two(cause: Cause, groups: Mapping[frozenset[ServerId], _Group]) -> bool:
    """Tell whether two narrower parts that always come with an identity explain its crashes as well."""
    narrower = [
        servers
        for servers, group in groups.items()
        if servers < cause.servers and any(cause.identity in other.companions for other in group.parts.values())
    ]
    return any(first | second == cause.servers for first, second in itertools.combinations(narrower, 2))


def _is_tied(cause: Cause, group: _Group) -> bool:
    """Tell whether an identity of another request was on the same servers and may be the cause as well.

    Two parts excuse each other, until requests with the harmless one have had time to run and clear it. A content is
    excused by a part only, and only if all parts of its own prompt are cleared: nearly all contents are new, so that it
    says little that one has not been cleared.

    :param group: all causes with the same servers; of two of them, both are companions of each other or neither is.
    """
    crashes = len(cause.servers)
    if cause.is_part and crashes < MAX_TIED_CRASHES and not group.parts.keys() <= cause.companions:
        return True
    is_excused = crashes < CONFIRMING_CRASHES and (cause.is_part or cause.has_cleared_parts)
    return is_excused and not group.identities <= cause.companions


def _has_rival_part(cause: Cause, groups: Mapping[frozenset[ServerId], _Group]) -> bool:
    """Tell whether a part of other requests was on the same servers, on all but one at least.

    That one may have crashed without a request that caused it, or beside the other part. If so, the cause is harmless,
    although it seems to explain more crashes. Each trial of a cause that is not harmless costs a crash.
    """
    crashes = len(cause.servers)
    shared = max(MIN_CONTESTED_CRASHES, crashes - 1)
    return crashes <= MAX_CONTESTED_CRASHES and any(
        cause.identity not in group.parts[other].companions
        for servers, group in groups.items()
        if len(cause.servers & servers) >= shared
        for other in group.parts.keys() - cause.companions
    )


def _has_rival_content(cause: Cause, group: _Group) -> bool:
    """Tell whether another request was on the same servers as one that is blamed for its content.

    The requests of a crashed server move on together, so that a bystander may be on the next one as well.

    :param group: all causes with the same servers.
    """
    is_content = not cause.is_part
    return is_content and len(cause.servers) < MAX_TIED_CRASHES and not group.identities <= cause.companions


__all__ = ["BLAME_WEIGHT", "CONFIRMING_CRASHES", "Cause", "Causes", "describe_kind", "find_causes", "list_matching"]
