"""Seals on messages between nodes: a keyed digest, so that messages from other installations are ignored."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

SEAL_BYTES: Final = 8


class Sealer:
    """Adds and checks seals under the cluster key."""

    def __init__(self, cluster_key: str) -> None:
        self._key = hashlib.sha256(cluster_key.encode()).digest()

    def seal(self, payload: bytes) -> bytes:
        """Prepend the seal to a payload."""
        return self._digest(payload) + payload

    def open(self, message: bytes) -> bytes | None:
        """Return the payload of a sealed message, or None if the seal does not match the cluster key."""
        payload = message[SEAL_BYTES:]
        if not hmac.compare_digest(message[:SEAL_BYTES], self._digest(payload)):
            return None
        return payload

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=SEAL_BYTES).digest()


__all__ = ["Sealer"]
