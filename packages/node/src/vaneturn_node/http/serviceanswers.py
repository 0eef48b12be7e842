"""Answers of plain services, read whole within the byte budget of the process."""

from __future__ import annotations

import socket
from typing import Final

import httpx

from vaneturn_node.bytebudget import ByteHolder

MAX_ANSWER_BYTES: Final = 12 << 20  # more than the longest body of a request, which an answer may repeat
HELD_PER_BYTE: Final = 1.5  # of an answer, with the buffers in which its parts arrive
RECEIVE_BUFFER_BYTES: Final = 1 << 16  # of a connection; the event loop reads all of it before a task counts it


class AnswerTooLongError(Exception):
    """An answer has more bytes than a node keeps."""


def make_transport(limits: httpx.Limits) -> httpx.AsyncHTTPTransport:
    """Make the transport for calls of services, with short buffers for what is not counted yet."""
    options = [(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)]
    return httpx.AsyncHTTPTransport(limits=limits, socket_options=options)


async def read_answer(response: httpx.Response, holder: ByteHolder) -> bytes:
    """Read the body of an answer, which stays in the budget until its holder is released.

    :param holder: may be evicted for smaller ones until the answer is whole.
    :raises AnswerTooLongError: the body is too long.
    :raises BudgetUsedUpError: there is no room for it, or it was evicted.
    :raises HTTPError: the connection was lost.
    """
    body = bytearray()
    holder.on_evict = body.clear
    async for part in response.aiter_bytes():
        if len(body) + len(part) > MAX_ANSWER_BYTES:
            raise AnswerTooLongError
        holder.grow(int(HELD_PER_BYTE * (len(body) + len(part))))
        body += part
    holder.complete()
    return bytes(body)


__all__ = ["AnswerTooLongError", "read_answer"]
