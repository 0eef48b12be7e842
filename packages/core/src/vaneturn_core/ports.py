"""Interfaces to the platform; adapters live in the packages that use them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from vaneturn_core.identifiers import StoreVersion, VmId


@dataclass(frozen=True)
class Entry:
    """A key's value and version; an absent key has version 0."""

    value: bytes
    version: StoreVersion


@dataclass(frozen=True)
class Conflict:
    """The key had another version, so nothing was written."""

    version: StoreVersion


@dataclass(frozen=True)
class Unavailable:
    """No answer came; a write may have taken effect all the same."""

    cause: str


class KeyValueService(Protocol):
    """The platform's key-value service. Each call counts against its rate, a waiting watch as one."""

    async def read(self, key: str) -> Entry | Unavailable:
        """Read a key."""

    async def watch(self, key: str, after: StoreVersion, wait: float) -> Entry | Unavailable | None:
        """Wait until the key has another version than the given one; none when the wait (seconds) ran out."""

    async def write(self, key: str, value: bytes, expected: StoreVersion) -> StoreVersion | Conflict | Unavailable:
        """Write a key if it has the expected version."""


class VmList(Protocol):
    """The platform's list of VMs, which lags."""

    async def list_leaving(self) -> frozenset[VmId] | Unavailable:
        """List the VMs that are leaving."""


__all__ = ["Conflict", "Entry", "KeyValueService", "Unavailable", "VmList"]
