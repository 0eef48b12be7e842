"""Which requests had just begun on servers when these ended: one that ends each server that runs it is found so.

A server that ends takes all its requests along, and one of them may be the cause. Bystanders had been running there for
a while, or end well elsewhere; the cause does neither. Nodes tell each other what they have seen, and join it as sets:
the end of one start of a server, seen by many nodes, is one end.
"""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

from vaneturn_core.traffic.contents import Content
from vaneturn_core.traffic.servers import ServerId

STARTING_TIME: Final = 1.0  # seconds from the first event of a run; what is still there then has not ended its server
BARRING_WEIGHT: Final = 6  # two ends before the first event, or three in all
SURE_WEIGHT: Final = 9  # three ends before the first event
DOUBT_TIME: Final = 60.0  # seconds from the newest end for which a request is barred below that weight; a bystander on
# both servers, as one of some 900 was on a fleet of three first servers, is tried again then
KEPT_TIME: Final = 600.0  # seconds from an end for which it counts
PENDING_TIME: Final = 8.0  # seconds; the entry of a server that ended is gone after three heartbeats
MAX_ENDS: Final = 64  # newest ones; 8 servers end at once where a part of 50 does
MAX_SUSPECTS: Final = 128  # of one end; 51 streams were on a server that took over those of two others
KEPT_SOUND: Final = 1024  # contents that ended well, newest ones


class Suspicion(IntEnum):
    """What an end says of a request that was on the server; of two words the greater holds."""

    BEGUN = 1  # it had brought events, for less than the time above
    UNHEARD = 2  # it had brought none
    CLEARED = 3  # it has ended well since


_WEIGHTS: Final = {Suspicion.BEGUN: 2, Suspicion.UNHEARD: 3, Suspicion.CLEARED: 0}


@dataclass(slots=True)
class ServerEnd:
    """The end of one start of a server."""

    at: float  # steady time
    software: str  # that it ran
    suspects: dict[Content, Suspicion] = field(default_factory=dict)

    def weigh(self, content: Content) -> int:
        """Weigh what it says against a request; 0 for one that was not there, or is cleared."""
        return _WEIGHTS[self.suspects.get(content, Suspicion.CLEARED)]

    def join(self, other: ServerEnd) -> bool:
        """Take over what another node has seen of the same end; false when it says nothing new."""
        self.at = min(self.at, other.at)
        news = [self.suspect(content, suspicion) for content, suspicion in other.suspects.items()]
        return any(news)

    def suspect(self, content: Content, suspicion: Suspicion) -> bool:
        """Suspect a request, or clear it; false when it is known."""
        known = self.suspects.get(content)
        if known is not None and known >= suspicion:
            return False
        if known is None and len(self.suspects) >= MAX_SUSPECTS and not self._make_room(suspicion):
            return False
        self.suspects[content] = suspicion
        return True

    def _make_room(self, suspicion: Suspicion) -> bool:
        """Leave out a request that is suspected less; false when there is none."""
        least = min(self.suspects, key=lambda content: (self.suspects[content], content))
        if self.suspects[least] >= suspicion:
            return False
        del self.suspects[least]
        return True


class CrashBoard:
    """The ends of servers that this node has seen or heard of, and the requests that may not run any more."""

    def __init__(self, clock: Callable[[], float], list_software: Callable[[], Iterable[str]]) -> None:
        """Begin with nothing known.

        :param list_software: gives the software of the servers that are listed now.
        """
        self._clock = clock
        self._list_software = list_software
        self._ends: dict[ServerId, ServerEnd] = {}
        self._pending: dict[ServerId, ServerEnd] = {}  # lost, but not shown to have ended
        self._sound: OrderedDict[tuple[Content, str], float] = OrderedDict()  # when they last ran well on a software
        self._check: int | None = None  # computed anew when it is asked for
        self.listeners: list[Callable[[], None]] = []  # called when something new is known

    @property
    def check(self) -> int:
        """Give a checksum of what is known; two nodes that know the same have the same."""
        if self._check is None:
            rows = sorted((server, *row) for server, end in self._ends.items() for row in end.suspects.items())
            self._check = zlib.crc32(repr(rows).encode())
        return self._check

    def is_barred(self, content: Content) -> bool:
        """Tell whether a request may not run any more.

        One that ended servers of a software that is gone may run once more on the new one.
        """
        ends = [end for end in self._ends.values() if end.weigh(content)]
        weight = sum(end.weigh(content) for end in ends)
        if weight < BARRING_WEIGHT:
            return False
        if weight < SURE_WEIGHT and self._clock() > max(end.at for end in ends) + DOUBT_TIME:
            return False
        running = set(self._list_software())
        return any(end.software in running for end in ends)

    def list_ends_under(self, content: Content) -> list[ServerId]:
        """List the servers that ended while a request had just begun there, and that has not ended well since."""
        return [server for server, end in self._ends.items() if end.weigh(content)]

    def list_suspects(self, server: ServerId) -> list[Content]:
        """List the requests that may have ended a server."""
        end = self._ends.get(server)
        return [content for content in end.suspects if end.weigh(content)] if end is not None else []

    def note_lost(self, server: ServerId, software: str, content: Content, suspicion: Suspicion) -> None:
        """Take note that the connection of a request was lost; whether the server has ended is not known yet."""
        if self._is_sound(content, software):
            return
        end = self._ends.get(server)
        if end is not None:
            self._note_change(is_new=end.suspect(content, suspicion))
            return
        now = self._clock()
        self._pending = {one: end for one, end in self._pending.items() if end.at > now - PENDING_TIME}
        self._pending.setdefault(server, ServerEnd(now, software)).suspect(content, suspicion)

    def confirm(self, server: ServerId) -> bool:
        """Take note that a server has ended; false when no request is known to have been lost there."""
        end = self._pending.pop(server, None)
        return end is not None and self.join({server: end})

    def confirm_absent(self, present: Iterable[ServerId]) -> list[ServerId]:
        """Take note of the servers that are listed; gives those that were lost and are gone now."""
        gone = self._pending.keys() - set(present)
        return [server for server in gone if self.confirm(server)]

    def note_sound(self, content: Content, software: str) -> bool:
        """Take note that a request has run well on a software; true when it was suspected.

        It ends no server of that software then, whatever copies of it were on servers that ended before or end later:
        copies of a popular request are on all servers, and were on both that a deadly one ended within 0.2 s.
        """
        key = content, software
        self._sound[key] = self._clock()
        self._sound.move_to_end(key)
        if len(self._sound) > KEPT_SOUND:
            self._sound.popitem(last=False)
        suspected = [end for end in self._ends.values() if content in end.suspects and end.software == software]
        cleared = [end.suspect(content, Suspicion.CLEARED) for end in suspected]
        self._note_change(is_new=any(cleared))
        return any(cleared)

    def join(self, ends: Mapping[ServerId, ServerEnd]) -> bool:
        """Take over ends; false when they say nothing new."""
        oldest = self._clock() - KEPT_TIME
        is_new = False
        for server, end in ends.items():
            if end.at < oldest:
                continue
            pending = self._pending.pop(server, None)
            known = self._ends.setdefault(server, ServerEnd(end.at, end.software))
            is_new |= known.join(end)
            if pending is not None:
                is_new |= known.join(pending)
            for content in [one for one in known.suspects if self._is_sound(one, known.software)]:
                is_new |= known.suspect(content, Suspicion.CLEARED)
        self._forget(oldest)
        self._note_change(is_new=is_new)
        return is_new

    def list_ends(self) -> dict[ServerId, ServerEnd]:
        """List what is known, for other nodes."""
        self._forget(self._clock() - KEPT_TIME)
        return dict(self._ends)

    def _is_sound(self, content: Content, software: str) -> bool:
        return self._sound.get((content, software), float("-inf")) >= self._clock() - KEPT_TIME

    def _forget(self, oldest: float) -> None:
        newest = sorted(self._ends, key=lambda server: self._ends[server].at, reverse=True)[:MAX_ENDS]
        kept = {server: self._ends[server] for server in newest if self._ends[server].at >= oldest}
        if len(kept) < len(self._ends):
            self._ends = kept
            self._check = None

    def _note_change(self, *, is_new: bool) -> None:
        if not is_new:
            return
        self._check = None
        for listener in self.listeners:
            listener()


__all__ = ["STARTING_TIME", "CrashBoard", "ServerEnd", "Suspicion"]
