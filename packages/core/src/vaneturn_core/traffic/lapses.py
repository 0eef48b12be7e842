"""Servers whose entries were removed around an outage of the store: either the lease expired, or the server left.

A server whose lease expired writes its entry again soon after the outage. One that left serves requests for a limited
time only. It gets new requests in the first half of that time at most, if another server can take them, so that they
finish in the second half.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from vaneturn_core.traffic.servers import BackendServer, ServerId

LAPSE_HOLD_S: Final = 2.2  # time after the end of an outage in which servers write their entries again
TRUSTED_SHARE: Final = 0.5  # of the time for which a server that left serves on


@dataclass(frozen=True, slots=True)
class _Lapse:
    trusted_until: float  # until then, gets requests like a listed server
    held_until: float  # until then, gets requests that no listed server can take


class LapsedEntries:
    """The entries that may have lapsed, and for how long their servers are used."""

    def __init__(self, leaving_time: float, clock: Callable[[], float]) -> None:
        """Start without lapsed entries.

        :param leaving_time: seconds from the notice that a server leaves to the last request that it may get.
        """
        self._trusted_time = min(LAPSE_HOLD_S, TRUSTED_SHARE * leaving_time)
        self._clock = clock
        self._lapses: dict[ServerId, _Lapse] = {}

    def note(self, server: ServerId, outage_ended_at: float) -> None:
        """Note that the entry of a server is gone and may have lapsed.

        :param outage_ended_at: monotonic time of the first response of the store after the outage; a node that follows
            a relay learns of it later.
        """
        lapse = _Lapse(outage_ended_at + self._trusted_time, self._clock() + LAPSE_HOLD_S)
        self._lapses.setdefault(server, lapse)

    def forget(self, server: ServerId) -> None:
        """Forget a lapse: the server is listed again, or removed."""
        self._lapses.pop(server, None)

    def list_expired(self) -> list[ServerId]:
        """List the servers that did not write their entries again in time."""
        return [server for server in self._lapses if not self.is_held(server)]

    def is_held(self, server: ServerId) -> bool:
        """Tell whether a server is listed, or may still write its lapsed entry again."""
        lapse = self._lapses.get(server)
        return lapse is None or self._clock() < lapse.held_until

    def prefer_listed(self, servers: Sequence[BackendServer]) -> list[BackendServer]:
        """Leave out the servers that may have left, unless they hold a layer that no other server holds.

        :param servers: of one service, eligible for new requests.
        """
        now = self._clock()
        doubtful = {server for server, lapse in self._lapses.items() if lapse.trusted_until <= now}
        trusted = [server for server in servers if server.id not in doubtful]
        if len(trusted) == len(servers):
            return trusted
        held_layers = {layer for server in trusted for layers in server.layers for layer in layers.list()}
        has_plain = any(server.kind is None for server in trusted)

        def can_be_replaced(server: BackendServer) -> bool:
            if server.kind is None:
                return has_plain
            return all(layer in held_layers for layers in server.layers for layer in layers.list())

        return [server for server in servers if server.id not in doubtful or not can_be_replaced(server)]


__all__ = ["LAPSE_HOLD_S", "LapsedEntries"]
