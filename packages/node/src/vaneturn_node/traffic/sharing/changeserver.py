"""Tells other nodes of changes of the store: a relay answers as soon as it has heard of the store again.

Times travel as ages. The asker counts them from when it began to ask, plus the time that the relay held the question by
its own clock, so that what is believed is never younger than it is.
"""

from __future__ import annotations

from typing import Final
from urllib.parse import parse_qs

import anyio
import msgspec

from vaneturn_core.traffic.beliefs import ServerBeliefs
from vaneturn_core.traffic.loads import SUM_AGE, LoadBoard
from vaneturn_core.traffic.relays import RelayTimes
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import BodyArrival
from vaneturn_node.http1.server import ClientAnswer, ClientRequest
from vaneturn_node.platform.store import BODY_TIME, SILENCE
from vaneturn_node.traffic.servers.permits import PERMITS_PATH, Permits
from vaneturn_node.traffic.sharing.changelog import ChangeLog
from vaneturn_node.traffic.sharing.crashsharing import CRASHES_PATH, CrashSharing
from vaneturn_node.traffic.sharing.longvalues import VALUE_PATH, LongValueServer
from vaneturn_node.traffic.sharing.losssharing import LOSSES_PATH, LossSharing
from vaneturn_node.traffic.sharing.peerwords import (
    OK,
    RelayWord,
    decode_told,
)
from vaneturn_node.traffic.sharing.serverrows import pack_loads

CHANGES_PATH: Final = "/changes"
LOADS_PATH: Final = "/loads"
ARRIVING_TIME: Final = 0.2  # seconds since the last bytes of the store in which its answer counts as arriving; 64 KB
# take 0.026 s over a link of 20 Mbit/s
_GONE: Final = 410
OUT_OF_TOUCH: Final = 503
_JSON: Final = [(b"content-type", b"application/json")]


class ChangeServer:
    """Answers the nodes that ask this one for changes."""

    def __init__(
        self,
        *,
        log: ChangeLog,
        view: PlatformView,
        times: RelayTimes,
        beliefs: ServerBeliefs,
        board: LoadBoard,
        losses: LossSharing,
        crashes: CrashSharing,
        permits: Permits,
    ) -> None:
        self._permits = permits
        self._beliefs = beliefs
        self._board = board
        self._losses = losses
        self._crashes = crashes
        self._log = log
        self._long_values = LongValueServer(log)
        self._view = view
        self._times = times
        self._asked_at = float("-inf")
        self._packed = b""  # the loads of all nodes
        self._packed_at = float("-inf")
        self.arrival = BodyArrival(BODY_TIME, SILENCE)  # of the store's answers to this node's watch

    def is_asked(self) -> bool:
        """Tell whether nodes ask this one."""
        return read_clock() - self._asked_at < 2 * self._times.hold

    async def answer(self, request: ClientRequest, answer: ClientAnswer) -> None:
        """Answer with the changes after a revision, or with a long value."""
        query = parse_qs(request.target.partition("?")[2])
        if request.path == VALUE_PATH:
            await self._long_values.answer(query.get("key", [""])[0], answer)
            return
        if request.path == LOSSES_PATH:
            self._losses.take(request.body)
            await answer.send_whole(OK, [], b"")
            return
        if request.path == CRASHES_PATH:
            self._crashes.take(request.body)
            await answer.send_whole(OK, [], b"")
            return
        if request.path == PERMITS_PATH:
            permit = self._permits.answer(request.body)
            await answer.send_whole(OK if permit is not None else 400, _JSON, permit or b"")
            return
        told = decode_told(request.body, self._view.servers)
        if told is not None:
            self._crashes.compare(told.vm, told.crashes)
            self._permits.take_news(told.limits)
        if request.path == LOADS_PATH and told is not None:
            self._board.take_relay(told.vm, told.loads)
            await answer.send_whole(OK, [], b"")
            return
        since = query.get("since", [""])[0]
        if request.path != CHANGES_PATH or not since.isdigit():
            await answer.send_whole(404, [], b"")
            return
        if told is not None:
            self._board.take_follower(told.vm, told.loads)
        await self._answer_changes(int(since), request.arrived, answer)

    async def _answer_changes(self, since: int, arrived: float, answer: ClientAnswer) -> None:
        """Answer as soon as there are changes, a newer confirmation that there are none, a loss, or trouble."""
        self._asked_at = read_clock()
        losses = self._losses.version
        confirmed_at = self._view.contact.confirmed_at
        is_heard = await self._hear(since, confirmed_at, losses, self._times.hold)
        if not is_heard and self._is_arriving():  # the answer of the store is late because it is long
            is_heard = await self._hear(since, confirmed_at, losses, self._times.hold_arriving - self._times.hold)
        changes = self._log.list_since(since)
        if changes is None:
            await answer.send_whole(_GONE, [], b"")
            return
        if not is_heard or self._is_in_trouble():
            await answer.send_whole(OUT_OF_TOUCH, [], b"")
            return
        now = read_clock()
        contact = self._view.contact
        word = RelayWord(
            revision=self._log.revision,
            changes=changes,
            held=now - arrived,
            confirmed_age=_compute_age(now, contact.confirmed_at),
            failed_age=_compute_age(now, contact.failed_at),
            returned_age=_compute_age(now, contact.returned_at),
            loads=self._pack_all(now),
            losses=self._losses.pack_confirmed(now),
            limits=self._permits.list_news(),
        )
        await answer.send_whole(OK, _JSON, msgspec.json.encode(word))

    async def _hear(self, since: int, confirmed_at: float, losses: int, limit: float) -> bool:
        """Wait until there is something to tell; false when there was nothing in time."""
        with anyio.move_on_after(limit):
            while self._log.list_since(since) == [] and not self._has_news(confirmed_at, losses):
                await self._log.wait()
            return True
        return False

    def _is_arriving(self) -> bool:
        return read_clock() - self.arrival.last_data_at < ARRIVING_TIME

    def _has_news(self, confirmed_at: float, losses: int) -> bool:
        """Tell whether there is a newer confirmation, trouble, or a loss beside a word that the asker may still take.

        A loss told beside a word that was 1.9 s old made 49 nodes leave both relays at once.
        """
        contact = self._view.contact
        is_fresh = self._view.age < self._times.hold_arriving
        return (
            contact.confirmed_at != confirmed_at
            or (self._losses.version != losses and is_fresh)
            or self._is_in_trouble()
        )

    def _pack_all(self, now: float) -> bytes:
        """Pack the loads of all nodes, once for all that are answered at about the same time."""
        if now - self._packed_at >= SUM_AGE:
            self._packed = pack_loads(self._board.sum_all(self._beliefs.list_loads()))
            self._packed_at = now
        return self._packed

    def _is_in_trouble(self) -> bool:
        return self._view.contact.is_in_trouble


def _compute_age(now: float, at: float) -> float | None:
    return None if at == float("-inf") else now - at


__all__ = ["CHANGES_PATH", "LOADS_PATH", "OUT_OF_TOUCH", "ChangeServer"]
