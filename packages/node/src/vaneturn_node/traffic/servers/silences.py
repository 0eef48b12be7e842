"""Finds the servers that have been silent for so long that they count as ended or cut off.

A healthy server may be silent for a second or so and go on, so a short silence says nothing of it.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from typing import Final

import anyio
from anyio import CancelScope

from vaneturn_core.traffic.servers import BackendServer, ServerId
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.link import HttpLink, LinkError
from vaneturn_node.platform.servers import ServerReport
from vaneturn_node.traffic.servers.reports import ReportBoard
from vaneturn_node.traffic.servers.signals import Signal

# Longer than a healthy server is silent, and no longer than clients wait for the next event.
MIN_SILENCE_S: Final = 2.0
QUESTION_TIMEOUT_S: Final = 0.1  # of a connection to a silent server; a healthy one accepts within a few milliseconds
QUESTION_INTERVAL_S: Final = 0.2
SLOW_QUESTION_INTERVAL_S: Final = 0.5  # the same once a connection has opened, or the server counts as lost
MAX_QUESTION_GAP_S: Final = 1.0  # between two questions; after a longer one, e.g. a suspension, a silence begins anew
MAX_WATCH_S: Final = 30.0  # of one server; longer than requests take

CanReachOthers = Callable[[Collection[ServerId], float], Awaitable[bool]]

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Silence:
    """A server from which nothing arrives; all times are monotonic."""

    server: BackendServer
    begun_at: float  # of the watch
    asked_at: float  # newest question
    since: float | None  # first of the questions in a row without any answer
    is_lost: bool = False  # has ended, or has been silent for MIN_SILENCE_S
    is_over: bool = False  # something has arrived


class SilenceWatch:
    """Asks silent servers for connections and reports until they answer.

    A server is lost if no connection opens for MIN_SILENCE_S while this node reaches others, or if its address belongs
    to no process or to another one. It is no longer lost once anything arrives from it.
    """

    def __init__(self, reports: ReportBoard, can_reach_others: CanReachOthers) -> None:
        self._reports = reports
        self._can_reach_others = can_reach_others
        self._silences: dict[ServerId, _Silence] = {}
        self._added: list[_Silence] = []  # not watched yet
        self._has_added = Signal()

    def watch(self, server: BackendServer, asked_at: float) -> None:
        """Begin to watch a server that has not answered a question, unless it is being watched.

        :param asked_at: monotonic time of the question.
        """
        if server.id in self._silences:
            return
        silence = self._silences[server.id] = _Silence(server, read_clock(), asked_at, asked_at)
        self._added.append(silence)
        self._has_added.notify()

    def is_silent(self, server: ServerId) -> bool:
        """Tell whether nothing arrives from a server at present; it may go on soon."""
        silence = self._silences.get(server)
        return silence is not None and not silence.is_over and (silence.is_lost or silence.since is not None)

    def is_lost(self, server: ServerId) -> bool:
        """Tell whether a server counts as ended or cut off."""
        silence = self._silences.get(server)
        return silence is not None and silence.is_lost

    def record_heard(self, server: ServerId) -> None:
        """Record that something has arrived from a server."""
        silence = self._silences.get(server)
        if silence is not None:
            self._end(silence)

    async def run(self) -> None:
        """Watch servers until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._has_added.wait()
                added, self._added = self._added, []
                for silence in added:
                    tasks.start_soon(self._watch, silence)

    async def _watch(self, silence: _Silence) -> None:
        try:
            while not silence.is_over and read_clock() < silence.begun_at + MAX_WATCH_S:
                await anyio.sleep(max(0.0, _get_next_question_at(silence) - read_clock()))
                if not silence.is_over:
                    await self._ask(silence)
        finally:
            del self._silences[silence.server.id]

    async def _ask(self, silence: _Silence) -> None:
        now = read_clock()
        if silence.since is None or now > silence.asked_at + MAX_QUESTION_GAP_S:
            silence.since = now
        silence.asked_at = now
        try:
            link = await HttpLink.open(silence.server.address, QUESTION_TIMEOUT_S)
        except LinkError as error:
            await self._judge(silence, error)
            return
        with CancelScope(shield=True):
            await link.abort()
        report = await self._reports.read(silence.server, 0.0)
        if self._reports.is_gone(silence.server.id):
            self._set_lost(silence, "another server has its address")
        elif isinstance(report, ServerReport) or report.has_answered:
            self._end(silence)
        else:
            self._begin_anew(silence)

    async def _judge(self, silence: _Silence, error: LinkError) -> None:
        """Decide what a failed connection says of a server."""
        if error.is_reset:
            self._begin_anew(silence)
            return
        if not await self._can_reach_others(self._silences.keys(), silence.asked_at):
            silence.since = None
            return
        if error.is_refused:  # by its own address; a node that is cut off may see refusals from all of them
            self._set_lost(silence, "refuses connections")
            return
        if silence.since is not None and silence.asked_at >= silence.since + MIN_SILENCE_S:
            self._set_lost(silence, "silent")

    def _set_lost(self, silence: _Silence, cause: str) -> None:
        if not silence.is_lost and not silence.is_over:
            silence.is_lost = True
            silent_for_s = round(silence.asked_at - (silence.since or silence.asked_at), 3)
            extra = {"server": silence.server.id, "cause": cause, "silent_for": silent_for_s}
            logger.info("server counts as lost", extra=extra)

    def _begin_anew(self, silence: _Silence) -> None:
        """Begin the silence anew, as something has arrived but no answer."""
        if silence.is_lost:
            logger.info("lost server responds again", extra={"server": silence.server.id})
        silence.is_lost, silence.since = False, None

    def _end(self, silence: _Silence) -> None:
        """End the watch."""
        self._begin_anew(silence)
        silence.is_over = True


def _get_next_question_at(silence: _Silence) -> float:
    if silence.is_lost or silence.since is None:
        return silence.asked_at + SLOW_QUESTION_INTERVAL_S
    decided_at = silence.since + MIN_SILENCE_S
    next_at = silence.asked_at + QUESTION_INTERVAL_S
    return min(next_at, decided_at) if silence.asked_at < decided_at else next_at


__all__ = ["MIN_SILENCE_S", "SilenceWatch"]
