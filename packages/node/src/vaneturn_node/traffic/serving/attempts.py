"""Counts the servers on which a request may have run, against the attempts that its route allows."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable

from vaneturn_core.traffic.servers import ServerId


class Attempts:
    """The servers on which a request may have run.

    A server counts until it is known to have ended, or to be cut off from this node. A short silence shows neither: a
    healthy server may fall silent and go on, and would then run the request beside the next one. A second run on a
    server that counts is no further attempt.
    """

    def __init__(
        self,
        count: int = 0,
        servers: Iterable[ServerId] = (),
        is_lost: Callable[[ServerId], bool] = lambda _: False,
        is_cut_off: Callable[[], bool] = lambda: False,
    ) -> None:
        """Continue the count of another node.

        :param count: of servers.
        :param servers: those of them that are known by id.
        :param is_lost: tells whether a server counts as ended or cut off at present.
        :param is_cut_off: tells whether all servers count as cut off from this node; others may still reach them.
        """
        self._servers = set(servers)
        self._own: set[ServerId] = set()  # those that this node itself has sent the request to
        self._named: Counter[ServerId] = Counter()  # by how many other nodes each server is named
        self._unnamed = max(0, count - len(self._servers))
        self._is_lost = is_lost
        self._is_cut_off = is_cut_off

    def resume(self, count: int, servers: Iterable[ServerId]) -> Attempts:
        """Make those of a request whose count another node has begun."""
        return Attempts(count, servers, self._is_lost, self._is_cut_off)

    @property
    def count(self) -> int:
        """Give the number of servers that count."""
        return self._unnamed + len(self.servers)

    @property
    def servers(self) -> frozenset[ServerId]:
        """Give the servers that count, as far as this node knows them by id."""
        reached = self._servers - self._own if self._is_cut_off() else self._servers
        return frozenset(server for server in reached if not self._is_lost(server))

    @property
    def known(self) -> frozenset[ServerId]:
        """Give the servers that count, or would if they were not lost at present."""
        return frozenset(self._servers)

    @property
    def has_unnamed(self) -> bool:
        """Tell whether only another node knows some of the servers that count, or may use further ones."""
        return self._unnamed > 0

    def allow(self, server: ServerId, max_attempts: int) -> bool:
        """Tell whether the request may run on a server; once its attempts are spent, only those that count get it."""
        return self.count < max_attempts or server in self.servers

    def record(self, server: ServerId) -> None:
        """Count a server, on which the request may have run."""
        self._servers.add(server)
        self._own.add(server)

    def drop(self, server: ServerId) -> None:
        """Count a server no more, as it has ended."""
        self._servers.discard(server)
        self._own.discard(server)

    def replace_named(self, before: Collection[ServerId], after: Collection[ServerId]) -> None:
        """Count the servers that another node names in place of those that it named before.

        One that a further node names counts on.
        """
        self._named.subtract(before)
        self._named.update(after)
        self._servers -= {server for server in before if not self._named[server]} - self._own
        self._servers |= set(after)

    def add_unnamed(self, number: int) -> None:
        """Add to the servers that only another node knows, or subtract from them."""
        self._unnamed = max(0, self._unnamed + number)


class AttemptLoan:
    """The one attempt that a request takes along to another node.

    It counts from the send on, since a node that does not answer may have used it. A node that could use more might do
    so after its last message, and the first node would not know. A server that the other node names counts by its id:
    each node may ask it again.

    :ivar count: with which the other node begins.
    """

    def __init__(self, attempts: Attempts, max_attempts: int) -> None:
        self._attempts = attempts
        self._is_lent = False
        self._known = attempts.known
        self._named: frozenset[ServerId] = frozenset()  # servers that the other node has used
        self.count = max(attempts.count, max_attempts - 1)
        if attempts.count < max_attempts:
            self._set_lent(is_lent=True)

    @property
    def is_lent(self) -> bool:
        """Tell whether the attempt counts, though no server is known that has used it."""
        return self._is_lent

    def record_begun(self, count: int, servers: Collection[ServerId] = ()) -> None:
        """Count what the other node has used so far; it may use the attempt later, so that this lowers no count.

        :param count: that the other node states.
        :param servers: that count by the other node, as far as it names them.
        """
        self._set_named(frozenset(servers) - self._known)
        self._set_lent(is_lent=not self._named if count > self.count else self._is_lent)

    def settle(self, count: int, servers: Collection[ServerId] = ()) -> None:
        """Count the attempt if the other node, which states its final count, has used it.

        :param servers: that count by the other node, as far as it names them.
        """
        self._set_named(frozenset(servers) - self._known)
        self._set_lent(is_lent=count > self.count and not self._named)

    def take_back(self) -> None:
        """Count the attempt no more, as the other node has sent the request to no server."""
        self._set_named(frozenset())
        self._set_lent(is_lent=False)

    def _set_named(self, servers: frozenset[ServerId]) -> None:
        self._attempts.replace_named(self._named, servers)
        self._named = servers

    def _set_lent(self, *, is_lent: bool) -> None:
        self._attempts.add_unnamed(is_lent - self._is_lent)
        self._is_lent = is_lent


__all__ = ["AttemptLoan", "Attempts"]
