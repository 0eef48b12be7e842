"""The crashes of servers that a node knows of, and the requests that are blocked because of them."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final

from vaneturn_core.identifiers import ServiceName
from vaneturn_core.traffic.blame.causes import Cause, Causes, find_causes, list_matching
from vaneturn_core.traffic.blame.clearances import Clearances
from vaneturn_core.traffic.blame.contents import Fingerprint, Identity
from vaneturn_core.traffic.blame.crashes import LostRequest, ServerCrash
from vaneturn_core.traffic.blame.pendingcrashes import PendingCrashes
from vaneturn_core.traffic.servers import ServerId, Software

DOUBT_TIME_S: Final = 60.0  # from the newest crash of an unconfirmed cause until its requests are tried again
CONTEST_TIME_S: Final = 5.0  # the same while a part of other requests may explain its crashes
CONFIRMED_TIME_S: Final = 86_400.0  # the same of a confirmed one
TRIAL_INTERVAL_S: Final = 1.0  # mean time between the first trials of two nodes; a crash is known to all in less
MAX_CRASH_AGE_S: Final = CONFIRMED_TIME_S + 3600.0  # crashes of causes are kept until all nodes may have tried
ORDINARY_CRASH_AGE_S: Final = 600.0  # other crashes are kept for less
MAX_CRASHES: Final = 64  # those of causes first, then the newest


class CrashBoard:
    """The crashes that this node has seen or other nodes reported, and the requests blocked because of them."""

    def __init__(
        self,
        clock: Callable[[], float],
        list_software: Callable[[ServiceName | None], Iterable[Software]],
        compute_trial_delay: Callable[[Identity], float] = lambda _: 0.0,
    ) -> None:
        """Create an empty board.

        :param list_software: returns the software of the servers of a service that are listed now; of all for None.
        :param compute_trial_delay: returns the seconds by which this node tries a blocked identity later than others
            may, so that the nodes do not all try at the same moment.
        """
        self._clock = clock
        self._list_software = list_software
        self._compute_trial_delay = compute_trial_delay
        self._crashes: dict[ServerId, ServerCrash] = {}
        self._pending = PendingCrashes(clock)
        self._clearances = Clearances(clock)
        self._trials: dict[Identity, float] = {}  # when this node last let a request with a blocked identity run
        self._changed: dict[ServerId, int] = {}  # revision of the board at the newest change of each crash
        self.revision = 0  # rises with each change
        self._check: int | None = None  # computed on demand, as the causes are
        self._causes: Causes | None = None
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

    @property
    def causes(self) -> Causes:
        """Return the identities that are blamed for the known crashes."""
        if self._causes is None:
            self._causes = find_causes(self._crashes)
        return self._causes

    def find_block(
        self, fingerprint: Fingerprint, service: ServiceName | None = None, *, is_trial: bool = False
    ) -> Cause | None:
        """Find the cause for which a request is blocked from running, a final one first; None if it may run.

        :param service: to which the request goes; servers of others may run it although these crash. None for any.
        :param is_trial: whether the request was let through as a trial.
        """
        matching = self._list_matching(fingerprint, service)
        blocking = [cause for cause in matching if not self._is_trial_due(cause, is_trial=is_trial)]
        return min(blocking, key=lambda cause: not self.is_final(cause), default=None)

    def is_blocked(self, fingerprint: Fingerprint, service: ServiceName | None = None) -> bool:
        """Tell whether a request is blocked from running."""
        return self.find_block(fingerprint, service) is not None

    def begin_trial(self, fingerprint: Fingerprint, service: ServiceName | None = None) -> bool:
        """Record that a request is about to run; true if it is the only trial of a blocked identity at this node."""
        matching = [cause.identity for cause in self._list_matching(fingerprint, service)]
        if matching:
            known = {identity: at for identity, at in self._trials.items() if identity in self.causes}
            self._trials = known | dict.fromkeys(matching, self._clock())
        return bool(matching)

    def list_blocks(self) -> list[Cause]:
        """List the causes for which requests are blocked."""
        used = self._list_software(None)
        return [cause for cause in self.causes.values() if cause.crashes_any(used) and not self._is_trial_due(cause)]

    def get_end(self, cause: Cause) -> float:
        """Return the monotonic time from which a cause is tried again."""
        if cause.has_rival_part:
            return cause.newest + CONTEST_TIME_S
        return cause.newest + (CONFIRMED_TIME_S if cause.is_confirmed else DOUBT_TIME_S)

    def is_final(self, cause: Cause) -> bool:
        """Tell whether requests with a cause may be rejected: all reports have come, and nothing else explains it."""
        return not cause.is_contested and self._clock() >= cause.settles_at

    def get_return_time(self, cause: Cause) -> float:
        """Return the monotonic time from which a refused request may be retried; it may be cleared by then."""
        return min(self.get_end(cause), self._clock() + CONTEST_TIME_S) if cause.is_contested else cause.settles_at

    def _list_matching(self, fingerprint: Fingerprint, service: ServiceName | None) -> list[Cause]:
        """List the causes that a request has and that have crashed the software of the servers of its service."""
        matching = list_matching(self.causes, fingerprint)
        used = self._list_software(service) if matching else ()
        return [cause for cause in matching if cause.crashes_any(used)]

    def _is_trial_due(self, cause: Cause, *, is_trial: bool = False) -> bool:
        """Tell whether this node may let a request with a cause run again, or one has been let through for that."""
        now = self._clock()
        if now <= self.get_end(cause) + self._compute_trial_delay(cause.identity):
            return False
        return is_trial or now > self._trials.get(cause.identity, float("-inf")) + TRIAL_INTERVAL_S

    def list_suspects(self, server: ServerId) -> list[Fingerprint]:
        """List the requests that may have caused the crash of a server."""
        crash = self._crashes.get(server)
        return crash.list_requests() if crash is not None else []

    def record_lost_connection(
        self, server: ServerId, software: Software, lost: LostRequest, *, is_cancelled: bool = False
    ) -> None:
        """Record that the connection of a request was lost, before it is known whether the server has crashed.

        :param is_cancelled: whether this node closed the connection, so that the server may crash because of it later.
        """
        if self._clearances.has_content(lost.fingerprint.content, software):
            return
        crash = self._crashes.get(server)
        if crash is not None:
            is_new = crash.record(lost, self._clearances.select(lost.fingerprint.identities, software))
            self._note_changes([server] if is_new else [])
            return
        self._pending.record(server, software, lost, is_cancelled=is_cancelled)

    def record_running(self, server: ServerId) -> None:
        """Record that a server runs, although connections to it were lost."""
        self._pending.record_running(server)

    def confirm(self, server: ServerId) -> bool:
        """Record that a server has crashed; false when no request lost there is pending."""
        crash = self._pending.describe(server)
        return crash is not None and self.join({server: crash})

    def confirm_absent(self, present: Iterable[ServerId]) -> list[ServerId]:
        """Confirm the crash of each server with lost requests that is not listed any more; return these servers."""
        return [server for server in self._pending.list_absent(present) if self.confirm(server)]

    def record_completion(self, fingerprint: Fingerprint, software: Software) -> list[Identity]:
        """Record that a request has run well on some software; return the identities cleared of a suspicion.

        They are then cleared of all crashes of that software, earlier and later. Copies of a popular request run on all
        servers, and may be on both servers that another request crashes, as happened within 0.2 s.
        """
        self._clearances.record(fingerprint, software)
        crashes = {server: crash for server, crash in self._crashes.items() if crash.software == software}
        cleared = [one for one in fingerprint.identities if any(crash.get_weight(one) for crash in crashes.values())]
        self._note_changes([server for server, crash in crashes.items() if crash.clear(fingerprint.identities)])
        return cleared

    def lift(self, identity: Identity) -> bool:
        """Clear an identity and its companions of all known crashes; false if it is not suspected."""
        cause = self.causes.get(identity)
        lifted = cause.companions if cause is not None else {identity}
        changed = [server for server, crash in self._crashes.items() if crash.clear(lifted)]
        self._note_changes(changed)
        return bool(changed)

    def join(self, crashes: Mapping[ServerId, ServerCrash]) -> bool:
        """Merge crashes that were confirmed here or by another node; false when nothing was new."""
        now = self._clock()
        changed = []
        for server, crash in crashes.items():
            if crash.at < now - MAX_CRASH_AGE_S:
                continue
            known = self._crashes.setdefault(server, ServerCrash(crash.at, crash.software))
            is_new = known.join(crash)
            for lost in self._pending.take_suspects(server, known.at):
                is_new |= known.record(lost, self._clearances.select(lost.fingerprint.identities, known.software))
            if self._clear_known(known) or is_new:
                changed.append(server)
        self._note_changes(changed)
        self._forget()
        return bool(changed)

    def list_crashes(self, since: int = -1) -> dict[ServerId, ServerCrash]:
        """Return the known crashes, for other nodes.

        :param since: revision of the board; crashes that have not changed after it are left out.
        """
        self._forget()
        return {server: crash for server, crash in self._crashes.items() if self._changed.get(server, 0) > since}

    def list_evidence(self) -> dict[ServerId, ServerCrash]:
        """Return the crashes that count against parts and confirmed causes, reduced to the requests with these."""
        evidence: dict[ServerId, ServerCrash] = {}
        for cause in self.causes.values():
            if not cause.is_part and not cause.is_confirmed:
                continue
            for server in cause.servers:
                reduced = self._crashes[server].select(cause.identity)
                evidence.setdefault(server, reduced).join(reduced)
        return evidence

    def _clear_known(self, crash: ServerCrash) -> bool:
        """Clear the suspects of a crash that this node has seen run without a crash on the same software."""
        return crash.clear(self._clearances.select(crash.suspects, crash.software))

    def _forget(self) -> None:
        """Drop old crashes; those of causes are kept for longest."""
        now = self._clock()
        of_causes = {server for cause in self.causes.values() for server in cause.servers}
        kept_from = {
            server: now - (MAX_CRASH_AGE_S if server in of_causes else ORDINARY_CRASH_AGE_S) for server in self._crashes
        }
        recent = [server for server, crash in self._crashes.items() if crash.at >= kept_from[server]]
        if len(recent) == len(self._crashes) <= MAX_CRASHES:
            return
        recent.sort(key=lambda server: (server in of_causes, self._crashes[server].at, server), reverse=True)
        self._crashes = {server: self._crashes[server] for server in recent[:MAX_CRASHES]}
        self._changed = {server: revision for server, revision in self._changed.items() if server in self._crashes}
        self._check = self._causes = None

    def _note_changes(self, servers: Collection[ServerId]) -> None:
        """Record which crashes have changed, and tell the listeners."""
        if not servers:
            return
        self.revision += 1
        self._changed.update(dict.fromkeys(servers, self.revision))
        self._check = self._causes = None
        for listener in self.listeners:
            listener()


__all__ = ["DOUBT_TIME_S", "CrashBoard"]
