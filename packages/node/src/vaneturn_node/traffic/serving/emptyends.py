"""Decides whether a stream is over when the answer to a resumed request has no event."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from vaneturn_core.traffic.servers import ServerId
from vaneturn_node.traffic.serving.outcomes import Answered

AGREEING_SERVERS: Final = 2  # without an event after the newest one, where that event cannot be repeated


class EmptyEnds:
    """The servers that had no event after the newest one of a stream.

    They prove nothing: a faulty server may send such an answer too, and the client would take the stream for whole.
    The next server is asked to repeat the newest event, and its own end is the end of the stream. Only a node that has
    not relayed the newest event itself, and does not know where such an answer is to begin, takes the stream for over
    when two servers agree.

    :ivar answer: the newest of their answers whose end is stated by its framing; None before the first.
    """

    def __init__(self) -> None:
        self._servers: set[ServerId] = set()
        self.answer: Answered | None = None

    @property
    def servers(self) -> frozenset[ServerId]:
        """Give the servers that had no event after the newest one."""
        return frozenset(self._servers)

    def record(self, server: ServerId, answer: Answered | None) -> bool:
        """Record an answer without events; return whether the stream is over.

        :param answer: None if only the end of its connection marks its end.
        """
        self._servers.add(server)
        self.answer = answer or self.answer
        return len(self._servers) >= AGREEING_SERVERS

    def add(self, servers: Iterable[ServerId]) -> None:
        """Add servers of which another node has learned that they have no event after the newest one."""
        self._servers.update(servers)

    def clear(self) -> None:
        """Forget all, as the stream has gone on."""
        self._servers.clear()
        self.answer = None


__all__ = ["EmptyEnds"]
