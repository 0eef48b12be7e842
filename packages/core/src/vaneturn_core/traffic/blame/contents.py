"""What can be blamed when a server crashes under a request: its content, and the parts of its prompt that it shares."""

from __future__ import annotations

import hashlib
import string
from dataclasses import dataclass
from functools import cached_property
from typing import Final, NewType

Content = NewType("Content", int)  # a digest of 64 bits, the same on every node and for every retry of a client
PromptPart = NewType("PromptPart", int)  # the id of a part that prompts share, of at most 64 bits
Identity = Content | PromptPart  # parts and contents do not collide: contents are digests

CONTENT_BYTES: Final = 8
SHORT_ID_BITS: Final = 32  # ids of parts up to this length are formatted with 8 digits, longer ones with 16


@dataclass(frozen=True)
class Fingerprint:
    """All identities of a request."""

    content: Content
    parts: tuple[PromptPart, ...] = ()  # of its prompt, but the last one, which no other request has

    @cached_property
    def identities(self) -> frozenset[Identity]:
        """Give the content and the parts."""
        return frozenset((self.content, *self.parts))


def digest_content(host: str, method: str, target: str, caller: str, body: bytes) -> Content:
    """Digest the parts of a request that are the same in a retry: its target, its caller and its body.

    :param caller: customer, or key if the customer is not known; empty for a request without a key.
    """
    hasher = hashlib.blake2b(f"{host}\0{method}\0{target}\0{caller}\0".encode(), digest_size=CONTENT_BYTES)
    hasher.update(body)
    return Content(int.from_bytes(hasher.digest(), "big"))


def format_content(content: Content) -> str:
    """Format a digest for logs and operators."""
    return f"{content:0{2 * CONTENT_BYTES}x}"


def format_identity(identity: Identity) -> str:
    """Format a content as above, or a part of a prompt as in the headers of requests."""
    digits = 8 if identity < 1 << SHORT_ID_BITS else 2 * CONTENT_BYTES
    return f"{identity:0{digits}x}"


def parse_identity(text: str) -> Identity | None:
    """Parse a formatted content or part; None if the text is neither."""
    is_hexadecimal = 0 < len(text) <= 2 * CONTENT_BYTES and all(digit in string.hexdigits for digit in text)
    return Content(int(text, 16)) if is_hexadecimal else None


__all__ = [
    "Content",
    "Fingerprint",
    "Identity",
    "PromptPart",
    "digest_content",
    "format_content",
    "format_identity",
    "parse_identity",
]
