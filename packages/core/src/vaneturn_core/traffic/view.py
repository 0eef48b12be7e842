"""What a node believes of the platform, with the age of each belief."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from vaneturn_core.identifiers import ServiceName, VmId
from vaneturn_core.traffic.configuration import TrafficConfiguration
from vaneturn_core.traffic.servers import BackendServer, ServerId, ServerName

KEYS_MARGIN: Final = 0.8  # seconds; a watch may hear nothing for a second before the store says so, and then does
LAPSE_HOLD: Final = 2.2  # seconds after the store's return in which servers write their entries again
RETURN_TIME: Final = 0.5  # seconds after the store's return in which its answers tell what lapsed before
SAME_TROUBLE: Final = 3.0  # seconds between the newest failures of two nodes in one outage; a lost call takes 2 s
MAX_TOLD_AGE: Final = 1e9  # seconds; told by a node that has heard nothing yet
READY_AGE: Final = 2.5  # seconds; a node that hears nothing for longer leaves its clients to other nodes


@dataclass(frozen=True, slots=True)
class StoreContact:
    """When the store was last heard of, as steady times."""

    confirmed_at: float = float("-inf")  # everything believed was true then or later
    failed_at: float = float("-inf")
    returned_at: float = float("-inf")  # answered again after a failure

    @property
    def is_in_trouble(self) -> bool:
        """Tell whether it has not answered since it failed."""
        return self.failed_at > self.returned_at

    def shares_trouble(self, other: StoreContact) -> bool:
        """Tell whether both nodes failed to reach the store at about the same time."""
        have_failed = min(self.failed_at, other.failed_at) > float("-inf")
        return have_failed and abs(self.failed_at - other.failed_at) <= SAME_TROUBLE


class PlatformView:
    """The configuration, the servers and the nodes as last heard from the store."""

    def __init__(self, keys_valid: float, clock: Callable[[], float]) -> None:
        """Begin with nothing known.

        :param keys_valid: seconds from the removal of a key to its last request.
        """
        self._keys_valid = keys_valid - KEYS_MARGIN
        self._clock = clock
        self.configuration: TrafficConfiguration | None = None
        self.servers: dict[ServerId, BackendServer] = {}
        self.nodes: dict[VmId, str | None] = {}  # and the address where a node tells others of changes
        self.has_servers = False  # the list was read once
        self.contact = StoreContact()
        self._starts: dict[ServerName, ServerId] = {}  # the start that is listed under each name
        self._lapsed: dict[ServerId, float] = {}  # entries that went in trouble, and when they are given up

    @property
    def age(self) -> float:
        """Give the seconds since the store confirmed what is believed."""
        return self._clock() - self.contact.confirmed_at

    @property
    def told_age(self) -> float:
        """Give the age for logs and operators, which take no infinite number."""
        return min(self.age, MAX_TOLD_AGE)

    def are_keys_valid(self) -> bool:
        """Tell whether the keys are known well enough to run requests with them."""
        return self.age < self._keys_valid

    def is_ready(self) -> bool:
        """Tell whether new clients should come to this node."""
        return self.has_servers and self.configuration is not None and self.age < min(READY_AGE, self._keys_valid)

    def count_nodes(self) -> int:
        """Count the nodes that share limits with this one, itself included."""
        return max(1, len(self.nodes))

    def confirm(self, at: float) -> None:
        """Take note that the store has answered, and that everything believed was true at a time or later."""
        returned_at = self._clock() if self.contact.is_in_trouble else self.contact.returned_at
        confirmed_at = max(self.contact.confirmed_at, at)
        self.contact = StoreContact(confirmed_at, self.contact.failed_at, returned_at)

    def note_failure(self) -> None:
        """Take note that a call on the store failed."""
        self.contact = dataclasses.replace(self.contact, failed_at=self._clock())

    def adopt_contact(self, contact: StoreContact) -> None:
        """Take over when another node has heard of the store.

        Troubles of one node alone say nothing of the store: the node may be cut off by itself, and the entry of a
        server that leaves meanwhile has not lapsed. Only what neither node could reach was in trouble.
        """
        confirmed_at = max(self.contact.confirmed_at, contact.confirmed_at)
        if not self.contact.shares_trouble(contact):
            self.contact = StoreContact(confirmed_at)
            return
        # the last call of an outage may end here after that of the other node, which has reached the store since
        is_over = self.contact.is_in_trouble and not contact.is_in_trouble
        returned_at = self._clock() if is_over else max(self.contact.returned_at, contact.returned_at)
        self.contact = StoreContact(confirmed_at, self.contact.failed_at, returned_at)

    def take_configuration(self, configuration: TrafficConfiguration) -> bool:
        """Put a configuration in force; false for one that is not newer."""
        if self.configuration is not None and configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        return True

    def put_server(self, server: BackendServer) -> bool:
        """Take a server's entry; false for that of an older start than the one known.

        A new start takes the place of the one before, which is gone with all that it held.
        """
        known = self.find_server(server.name)
        if known is not None and known.id != server.id:
            if (known.born or 0) > (server.born or 0):
                return False
            self.drop_server(known.id)
        self._lapsed.pop(server.id, None)
        self.servers[server.id] = server
        self._starts[server.name] = server.id
        return True

    def find_server(self, name: ServerName) -> BackendServer | None:
        """Find the start of a server that is listed, or whose entry has lapsed."""
        start = self._starts.get(name)
        return self.servers.get(start) if start is not None else None

    def drop_server(self, server: ServerId) -> None:
        """Remove a server at once, whatever became of the store."""
        self._lapsed.pop(server, None)
        known = self.servers.pop(server, None)
        if known is not None and self._starts.get(known.name) == server:
            del self._starts[known.name]

    def remove_server(self, server: ServerId) -> bool:
        """Remove a server whose entry went; false if it is kept for a while, since the entry may have lapsed."""
        now = self._clock()
        if server not in self.servers:
            return False
        if self.contact.is_in_trouble or now - self.contact.returned_at < RETURN_TIME:
            self._lapsed.setdefault(server, now + LAPSE_HOLD)
            return False
        self.drop_server(server)
        return True

    def replace_servers(self, servers: Iterable[BackendServer]) -> list[ServerId]:
        """Take the whole list; gives the servers that were removed."""
        listed = {server.name: server for server in servers}
        self.has_servers = True
        removed = [
            one.id for one in list(self.servers.values()) if one.name not in listed and self.remove_server(one.id)
        ]
        for server in listed.values():
            known = self.find_server(server.name)
            if self.put_server(server) and known is not None and known.id != server.id:
                removed.append(known.id)
        return removed

    def expire_lapsed(self) -> list[ServerId]:
        """Remove the servers whose entries have not come back; gives them."""
        now = self._clock()
        over = [server for server, until in self._lapsed.items() if until <= now]
        for server in over:
            self.drop_server(server)
        return over

    def list_software(self) -> set[str]:
        """List the versions of the software that servers run."""
        return {server.software for server in self.servers.values()}

    def list_servers(self, service: ServiceName) -> list[BackendServer]:
        """List the servers of a service."""
        now = self._clock()
        return [
            server
            for server in self.servers.values()
            if server.service == service and self._lapsed.get(server.id, now + 1) > now
        ]


__all__ = ["PlatformView", "StoreContact"]
