"""Crashes of servers as they are sent between nodes and kept in the store."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from vaneturn_core.decoding import require_unsigned
from vaneturn_core.traffic.blame.contents import Content, PromptPart
from vaneturn_core.traffic.blame.crashes import ServerCrash, Suspicion
from vaneturn_core.traffic.servers import ServerId, Software

Checksum = Annotated[int, Meta(ge=0, lt=2**32)]  # of all crashes that a node knows of


class CrashRow(Struct, array_like=True):
    """The crash of a server, as sent between nodes."""

    server: str
    age: float  # seconds
    software: str
    suspects: list[tuple[int, int]]  # content or part of a prompt, and suspicion
    requests: list[tuple[int, list[int]]] = []  # suspected contents, with the parts of their prompts


def pack_crashes(crashes: dict[ServerId, ServerCrash], now: float) -> list[CrashRow]:
    """Pack crashes with their ages."""
    return [
        CrashRow(
            server,
            round(now - crash.at, 3),
            crash.software,
            [(identity, int(suspicion)) for identity, suspicion in crash.suspects.items()],
            [(content, list(parts)) for content, parts in crash.requests.items()],
        )
        for server, crash in crashes.items()
    ]


def unpack_crashes(rows: list[CrashRow], now: float) -> dict[ServerId, ServerCrash]:
    """Unpack crashes whose ages count from a monotonic time.

    :raises ValueError: a row contains an unknown suspicion, or an identity that is none.
    """
    for row in rows:
        require_unsigned(*(identity for identity, _ in row.suspects))
        require_unsigned(*(identity for content, parts in row.requests for identity in (content, *parts)))
    return {
        ServerId(row.server): ServerCrash(
            now - max(0.0, row.age),
            Software(row.software),
            {Content(identity): Suspicion(suspicion) for identity, suspicion in row.suspects},
            {Content(content): tuple(map(PromptPart, parts)) for content, parts in row.requests},
        )
        for row in rows
    }


__all__ = ["Checksum", "CrashRow", "pack_crashes", "unpack_crashes"]
