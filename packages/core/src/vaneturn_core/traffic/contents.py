"""Digests of what a request asks for: the same on every node and for every retry of a client."""

from __future__ import annotations

import hashlib
from typing import Final, NewType

Content = NewType("Content", int)  # a digest of 64 bits

CONTENT_BYTES: Final = 8


def digest_content(host: str, method: str, target: str, caller: str, body: bytes) -> Content:
    """Digest the parts of a request that are the same in a retry: its target, its caller and its body.

    :param caller: customer, or key if the customer is not known; empty for a request without a key.
    """
    head = f"{host}\0{method}\0{target}\0{caller}\0".encode()
    digest = hashlib.blake2b(head + body, digest_size=CONTENT_BYTES).digest()
    return Content(int.from_bytes(digest, "big"))


def format_content(content: Content) -> str:
    """Format a digest for logs and operators."""
    return f"{content:0{2 * CONTENT_BYTES}x}"


__all__ = ["Content", "digest_content", "format_content"]
