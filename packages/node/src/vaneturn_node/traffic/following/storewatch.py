"""Watches the store for changes, and decides whether a watch that failed shows an outage of the store."""

from __future__ import annotations

import logging
from collections import Counter
from typing import Final, NamedTuple

import anyio

from vaneturn_core.traffic.relays import RelayTimes
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.epochs import StoreState, get_number
from vaneturn_node.platform.store import (
    WATCH_MARGIN_S,
    HistoryGone,
    NotDone,
    PlatformStore,
    Rejection,
    StorePage,
    UnusableWatch,
)
from vaneturn_node.traffic.following.relaychoice import choose_watch_time
from vaneturn_node.traffic.sharing.changeserver import ChangeServer

ALL_KEYS: Final = ""
READ_LEAD_S: Final = 0.1  # before the end of a watch; a healthy store answers in milliseconds
HELD_UP_S: Final = 0.2  # a timeout that fires later by more than this was delayed with the whole process

logger = logging.getLogger(__name__)

WatchOutcome = StorePage | HistoryGone | UnusableWatch | NotDone


class Watched(NamedTuple):
    """The outcome of a watch."""

    outcome: WatchOutcome
    valid_at: float  # monotonic time at which a page was the whole truth, as far as a watch can tell
    verified_at: float  # monotonic time at which a read has shown that nothing had changed; -inf if none has


class StoreWatch:
    """Watches all keys of the store.

    In an outage of the store, the entry of a server that leaves counts as lapsed. So a watch whose failure does not
    show an outage is repeated at once, and in an outage the store is asked for an immediate response.
    """

    def __init__(self, store: PlatformStore, view: PlatformView, server: ChangeServer, times: RelayTimes) -> None:
        self._store = store
        self._view = view
        self._server = server
        self._times = times
        self._has_succeeded = False  # the previous watch, without a question to a relay since
        self._verified_at = float("-inf")  # of the current watch
        self._unusable_after: StoreState | None = None  # the state after which changes cannot be had by a watch
        self.rejections: Counter[Rejection] = Counter()  # of responses to watches

    def forget_success(self) -> None:
        """Note that a relay is asked in place of the store; the next watch does not continue the previous one."""
        self._has_succeeded = False

    def may_watch(self, revision: StoreState) -> bool:
        """Tell whether the changes after a revision may be had by a watch.

        A response that could not be used, or was cut, would come again in the same form, or longer.
        """
        return revision != self._unusable_after

    def note_reload(self) -> None:
        """Note that all keys were read in place of changes that cannot be had."""
        self._unusable_after = None

    async def run(self, revision: StoreState, newest_known: StoreState) -> Watched:
        """Wait for changes after a revision.

        :param newest_known: the newest state of which a change or a reading is known.
        """
        wait = self._choose_wait()
        started = read_clock()
        self._verified_at = float("-inf")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._verify, newest_known, wait)
            outcome = await self._watch(revision, wait)
            tasks.cancel_scope.cancel()
        if isinstance(outcome, NotDone) and not self._shows_outage(read_clock() - started, wait):
            logger.info("store watch cut", extra={"cause": outcome.cause})
            started, wait = read_clock(), 0.0
            outcome = await self._watch(revision, wait)
        self._has_succeeded = not isinstance(outcome, NotDone)
        self._record_unusable(outcome, revision)
        is_silent = isinstance(outcome, StorePage) and not outcome.items and read_clock() - started >= wait
        return Watched(outcome, started + wait if is_silent else started, self._verified_at)

    async def _verify(self, newest_known: StoreState, wait: float) -> None:
        """Read the state of the store shortly before the end of a watch, and note when if it is the known one.

        In the second before the store drops its history, a watch reports no changes.
        """
        if wait <= 0:
            return
        await anyio.sleep(max(0.0, wait - READ_LEAD_S))
        asked_at = read_clock()
        if await self._store.read_state() == newest_known:
            self._verified_at = asked_at

    def _record_unusable(self, outcome: WatchOutcome, revision: StoreState) -> None:
        if isinstance(outcome, UnusableWatch):
            self.rejections[outcome.rejection] += 1
            extra = {"reason": outcome.rejection.value, "cause": outcome.cause, "bytes": outcome.received}
            logger.warning("store watch rejected", extra={"revision": get_number(revision), **extra})
            self._unusable_after = revision
        if isinstance(outcome, NotDone) and outcome.received:
            self._unusable_after = revision

    async def _watch(self, revision: StoreState, wait: float) -> WatchOutcome:
        return await self._store.watch(ALL_KEYS, revision, wait, self._server.arrival)

    def _choose_wait(self) -> float:
        if self._view.contact.is_in_trouble:
            return 0.0
        return choose_watch_time(self._times, self._view.age, has_followers=self._server.has_followers())

    def _shows_outage(self, seconds: float, wait: float) -> bool:
        """Tell whether a watch that failed after some seconds shows an outage.

        It does not if the connection was closed early, right after a successful watch, or if this process was delayed.
        """
        was_cut = self._has_succeeded and seconds < wait
        was_held_up = seconds > wait + WATCH_MARGIN_S + HELD_UP_S
        return not was_cut and not was_held_up


__all__ = ["ALL_KEYS", "HELD_UP_S", "StoreWatch", "Watched"]
