"""Tells the requests over a lost server of it, so that each need not find out for itself."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import anyio

from vaneturn_core.traffic.servers import ServerId


class Listener:
    """One request that waits for bytes of its answer."""

    def __init__(self) -> None:
        self._scope: anyio.CancelScope | None = None

    @contextmanager
    def listen(self) -> Iterator[None]:
        """Wait inside; an alarm ends the wait without an error."""
        with anyio.CancelScope() as self._scope:
            yield
        self._scope = None

    def wake(self) -> None:
        """End the wait, if there is one."""
        if self._scope is not None:
            self._scope.cancel()


class LossAlarm:
    """Who listens for the loss of which server."""

    def __init__(self) -> None:
        self._listeners: defaultdict[ServerId, set[Listener]] = defaultdict(set)

    def add(self, listener: Listener, servers: Iterable[ServerId]) -> None:
        """Let a request listen for the loss of the servers of its chain."""
        for server in servers:
            self._listeners[server].add(listener)

    def remove(self, listener: Listener, servers: Iterable[ServerId]) -> None:
        """Let it listen no more."""
        for server in servers:
            listeners = self._listeners[server]
            listeners.discard(listener)
            if not listeners:
                del self._listeners[server]

    def sound(self, server: ServerId) -> None:
        """Wake the requests over a lost server."""
        for listener in self._listeners.get(server, ()):
            listener.wake()


__all__ = ["Listener", "LossAlarm"]
