"""Turns in which connections parse bodies of many parts, so that these leave the event loop to the others."""

from __future__ import annotations

from typing import Final

import anyio
import anyio.lowlevel

EVENTS_PER_TURN: Final = 32  # parts of a body that are parsed in one turn, about half a millisecond


class ParsingTurns:
    """One turn for each step of the event loop, given in the order of the requests for it."""

    def __init__(self) -> None:
        self._lock = anyio.Lock()

    async def take(self) -> None:
        """Wait for the next turn."""
        async with self._lock:
            await anyio.lowlevel.checkpoint()


__all__ = ["EVENTS_PER_TURN", "ParsingTurns"]
