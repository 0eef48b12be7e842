"""Rendering of chat messages as the prompt of a model."""

from __future__ import annotations

from collections.abc import Sequence

from vaneturn_node.http.chatformat import ChatMessage


def render_prompt(messages: Sequence[ChatMessage]) -> str:
    """Render a conversation as one text that the answer continues."""
    turns = [f"<|{message.role}|>\n{message.read_text()}\n" for message in messages]
    return "".join(turns) + "<|assistant|>\n"


__all__ = ["render_prompt"]
