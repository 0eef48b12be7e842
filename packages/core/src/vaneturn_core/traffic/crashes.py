"""Detection of requests that crash the servers they run on.

When a server crashes, any request that had just begun there may be the cause. Other requests had been running there for
a while, or complete elsewhere; the cause does neither. Nodes exchange what they have seen and merge it as sets: a crash
of one start of a server that many nodes have seen counts once.
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

STARTING_TIME_S: Final = 1.0  # after its first event; a request that runs for longer is not suspected
BARRING_WEIGHT: Final = 6  # two crashes before the first event, or three crashes in all
SURE_WEIGHT: Final = 9  # three crashes before the first event
# seconds after the newest crash for which a request below SURE_WEIGHT is barred. It may run again then, since it may
# have been on both servers by chance: in a fleet with three first servers, that was so for 1 of about 900 requests
DOUBT_TIME_S: Final = 60.0
MAX_CRASH_AGE_S: Final = 600.0  # time for which a crash counts
MAX_PENDING_AGE_S: Final = 8.0  # the entry of a crashed server is removed after three missed heartbeats
MAX_CRASHES: Final = 64  # newest crashes that are kept; 8 servers crash together when part of a fleet of 50 does
MAX_SUSPECTS: Final = 128  # per crash; a server that took over the streams of two others had 51
MAX_COMPLETED: Final = 1024  # newest requests that completed


class Suspicion(IntEnum):
    """How a crash bears on a request that ran on the server; when nodes report different values, the largest counts."""

    # the names of the class and its members are part of the checksum (CrashBoard.check): if one is renamed, nodes of
    # different builds compute different ones for the same crashes, and keep reporting to each other
    BEGUN = 1  # the request had produced events, for less than STARTING_TIME_S
    UNHEARD = 2  # the request had produced none
    CLEARED = 3  # the request has completed since


_WEIGHTS: Final = {Suspicion.BEGUN: 2, Suspicion.UNHEARD: 3, Suspicion.CLEARED: 0}


@dataclass(slots=True)
class ServerCrash:
    """The crash of one start of a server, with the requests that may have caused it."""

    at: float  # monotonic time
    software: str  # version that the server ran
    suspects: dict[Content, Suspicion] = field(default_factory=dict)

    def get_weight(self, content: Content) -> int:
        """Return the weight of this crash against a request; 0 if it was not on the server or is cleared."""
        return _WEIGHTS[self.suspects.get(content, Suspicion.CLEARED)]

    def join(self, other: ServerCrash) -> bool:
        """Merge what another node has seen of the same crash; false when nothing was new."""
        self.at = min(self.at, other.at)
        changes = [self.suspect(content, suspicion) for content, suspicion in other.suspects.items()]
        return any(changes)

    def suspect(self, content: Content, suspicion: Suspicion) -> bool:
        """Record a suspicion against a request, or clear it; false when nothing changes."""
        known = self.suspects.get(content)
        if known is not None and known >= suspicion:
            return False
        if known is None and len(self.suspects) >= MAX_SUSPECTS and not self._evict_weaker(suspicion):
            return False
        self.suspects[content] = suspicion
        return True

    def _evict_weaker(self, suspicion: Suspicion) -> bool:
        """Drop the request with the weakest suspicion; false when none is weaker than the given one."""
        least = min(self.suspects, key=lambda content: (self.suspects[content], content))
        if self.suspects[least] >= suspicion:
            return False
        del self.suspects[least]
        return True


class CrashBoard:
    """The crashes that this node has seen or other nodes reported, and the requests barred because of them."""

    def __init__(self, clock: Callable[[], float], list_software: Callable[[], Iterable[str]]) -> None:
        """Create an empty board.

        :param list_software: returns the software versions of the servers that are listed now.
        """
        self._clock = clock
        self._list_software = list_software
        self._crashes: dict[ServerId, ServerCrash] = {}
        self._pending: dict[ServerId, ServerCrash] = {}  # connections were lost, but a crash is not confirmed
        self._completed: OrderedDict[tuple[Content, str], float] = (
            OrderedDict()
        )  # when they last completed on a version
        self._check: int | None = None  # computed on demand
        self.listeners: list[Callable[[], None]] = []  # called after each change

    @property
    def check(self) -> int:
        """Return a checksum of the known crashes; nodes that know the same crashes have the same checksum."""
        if self._check is None:
            rows = sorted(
                (server, *suspicion) for server, crash in self._crashes.items() for suspicion in crash.suspects.items()
            )
            self._check = zlib.crc32(repr(rows).encode())
        return self._check

    def is_barred(self, content: Content) -> bool:
        """Tell whether a request is barred from running.

        If all the versions that it crashed are out of use, it may run once more; a crash of a newer one bars it again.
        """
        crashes = [crash for crash in self._crashes.values() if crash.get_weight(content)]
        weight = sum(crash.get_weight(content) for crash in crashes)
        if weight < BARRING_WEIGHT:
            return False
        if weight < SURE_WEIGHT and self._clock() > max(crash.at for crash in crashes) + DOUBT_TIME_S:
            return False
        running = set(self._list_software())
        return any(crash.software in running for crash in crashes)

    def list_crashed_servers(self, content: Content) -> list[ServerId]:
        """List the servers whose crash a request may have caused."""
        return [server for server, crash in self._crashes.items() if crash.get_weight(content)]

    def list_suspects(self, server: ServerId) -> list[Content]:
        """List the requests that may have caused the crash of a server."""
        crash = self._crashes.get(server)
        return [content for content in crash.suspects if crash.get_weight(content)] if crash is not None else []

    def record_lost_connection(self, server: ServerId, software: str, content: Content, suspicion: Suspicion) -> None:
        """Record that the connection of a request was lost, before it is known whether the server has crashed."""
        if self._has_completed(content, software):
            return
        crash = self._crashes.get(server)
        if crash is not None:
            self._note_change(is_new=crash.suspect(content, suspicion))
            return
        now = self._clock()
        self._pending = {
            lost_server: crash for lost_server, crash in self._pending.items() if crash.at > now - MAX_PENDING_AGE_S
        }
        self._pending.setdefault(server, ServerCrash(now, software)).suspect(content, suspicion)

    def confirm(self, server: ServerId) -> bool:
        """Record that a server has crashed; false when no request lost there is pending."""
        crash = self._pending.pop(server, None)
        return crash is not None and self.join({server: crash})

    def confirm_absent(self, present: Iterable[ServerId]) -> list[ServerId]:
        """Confirm the crash of each server with lost requests that is not listed any more; return these servers."""
        gone = self._pending.keys() - set(present)
        return [server for server in gone if self.confirm(server)]

    def record_completion(self, content: Content, software: str) -> bool:
        """Record that a request has completed on a software version; true when this clears it of a suspicion.

        It is then cleared of all crashes of that version, earlier and later. Copies of a popular request run on all
        servers, and may be on both servers that another request crashes, as happened within 0.2 s.
        """
        key = content, software
        self._completed[key] = self._clock()
        self._completed.move_to_end(key)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)
        suspected = [
            crash for crash in self._crashes.values() if content in crash.suspects and crash.software == software
        ]
        cleared = [crash.suspect(content, Suspicion.CLEARED) for crash in suspected]
        self._note_change(is_new=any(cleared))
        return any(cleared)

    def join(self, crashes: Mapping[ServerId, ServerCrash]) -> bool:
        """Merge crashes that were confirmed here or by another node; false when nothing was new."""
        oldest = self._clock() - MAX_CRASH_AGE_S
        is_new = False
        for server, crash in crashes.items():
            if crash.at < oldest:
                continue
            pending = self._pending.pop(server, None)
            known = self._crashes.setdefault(server, ServerCrash(crash.at, crash.software))
            is_new |= known.join(crash)
            if pending is not None:
                is_new |= known.join(pending)
            for content in [suspect for suspect in known.suspects if self._has_completed(suspect, known.software)]:
                is_new |= known.suspect(content, Suspicion.CLEARED)
        self._forget(oldest)
        self._note_change(is_new=is_new)
        return is_new

    def list_crashes(self) -> dict[ServerId, ServerCrash]:
        """Return the known crashes, for other nodes."""
        self._forget(self._clock() - MAX_CRASH_AGE_S)
        return dict(self._crashes)

    def _has_completed(self, content: Content, software: str) -> bool:
        return self._completed.get((content, software), float("-inf")) >= self._clock() - MAX_CRASH_AGE_S

    def _forget(self, oldest: float) -> None:
        newest = sorted(self._crashes, key=lambda server: self._crashes[server].at, reverse=True)[:MAX_CRASHES]
        kept = {server: self._crashes[server] for server in newest if self._crashes[server].at >= oldest}
        if len(kept) < len(self._crashes):
            self._crashes = kept
            self._check = None

    def _note_change(self, *, is_new: bool) -> None:
        if not is_new:
            return
        self._check = None
        for listener in self.listeners:
            listener()


__all__ = ["STARTING_TIME_S", "CrashBoard", "ServerCrash", "Suspicion"]
