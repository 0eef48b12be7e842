"""Seals on messages between nodes: a keyed digest, so that only nodes of one installation are heard."""

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
        """Put a seal before a payload."""
        return self._digest(payload) + payload

    def open(self, message: bytes) -> bytes | None:
        """Take the payload of a sealed message; none when the seal is not ours."""
        payload = message[SEAL_BYTES:]
        if not hmac.compare_digest(message[:SEAL_BYTES], self._digest(payload)):
            return None
        return payload

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=SEAL_BYTES).digest()


__all__ = ["Sealer"]
