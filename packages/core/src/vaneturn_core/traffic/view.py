"""The view that a node has of the platform, and the age of this information."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from vaneturn_core.identifiers import ServiceName, VmId
from vaneturn_core.traffic.configuration import TrafficConfiguration
from vaneturn_core.traffic.lapses import LapsedEntries
from vaneturn_core.traffic.servers import BackendServer, ServerId, ServerName, Software

MUTED_TIME_S: Final = 1.0  # before the store drops its history, watches may report no changes for so long
KEYS_MARGIN_S: Final = 0.1  # for the time between the check of a key and its use
RETURN_TIME_S: Final = 0.5  # time after the end of an outage in which the store still reports entries lapsed in it
SAME_OUTAGE_S: Final = 3.0  # most between the last failures of two nodes in one outage: a lost call takes 2 s
MAX_SHOWN_AGE_S: Final = 1e9  # shown by a node that has not heard from the store yet
DEFAULT_LEAVING_TIME_S: Final = 2.0
MAX_READY_AGE_S: Final = 2.5  # a node that has not heard from the store for longer is not ready for new clients


@dataclass(frozen=True, slots=True)
class StoreContact:
    """When the store last answered or failed, as monotonic times."""

    confirmed_at: float = float("-inf")  # the whole view was true then or later, as a watch or a read has shown
    failed_at: float = float("-inf")
    returned_at: float = float("-inf")  # first answer after a failure
    verified_at: float = float("-inf")  # the whole view was true then or later, as a read has shown

    @property
    def keys_confirmed_at(self) -> float:
        """Give the time at which the known keys were valid; a watch may lack the changes of its last second."""
        return max(self.verified_at, self.confirmed_at - MUTED_TIME_S)

    @property
    def is_in_trouble(self) -> bool:
        """Tell whether the store has not answered since it last failed."""
        return self.failed_at > self.returned_at

    def leave_out_confirmations(self) -> StoreContact:
        """Return only what is known of failures."""
        return dataclasses.replace(self, confirmed_at=float("-inf"), verified_at=float("-inf"))

    def shares_trouble(self, other: StoreContact) -> bool:
        """Tell whether both nodes failed to reach the store at about the same time."""
        have_failed = min(self.failed_at, other.failed_at) > float("-inf")
        return have_failed and abs(self.failed_at - other.failed_at) <= SAME_OUTAGE_S


class PlatformView:
    """The configuration, the servers and the nodes as last read from the store."""

    def __init__(
        self, keys_valid: float, clock: Callable[[], float], leaving_time: float = DEFAULT_LEAVING_TIME_S
    ) -> None:
        """Create an empty view.

        :param keys_valid: seconds from the removal of a key to the last request accepted with it.
        :param leaving_time: seconds from the notice that a server leaves to the last request that it may get.
        """
        self._keys_valid = keys_valid - KEYS_MARGIN_S
        self._clock = clock
        self.configuration: TrafficConfiguration | None = None
        self.configuration_listeners: list[Callable[[], None]] = []  # called when a configuration takes effect
        self.servers: dict[ServerId, BackendServer] = {}
        self.nodes: dict[VmId, str | None] = {}  # with the address where a node serves changes to others
        self.has_servers = False  # the list was read at least once
        self.contact = StoreContact()
        self._starts: dict[ServerName, ServerId] = {}  # the listed start of each server
        self.lapsed = LapsedEntries(leaving_time, clock)
        self._outage_ended_at = float("-inf")  # first response of the store after an outage, to this node or its relay

    @property
    def age(self) -> float:
        """Return the seconds since the store confirmed the view."""
        return self._clock() - self.contact.confirmed_at

    @property
    def finite_age(self) -> float:
        """Return the age for logs and operators, which need a finite number."""
        return min(self.age, MAX_SHOWN_AGE_S)

    @property
    def keys_age(self) -> float:
        """Return the seconds since the known keys were valid, at most MAX_SHOWN_AGE_S."""
        return min(self._clock() - self.contact.keys_confirmed_at, MAX_SHOWN_AGE_S)

    def are_keys_valid(self) -> bool:
        """Tell whether the known keys are recent enough to accept requests with them."""
        return self.keys_age < self._keys_valid

    def is_ready(self) -> bool:
        """Tell whether this node should get new clients."""
        has_view = self.has_servers and self.configuration is not None
        return has_view and self.age < MAX_READY_AGE_S and self.are_keys_valid()

    def count_nodes(self) -> int:
        """Count the nodes that share limits with this one, itself included."""
        return max(1, len(self.nodes))

    def confirm(self, at: float, verified_at: float = float("-inf")) -> None:
        """Record that the store has answered, and that the whole view was true at a time or later.

        :param verified_at: the same time as far as a read has shown it.
        """
        returned_at = self.contact.returned_at
        if self.contact.is_in_trouble:
            returned_at = self._outage_ended_at = self._clock()
        confirmed_at = max(self.contact.confirmed_at, at)
        verified_at = max(self.contact.verified_at, verified_at)
        self.contact = StoreContact(confirmed_at, self.contact.failed_at, returned_at, verified_at)

    def note_restore(self) -> None:
        """Record that the store was restored: as after an outage, servers write entries that it lacks again."""
        self._outage_ended_at = self._clock()
        self.contact = dataclasses.replace(self.contact, returned_at=self._outage_ended_at)

    def note_failure(self) -> None:
        """Record that a call to the store failed."""
        self.contact = dataclasses.replace(self.contact, failed_at=self._clock())

    def advance_confirmation(self, contact: StoreContact) -> None:
        """Record when the whole view was true, as another node knows it from the store."""
        confirmed_at = max(self.contact.confirmed_at, contact.confirmed_at)
        verified_at = max(self.contact.verified_at, contact.verified_at)
        self.contact = dataclasses.replace(self.contact, confirmed_at=confirmed_at, verified_at=verified_at)

    def merge_contact(self, contact: StoreContact) -> None:
        """Merge the contact that another node has had with the store.

        A failure that only one node sees is no outage of the store: that node may be cut off itself, and then the entry
        of a server that leaves has not lapsed. Only a failure that both nodes see counts as an outage.
        """
        confirmed_at = max(self.contact.confirmed_at, contact.confirmed_at)
        verified_at = max(self.contact.verified_at, contact.verified_at)
        if not self.contact.shares_trouble(contact):
            self.contact = StoreContact(confirmed_at, verified_at=verified_at)
            return
        # this node's last failed call may end after the other node has reached the store again
        is_over = self.contact.is_in_trouble and not contact.is_in_trouble
        self._outage_ended_at = contact.returned_at if is_over else max(self._outage_ended_at, contact.returned_at)
        returned_at = self._clock() if is_over else max(self.contact.returned_at, contact.returned_at)
        self.contact = StoreContact(confirmed_at, self.contact.failed_at, returned_at, verified_at)

    def take_configuration(self, configuration: TrafficConfiguration) -> bool:
        """Put a configuration in force; false if it is not newer than the current one."""
        if self.configuration is not None and configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        for listener in self.configuration_listeners:
            listener()
        return True

    def put_server(self, server: BackendServer) -> bool:
        """Store a server's entry; false if it belongs to an older start than the known one.

        A new start replaces the previous one, which has ended and lost all that it held.
        """
        known = self.find_server(server.name)
        if known is not None and known.id != server.id:
            if (known.born or 0) > (server.born or 0):
                return False
            self.drop_server(known.id)
        self.lapsed.forget(server.id)
        self.servers[server.id] = server
        self._starts[server.name] = server.id
        return True

    def find_server(self, name: ServerName) -> BackendServer | None:
        """Find the known start of a server, listed or lapsed."""
        start = self._starts.get(name)
        return self.servers.get(start) if start is not None else None

    def drop_server(self, server: ServerId) -> None:
        """Remove a server immediately, regardless of the contact with the store."""
        self.lapsed.forget(server)
        known = self.servers.pop(server, None)
        if known is not None and self._starts.get(known.name) == server:
            del self._starts[known.name]

    def remove_server(self, server: ServerId) -> bool:
        """Remove a server whose entry is gone; false if it is unknown, or kept for a while as possibly lapsed."""
        now = self._clock()
        if server not in self.servers:
            return False
        if self.contact.is_in_trouble or now - self.contact.returned_at < RETURN_TIME_S:
            self.lapsed.note(server, now if self.contact.is_in_trouble else self._outage_ended_at)
            return False
        self.drop_server(server)
        return True

    def replace_servers(self, servers: Iterable[BackendServer]) -> list[ServerId]:
        """Replace the whole list; return the servers that were removed."""
        listed = {server.name: server for server in servers}
        self.has_servers = True
        removed = [
            previous.id
            for previous in list(self.servers.values())
            if previous.name not in listed and self.remove_server(previous.id)
        ]
        for server in listed.values():
            known = self.find_server(server.name)
            if self.put_server(server) and known is not None and known.id != server.id:
                removed.append(known.id)
        return removed

    def expire_lapsed(self) -> list[ServerId]:
        """Remove the servers whose lapsed entries were not written again in time; return them."""
        expired = self.lapsed.list_expired()
        for server in expired:
            self.drop_server(server)
        return expired

    def list_software(self, service: ServiceName | None = None) -> set[Software]:
        """List the software that servers run.

        :param service: of the servers; None for all services.
        """
        servers = self.servers.values() if service is None else self.list_servers(service)
        return {server.software for server in servers}

    def list_servers(self, service: ServiceName) -> list[BackendServer]:
        """List the servers of a service."""
        return [
            server for server in self.servers.values() if server.service == service and self.lapsed.is_held(server.id)
        ]


__all__ = ["PlatformView", "StoreContact"]
