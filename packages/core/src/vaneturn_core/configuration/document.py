"""Encoding and decoding of the configuration document."""

from __future__ import annotations

from typing import Any, Final

import msgspec
import xxhash

from vaneturn_core.configuration.schema import Change, Configuration
from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import ChangeId, Revision

KEPT_CHANGES: Final = 256  # covers five hours at 1,100 changes per day
CONFIGURATION_KEY: Final = "vaneturn/configuration"


def decode_configuration(data: bytes) -> Configuration | Fault:
    """Decode a document and check it against the schema."""
    try:
        return decode_json(data, Configuration)
    except MalformedError as error:
        return error.fault


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a document as it is stored in the key-value service."""
    return msgspec.json.encode(configuration)


def digest_configuration(data: bytes) -> str:
    """Compute the digest of an encoded document."""
    return xxhash.xxh3_128_hexdigest(data)


def describe_schema() -> dict[str, Any]:
    """Return the JSON Schema of the document."""
    return msgspec.json.schema(Configuration)


def record_change(declared: Configuration, newest: Configuration, change: Change) -> Configuration:
    """Make the next document; its revision and changes are derived from the newest one, not from the declaration."""
    kept = (*newest.changes, change)[-KEPT_CHANGES:]
    return msgspec.structs.replace(declared, revision=change.revision, changes=kept)


def compute_next_revision(*known: Revision) -> Revision:
    """Return the revision that follows the highest known one."""
    return Revision(max(known, default=0) + 1)


def find_change(configuration: Configuration, change: ChangeId) -> Change | None:
    """Find an accepted change by its id; None if it is not in the document."""
    return next((entry for entry in configuration.changes if entry.id == change), None)


__all__ = [
    "CONFIGURATION_KEY",
    "KEPT_CHANGES",
    "compute_next_revision",
    "decode_configuration",
    "describe_schema",
    "digest_configuration",
    "encode_configuration",
    "find_change",
    "record_change",
]
