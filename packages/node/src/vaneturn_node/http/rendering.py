"""Rendering of chat messages as the prompt of a model."""

from __future__ import annotations

from collections.abc import Sequence

from vaneturn_node.http.chatformat import ChatMessage


def render_prompt(messages: Sequence[ChatMessage]) -> bytearray:
    """Render a conversation as one UTF-8 text that the answer continues."""
    prompt = bytearray()  # encoded piece by piece, as a text takes up to four times the bytes
    for message in messages:
        prompt += f"<|{message.role}|>\n".encode()
        for text in message.list_texts():
            prompt += text.encode()
        prompt += b"\n"
    prompt += b"<|assistant|>\n"
    return prompt


__all__ = ["render_prompt"]
