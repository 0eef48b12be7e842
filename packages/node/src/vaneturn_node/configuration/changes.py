"""Changes to the configuration by operators."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import Final

import anyio

from vaneturn_core.configuration.check import check_configuration
from vaneturn_core.configuration.document import (
    CONFIGURATION_KEY,
    compute_next_revision,
    decode_configuration,
    encode_configuration,
    find_change,
    record_change,
)
from vaneturn_core.configuration.schema import Change, ClaimMode, Configuration
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import ChangeId, Revision, StoreVersion
from vaneturn_core.ports import Conflict, Entry, KeyValueService, Unavailable
from vaneturn_node.configuration.inforce import ConfigurationInForce

SETTLE_TIMEOUT_S: Final = 5.0  # to find out whether a write with a lost answer took effect
SETTLE_RETRY_DELAY_S: Final = 0.2

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Applied:
    """The change is accepted and in force on this node."""

    change: Change


@dataclass(frozen=True)
class Rejected:
    """The declarations have faults; nothing was changed."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True)
class Overtaken:
    """Another change came first; nothing was changed."""

    winner: Change | None


@dataclass(frozen=True)
class NotAccepted:
    """The key-value service could not be read; nothing was changed."""

    cause: str


@dataclass(frozen=True)
class Unsettled:
    """It is not known yet whether the change took effect; query its id later."""

    change: ChangeId


ChangeResult = Applied | Rejected | Overtaken | NotAccepted | Unsettled


@dataclass(frozen=True)
class Proposal:
    """A complete new configuration, and the revision that it was derived from."""

    id: ChangeId
    operator: str
    summary: str
    declared: Configuration
    based_on: Revision


@dataclass(frozen=True)
class _Stored:
    configuration: Configuration
    version: StoreVersion


class Changes:
    """Checks changes and writes them by compare-and-swap on one key."""

    def __init__(self, store: KeyValueService, in_force: ConfigurationInForce) -> None:
        self._store = store
        self._in_force = in_force

    async def apply(self, proposal: Proposal) -> ChangeResult:
        """Apply a change, or return why not; the same id is never applied twice."""
        faults = check_configuration(proposal.declared)
        if faults:
            return Rejected(tuple(faults))
        stored = await self._read()
        if isinstance(stored, Unavailable):
            return NotAccepted(stored.cause)
        newest = max(stored.configuration, self._in_force.view.configuration, key=lambda known: known.revision)
        earlier = find_change(newest, proposal.id)
        if earlier is not None:
            return Applied(earlier)
        if newest.revision != proposal.based_on:
            return Overtaken(newest.changes[-1] if newest.changes else None)
        if newest.claims is ClaimMode.BY_SLOT and proposal.declared.claims is ClaimMode.BY_KEY:
            return Rejected((Fault("$.claims", "expected by_slot, a request claimed by slot could run again by key"),))
        return await self._write(proposal, newest, stored.version)

    async def _write(self, proposal: Proposal, newest: Configuration, version: StoreVersion) -> ChangeResult:
        revision = compute_next_revision(newest.revision)
        change = Change(
            id=proposal.id,
            revision=revision,
            operator=proposal.operator,
            time=time.time(),
            summary=proposal.summary,
        )
        data = encode_configuration(record_change(proposal.declared, newest, change))
        result = await self._store.write(CONFIGURATION_KEY, data, version)
        if isinstance(result, Unavailable | Conflict):
            return await self._resolve_write(proposal.id)
        self._in_force.offer(data)
        return Applied(change)

    async def _resolve_write(self, change: ChangeId) -> ChangeResult:
        """Find out whether the change is in the store, after a lost answer or a conflict."""
        with anyio.move_on_after(SETTLE_TIMEOUT_S):
            while True:
                entry = await self._store.read(CONFIGURATION_KEY)
                if isinstance(entry, Entry):
                    return self._find_result(entry, change)
                await anyio.sleep(SETTLE_RETRY_DELAY_S)
        return Unsettled(change)

    def _find_result(self, entry: Entry, change: ChangeId) -> ChangeResult:
        configuration = decode_configuration(entry.value) if entry.value else Configuration()
        if isinstance(configuration, Fault):
            return Unsettled(change)
        self._in_force.offer(entry.value)
        found = find_change(configuration, change)
        if found is not None:
            return Applied(found)
        return Overtaken(configuration.changes[-1] if configuration.changes else None)

    async def _read(self) -> _Stored | Unavailable:
        entry = await self._store.read(CONFIGURATION_KEY)
        if isinstance(entry, Unavailable):
            return entry
        if not entry.value:
            return _Stored(Configuration(), entry.version)
        configuration = decode_configuration(entry.value)
        if isinstance(configuration, Fault):
            return Unavailable(f"the store holds a malformed document: {configuration}")
        return _Stored(configuration, entry.version)


__all__ = ["Applied", "ChangeResult", "Changes", "NotAccepted", "Overtaken", "Proposal", "Rejected", "Unsettled"]
