"""Sends changes of the store to other nodes: a relay answers as soon as the store has responded to it again.

Times are sent as ages. The asking node counts them from the start of its request plus the time for which the relay held
the request by its own clock, so that state never counts as more recent than it is.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final, NamedTuple
from urllib.parse import parse_qs

import anyio
import msgspec

from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.loads import MAX_SUM_AGE_S, LoadBoard
from vaneturn_core.traffic.relays import RelayTimes
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import BodyArrival
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.http1.messages import parse_count
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.platform.epochs import StoreState, get_epoch
from vaneturn_node.platform.store import BODY_EXTRA_TIME_S, MAX_SILENCE_S
from vaneturn_node.traffic.servers.permits import PERMITS_PATH, Permits
from vaneturn_node.traffic.sharing.changelog import Change, ChangeLog
from vaneturn_node.traffic.sharing.crashsharing import CRASHES_PATH, CrashSharing
from vaneturn_node.traffic.sharing.demandsharing import DemandSharing
from vaneturn_node.traffic.sharing.longvalues import VALUE_PATH, LongValueServer
from vaneturn_node.traffic.sharing.losssharing import LOSSES_PATH, LossSharing
from vaneturn_node.traffic.sharing.peerwords import (
    OK,
    ReceivedReport,
    RelayAnswer,
    decode_load_report,
)
from vaneturn_node.traffic.sharing.serverrows import pack_loads
from vaneturn_node.traffic.sharing.slownesssharing import apply_packed_slowness, pack_known_slowness

CHANGES_PATH: Final = "/changes"
LOADS_PATH: Final = "/loads"
# Seconds since the last bytes from the store for which its answer counts as still arriving;
# 64 KB take 0.026 s over a 20 Mbit/s link.
ARRIVING_TIMEOUT_S: Final = 0.2
MAX_STATE_DIGITS: Final = 20  # of a state of the store
_GONE: Final = 410
OUT_OF_TOUCH: Final = 503
_JSON: Final = [(b"content-type", b"application/json")]


class _FoundChanges(NamedTuple):
    """The changes for an answer, and its status."""

    status: int
    changes: Sequence[Change] = ()


class ChangeServer:
    """Answers the nodes that ask this one for changes."""

    def __init__(
        self,
        *,
        log: ChangeLog,
        view: PlatformView,
        times: RelayTimes,
        beliefs: ServerStatuses,
        board: LoadBoard,
        losses: LossSharing,
        crashes: CrashSharing,
        permits: Permits,
        demand: DemandSharing,
    ) -> None:
        self._demand = demand
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
        self.arrival = BodyArrival(
            BODY_EXTRA_TIME_S, MAX_SILENCE_S
        )  # progress of the store's answers to this node's watch

    def has_followers(self) -> bool:
        """Check whether other nodes ask this one for changes."""
        return read_clock() - self._asked_at < 2 * self._times.hold

    async def answer(self, request: ClientRequest, answer: ClientAnswer) -> None:
        """Handle a request of another node: for changes, a long value or a permit, or with a report."""
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
            permit = self._permits.answer_request(request.body)
            await answer.send_whole(OK if permit is not None else 400, _JSON, permit or b"")
            return
        report = decode_load_report(request.body, self._view.servers)
        if report is not None:
            self._crashes.compare(report.vm, report.crashes)
            self._permits.apply_limits(report.limits)
            apply_packed_slowness(self._beliefs, report.slow, self._view.servers)
        if request.path == LOADS_PATH and report is not None:
            self._take_relay(report)
            await answer.send_whole(OK, [], b"")
            return
        since = parse_count(query.get("since", [""])[0].encode(), MAX_STATE_DIGITS)
        if request.path != CHANGES_PATH or since is None:
            await answer.send_whole(404, [], b"")
            return
        if report is not None and report.is_counted:
            self._board.record_follower(report.vm, report.loads)
            self._demand.take_follower(report.vm, report.demand)
        await self._answer_changes(StoreState(since), request.arrived, answer)

    async def _answer_changes(self, since: StoreState, arrived: float, answer: ClientAnswer) -> None:
        found = await self._find_changes(since)
        if found.status == _GONE:
            await answer.send_whole(_GONE, [], b"")
            return
        message = self._make_answer(found.changes, arrived)
        await answer.send_whole(found.status, _JSON, msgspec.json.encode(message))

    def _take_relay(self, report: ReceivedReport) -> None:
        if report.is_counted:
            self._board.record_relay(report.vm, report.loads)
            self._demand.take_relay(report.vm, report.demand)
        else:
            self._board.forget_relay(report.vm)
            self._demand.forget_relay(report.vm)

    async def _find_changes(self, since: StoreState) -> _FoundChanges:
        """Wait for changes, a newer confirmation that there are none, a loss, or a store failure."""
        self._asked_at = read_clock()
        if get_epoch(since) > get_epoch(self._log.revision):
            return _FoundChanges(OUT_OF_TOUCH)
        losses = self._losses.version
        confirmed_at = self._view.contact.confirmed_at
        has_news = await self._wait_for_news(since, confirmed_at, losses, self._times.hold)
        if not has_news and self._is_arriving():  # the store's answer is late because it is long
            has_news = await self._wait_for_news(
                since, confirmed_at, losses, self._times.hold_arriving - self._times.hold
            )
        changes = self._log.list_since(since)
        if changes is None:
            return _FoundChanges(_GONE)
        if not has_news or self._has_store_failed():
            return _FoundChanges(OUT_OF_TOUCH)
        return _FoundChanges(OK, changes)

    def _make_answer(self, changes: Sequence[Change], arrived: float) -> RelayAnswer:
        now = read_clock()
        contact = self._view.contact
        return RelayAnswer(
            revision=self._log.revision,
            changes=list(changes),
            held=now - arrived,
            confirmed_age=_compute_age(now, contact.confirmed_at),
            failed_age=_compute_age(now, contact.failed_at),
            returned_age=_compute_age(now, contact.returned_at),
            verified_age=msgspec.UNSET if contact.verified_at == float("-inf") else now - contact.verified_at,
            loads=self._pack_all(now),
            losses=self._losses.pack_confirmed(now),
            limits=self._permits.list_changed_limits(),
            demand=self._demand.pack_all(),
            slow=pack_known_slowness(self._beliefs),
        )

    async def _wait_for_news(self, since: StoreState, confirmed_at: float, losses: int, limit: float) -> bool:
        """Wait until there is news to send; return False on timeout.

        A node that knows a later state gets no answer before this one has reached it. Either this node is behind for a
        moment, or the store has gone back without stating an epoch, and its next changes have numbers that the other
        node takes for known ones.
        """
        with anyio.move_on_after(limit):
            while self._log.list_since(since) == [] and not (
                self._has_store_failed() or (self._log.revision >= since and self._has_news(confirmed_at, losses))
            ):
                await self._log.wait()
            return True
        return False

    def _is_arriving(self) -> bool:
        return read_clock() - self.arrival.last_data_at < ARRIVING_TIMEOUT_S

    def _has_news(self, confirmed_at: float, losses: int) -> bool:
        """Check for a newer confirmation, a store failure, or a loss while the state is recent enough for the asker.

        A loss sent with state that was 1.9 s old, too old to accept, made 49 nodes leave both relays at once.
        """
        contact = self._view.contact
        is_fresh = self._view.age < self._times.hold_arriving
        return (
            contact.confirmed_at != confirmed_at
            or (self._losses.version != losses and is_fresh)
            or self._has_store_failed()
        )

    def _pack_all(self, now: float) -> bytes:
        """Pack the loads of all nodes; answers sent at about the same time share the result."""
        if now - self._packed_at >= MAX_SUM_AGE_S:
            self._packed = pack_loads(self._board.sum_all(self._beliefs.list_loads()))
            self._packed_at = now
        return self._packed

    def _has_store_failed(self) -> bool:
        return self._view.contact.is_in_trouble


def _compute_age(now: float, at: float) -> float | None:
    return None if at == float("-inf") else now - at


__all__ = ["CHANGES_PATH", "LOADS_PATH", "OUT_OF_TOUCH", "ChangeServer"]
