"""Claims that are compare-and-swap writes in the key-value service, with one key for each request."""

from __future__ import annotations

import hashlib
import logging
import uuid
from enum import Enum
from typing import Final

import msgspec
from msgspec import Struct

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.identifiers import CustomerName, NodeId, RepeatKey
from vaneturn_core.outcomes import NotRun, Reason, Unknown
from vaneturn_core.ports import Conflict, Entry, KeyValueService, Unavailable
from vaneturn_node.claims.ports import Claim

CLAIM_KEY_PREFIX: Final = "vaneturn/claims/"

logger = logging.getLogger(__name__)


class ClaimState(Enum):
    """State of a claimed request."""

    HELD = "held"  # the request may have run
    RELEASED = "released"  # the request was not run and may be claimed again


class ClaimRecord(Struct, frozen=True):
    """The value stored under the key of a claim."""

    id: str
    node: NodeId
    state: ClaimState


class ClaimsByKey:
    """Claims requests with at most two writes each and keeps no state in the node."""

    def __init__(self, store: KeyValueService, node: NodeId) -> None:
        self._store = store
        self._node = node

    async def claim(self, customer: CustomerName, repeat_key: RepeatKey) -> Claim | NotRun | Unknown:
        """Claim a request, or return why it is not run."""
        key = compute_claim_key(customer, repeat_key)
        entry = await self._store.read(key)
        if isinstance(entry, Unavailable):
            return NotRun(Reason.CLAIM_STORE_DOWN)
        if _is_held(entry):
            return Unknown(Reason.CLAIMED)
        record = ClaimRecord(uuid.uuid4().hex, self._node, ClaimState.HELD)
        result = await self._store.write(key, msgspec.json.encode(record), entry.version)
        if isinstance(result, Conflict):
            return Unknown(Reason.CLAIMED)
        if isinstance(result, Unavailable):
            return await self._resolve_write(customer, repeat_key, record)
        return Claim(record.id, customer, repeat_key, result)

    async def _resolve_write(
        self, customer: CustomerName, repeat_key: RepeatKey, record: ClaimRecord
    ) -> Claim | NotRun | Unknown:
        """Find out whether the claim was won, after the answer to its write was lost."""
        key = compute_claim_key(customer, repeat_key)
        entry = await self._store.read(key)
        if isinstance(entry, Unavailable):
            # The request is not run, but the claim may be stored: a retry with this key may be refused as claimed.
            return NotRun(Reason.CLAIM_STORE_DOWN)
        stored = _decode_record(entry.value)
        if stored is not None and stored.id == record.id:
            return Claim(record.id, customer, repeat_key, entry.version)
        if _is_held(entry):
            return Unknown(Reason.CLAIMED)
        return NotRun(Reason.CLAIM_STORE_DOWN)

    async def release(self, claim: Claim) -> None:
        """Release the claim of a request that was not run, so that the caller may retry."""
        record = ClaimRecord(claim.id, self._node, ClaimState.RELEASED)
        if claim.version is None:
            raise AssertionError("a claim by key has a version")
        key = compute_claim_key(claim.customer, claim.repeat_key)
        await self._store.write(key, msgspec.json.encode(record), claim.version)


def compute_claim_key(customer: CustomerName, repeat_key: RepeatKey) -> str:
    """Compute the key of a claim; the repeat key itself does not appear in it."""
    digest = hashlib.sha256(f"{customer}\0{repeat_key}".encode()).hexdigest()
    return CLAIM_KEY_PREFIX + digest[:32]


def _is_held(entry: Entry) -> bool:
    if not entry.value:
        return False
    record = _decode_record(entry.value)
    return record is None or record.state is ClaimState.HELD  # who has claimed it cannot be known from a malformed one


def _decode_record(value: bytes) -> ClaimRecord | None:
    """Decode the record of a claim; None if there is none, or it is malformed."""
    try:
        return decode_json(value, ClaimRecord) if value else None
    except MalformedError as error:
        logger.warning("claim not understood", extra={"fault": str(error)})
        return None


__all__ = ["ClaimsByKey", "compute_claim_key"]
