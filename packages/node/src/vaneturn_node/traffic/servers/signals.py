"""A signal that wakes one waiting task."""

from __future__ import annotations

import anyio


class Signal:
    """Wakes the one task that waits for it; if given while no task waits, the next wait returns at once."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake the task."""
        self._event.set()

    async def wait(self) -> None:
        """Wait until the signal is given, then reset it."""
        await self._event.wait()
        self._event = anyio.Event()


__all__ = ["Signal"]
