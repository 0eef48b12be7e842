"""Answers of servers in each framing that end whole, early or with a reset, after any number of bytes."""

from __future__ import annotations

import itertools
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from standins.platform.wire import Exchange


class AnswerFraming(Enum):
    """How the answer states where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class Close(Enum):
    """How the connection is closed after the last byte that is sent."""

    FRAMED = "framed"  # after the end that the framing states, even if a part of the body is missing
    ORDERLY = "orderly"
    RESET = "reset"


@dataclass(frozen=True)
class AnswerPlan:
    """How a server sends one answer."""

    framing: AnswerFraming
    close: Close = Close.FRAMED
    sent_bytes: int | None = None  # of the body; None for all
    crashes_server: bool = False  # when the answer ends

    @property
    def is_whole(self) -> bool:
        """Tell whether a caller may take the answer for whole; a server that ends with it may have cut it."""
        return self.sent_bytes is None and self.close is Close.FRAMED and not self.crashes_server


def draw_plan(
    rng: random.Random, pieces: Sequence[bytes], broken_share: float, crash_share: float, *, is_stream: bool
) -> AnswerPlan:
    """Draw a framing, and for a share of the answers a fault at any byte that a caller can tell from a whole answer.

    No caller can if a server that runs on states the end itself, other than inside an event.

    :param crash_share: of the faults, in which the server ends with its answer.
    """
    framing, close = rng.choice(list(AnswerFraming)), rng.choice(list(Close))
    sent_bytes, crashes = rng.randrange(sum(map(len, pieces)) + 1), rng.random() < crash_share
    if rng.random() >= broken_share:
        return AnswerPlan(framing)
    is_closed_as_framed = close is Close.FRAMED or (framing is AnswerFraming.CLOSE and close is Close.ORDERLY)
    if is_closed_as_framed and not (framing is AnswerFraming.CLOSE and crashes):
        if not is_stream:
            close = Close.RESET
        elif sent_bytes in itertools.accumulate(map(len, pieces), initial=0):
            sent_bytes += 1 if sent_bytes == 0 else -1
    return AnswerPlan(framing, close, sent_bytes, crashes)


@dataclass(frozen=True)
class PlannedAnswer:
    """The head and the body of an answer that is sent as planned."""

    plan: AnswerPlan
    headers: dict[str, str]
    pieces: Sequence[bytes]
    make_piece: Callable[[], Awaitable[None]]  # called before each piece; takes the time to make it


async def send_answer(exchange: Exchange, answer: PlannedAnswer, crash: Callable[[], Awaitable[None]]) -> None:
    """Send an answer as planned, and end the connection.

    :param crash: crashes the server.
    """
    plan, headers, pieces, make_piece = answer.plan, answer.headers, answer.pieces, answer.make_piece
    total = sum(map(len, pieces))
    left = total if plan.sent_bytes is None else min(plan.sent_bytes, total)
    framing = {
        AnswerFraming.LENGTH: {"Content-Length": str(left if plan.close is Close.FRAMED else total)},
        AnswerFraming.CHUNKS: {"Transfer-Encoding": "chunked"},
        AnswerFraming.CLOSE: {},
    }[plan.framing]
    lines = [f"{name}: {value}" for name, value in {**headers, **framing, "Connection": "close"}.items()]
    head = ("\r\n".join(["HTTP/1.1 200 OK", *lines]) + "\r\n\r\n").encode()
    for piece in pieces:
        if not left:
            break
        await make_piece()
        data, left = piece[:left], max(0, left - len(piece))
        await exchange.send_raw(head + _frame(plan.framing, data))
        head = b""
    if head:
        await make_piece()
        await exchange.send_raw(head)
    if plan.close is Close.FRAMED and plan.framing is AnswerFraming.CHUNKS:
        await exchange.send_raw(b"0\r\n\r\n")
    await exchange.flush()
    if plan.crashes_server:
        await crash()
    await (exchange.reset() if plan.close is Close.RESET else exchange.close())


def _frame(framing: AnswerFraming, data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if framing is AnswerFraming.CHUNKS else data


__all__ = ["AnswerFraming", "AnswerPlan", "Close", "PlannedAnswer", "draw_plan", "send_answer"]
