"""Byte-level tokens of a prompt."""

from __future__ import annotations

from vaneturn_core.engine.messages import TOKEN_BYTES


def encode_prompt(text: bytes | bytearray) -> bytes:
    """Encode a prompt in UTF-8 as tokens of four bytes each; the last one is padded with zeros."""
    return b"".join((text, bytes(-len(text) % TOKEN_BYTES)))


def encode_token(token: int) -> bytes:
    """Encode one generated token."""
    return token.to_bytes(TOKEN_BYTES, "big")


def count_tokens(tokens: bytes | bytearray) -> int:
    """Count encoded tokens."""
    return len(tokens) // TOKEN_BYTES


__all__ = ["count_tokens", "encode_prompt", "encode_token"]
