"""The identities of requests that have run without crashing a server, by its software."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, TypeVar

from vaneturn_core.traffic.blame.contents import Content, Fingerprint, Identity, PromptPart
from vaneturn_core.traffic.servers import Software

MAX_SOFTWARE: Final = 8  # versions, of all services together
MAX_CLEARED_CONTENTS: Final = 1024  # newest ones for each software
MAX_CLEARED_PARTS: Final = 4096
CLEARANCE_AGE_S: Final = 600.0  # time for which a run without a crash counts

_Identity = TypeVar("_Identity", Content, PromptPart)


@dataclass(slots=True)
class _Cleared:
    """When identities last ran on one software, oldest first."""

    contents: OrderedDict[Content, float] = field(default_factory=OrderedDict)
    parts: OrderedDict[PromptPart, float] = field(default_factory=OrderedDict)

    def find_time(self, identity: Identity) -> float:
        """Find when an identity last ran; minus infinity if it is not known to have."""
        never = float("-inf")
        return max(self.contents.get(Content(identity), never), self.parts.get(PromptPart(identity), never))


class Clearances:
    """What this node has seen run without a crash, newest last."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._by_software: OrderedDict[Software, _Cleared] = OrderedDict()

    def record(self, fingerprint: Fingerprint, software: Software) -> None:
        """Record that a request has run without a crash."""
        now = self._clock()
        cleared = self._by_software.setdefault(software, _Cleared())
        self._by_software.move_to_end(software)
        if len(self._by_software) > MAX_SOFTWARE:
            self._by_software.popitem(last=False)
        _put(cleared.contents, (fingerprint.content,), now, MAX_CLEARED_CONTENTS)
        _put(cleared.parts, fingerprint.parts, now, MAX_CLEARED_PARTS)

    def has_content(self, content: Content, software: Software) -> bool:
        """Tell whether a request with a content has run recently."""
        return bool(self.select((content,), software))

    def select(self, identities: Iterable[Identity], software: Software) -> list[Identity]:
        """Select the identities that have run recently."""
        cleared = self._by_software.get(software, _Cleared())
        oldest = self._clock() - CLEARANCE_AGE_S
        return [identity for identity in identities if cleared.find_time(identity) >= oldest]


def _put(times: OrderedDict[_Identity, float], identities: Iterable[_Identity], now: float, limit: int) -> None:
    for identity in identities:
        times[identity] = now
        times.move_to_end(identity)
    while len(times) > limit:
        times.popitem(last=False)


__all__ = ["CLEARANCE_AGE_S", "MAX_CLEARED_CONTENTS", "MAX_CLEARED_PARTS", "Clearances"]
