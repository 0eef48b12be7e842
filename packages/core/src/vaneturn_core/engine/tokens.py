"""Byte-level tokens of a prompt."""

from __future__ import annotations

from vaneturn_core.engine.messages import TOKEN_BYTES


def encode_prompt(text: str) -> bytes:
    """Encode a prompt as tokens of four UTF-8 bytes each; the last one is padded with zeros."""
    data = text.encode()
    return data + bytes(-len(data) % TOKEN_BYTES)


def encode_token(token: int) -> bytes:
    """Encode one generated token."""
    return token.to_bytes(TOKEN_BYTES, "big")


def count_tokens(tokens: bytes | bytearray) -> int:
    """Count encoded tokens."""
    return len(tokens) // TOKEN_BYTES


__all__ = ["count_tokens", "encode_prompt", "encode_token"]
