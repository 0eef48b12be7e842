"""The connections that wait for a request, which a planned stop closes."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import anyio


class IdleConnections:
    """Ends the waits of connections for a request."""

    def __init__(self) -> None:
        self._waits: dict[anyio.CancelScope, bool] = {}  # whether the connection has served a request

    @contextmanager
    def wait(self, *, is_used: bool) -> Iterator[None]:
        """Leave the block, without an exception, when the connection is to close.

        :param is_used: whether the connection has served a request.
        """
        with anyio.CancelScope() as scope:
            self._waits[scope] = is_used
            try:
                yield
            finally:
                del self._waits[scope]

    def close_used(self) -> None:
        """Close the connections that have served a request; the clients of the others are about to send one."""
        for scope in [scope for scope, is_used in self._waits.items() if is_used]:
            scope.cancel()

    def close_all(self) -> None:
        """Close all connections that wait for a request."""
        for scope in list(self._waits):
            scope.cancel()

    def __len__(self) -> int:
        """Count the connections that wait for a request."""
        return len(self._waits)


__all__ = ["IdleConnections"]
