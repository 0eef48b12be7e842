"""Takes requests back from other nodes, and learns which attempts they have used."""

from __future__ import annotations

import contextlib
from typing import Final

import anyio
from anyio.abc import TaskGroup

from vaneturn_core.traffic.completeness import Ending
from vaneturn_node.http1.link import HttpLink, LinkError
from vaneturn_node.traffic.serving.attempts import AttemptLoan
from vaneturn_node.traffic.sharing.forwarding import AnswerKind, read_marks

WITHDRAWAL_TIMEOUT_S: Final = 1.0  # for the answer of a node that is to stop; a healthy one sends it at once


class Withdrawals:
    """Reads what other nodes have used of the requests that they are to stop.

    A node stops once the connection sends no more, and states its final count in its answer. Without that answer, the
    attempt stays lent.
    """

    def __init__(self) -> None:
        self._tasks: TaskGroup | None = None  # None while nothing runs in the background

    async def run(self) -> None:
        """Read answers until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                await anyio.sleep_forever()
        finally:
            self._tasks = None

    async def withdraw(self, link: HttpLink, loan: AttemptLoan | None) -> None:
        """Stop the work of another node on a request, without a wait; its count settles the loan later.

        :param loan: None for a request that was not sent.
        """
        if self._tasks is not None and loan is not None and loan.is_lent and _may_answer(link):
            self._tasks.start_soon(self._settle, link, loan)
            return
        await _abort(link)

    async def _settle(self, link: HttpLink, loan: AttemptLoan) -> None:
        try:
            with anyio.move_on_after(WITHDRAWAL_TIMEOUT_S), contextlib.suppress(LinkError, RuntimeError):
                await link.connection.stream.send_eof()  # a RuntimeError means that the connection is closing
                await _read_final_count(link, loan)
        finally:
            await _abort(link)


def _may_answer(link: HttpLink) -> bool:
    """Tell whether more of the answer to a request that was sent may arrive."""
    is_open = link.ending is None or link.ending is Ending.SILENT
    return link.was_sent and is_open and link.connection.is_used_by(link)


async def _read_final_count(link: HttpLink, loan: AttemptLoan) -> None:
    """Read an answer to its end.

    :raises LinkError: it did not arrive.
    """
    if link.framing is None:
        marks = read_marks((await link.read_head(WITHDRAWAL_TIMEOUT_S)).headers)
        if marks is None:
            return
        if marks.kind is not AnswerKind.SERVER:
            loan.settle(marks.runs, marks.attempted)
            return
        loan.record_begun(marks.runs, marks.attempted)
    while await link.read_data(WITHDRAWAL_TIMEOUT_S) is not None:
        pass
    marks = read_marks(link.trailers)
    if marks is not None and marks.kind is AnswerKind.BROKEN_OFF:
        loan.settle(marks.runs, marks.attempted)


async def _abort(link: HttpLink) -> None:
    with anyio.CancelScope(shield=True):
        await link.abort()


__all__ = ["Withdrawals"]
