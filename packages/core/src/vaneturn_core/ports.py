"""Interfaces to the platform; the adapters are in the packages that use them."""

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
    """No answer arrived; a write may still have taken effect."""

    cause: str


class KeyValueService(Protocol):
    """The platform's key-value service. Each call counts against its rate limit; a waiting watch counts as one call."""

    async def read(self, key: str) -> Entry | Unavailable:
        """Read a key."""

    async def watch(self, key: str, after: StoreVersion, wait: float) -> Entry | Unavailable | None:
        """Wait until the key's version differs from the given one; None after `wait` seconds without a change."""

    async def write(self, key: str, value: bytes, expected: StoreVersion) -> StoreVersion | Conflict | Unavailable:
        """Write a key if it has the expected version."""


class VmList(Protocol):
    """The platform's list of VMs, which may be out of date."""

    async def list_leaving(self) -> frozenset[VmId] | Unavailable:
        """List the VMs that are leaving."""


__all__ = ["Conflict", "Entry", "KeyValueService", "Unavailable", "VmList"]
