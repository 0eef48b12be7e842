"""Follows the store: by one watch over all of it, or by a relay, a node that watches it for others."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Final

import anyio

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.outage import RELAY_RETRY_DELAY_S, draw_retry, draw_store_retry
from vaneturn_core.traffic.relays import RelayTimes, rank_relays
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.store import HistoryGone, NotDone, PlatformStore, StoreItem, WatchTooLong
from vaneturn_node.traffic.following.viewkeeping import ViewKeeper
from vaneturn_node.traffic.servers.firstreading import FirstReading
from vaneturn_node.traffic.sharing.changeclient import ChangeClient, NoChanges
from vaneturn_node.traffic.sharing.changelog import Change, ChangeLog
from vaneturn_node.traffic.sharing.changeserver import ChangeServer
from vaneturn_node.traffic.sharing.longvalues import LongValueReader

WATCH_TIME: Final = 1.6  # seconds; each answer confirms the keys, which are valid for a few seconds
SHORTEST_WATCH: Final = 0.2  # seconds
MAX_RELAYS: Final = 4  # asked one after the other before the store, while they say at once that they are out of touch
AT_ONCE: Final = 0.1  # seconds to such a word; a relay that holds a question in vain takes longer
RELAY_REST: Final = 4.0  # seconds for which a relay that failed is not asked
EVERYTHING: Final = ""

logger = logging.getLogger(__name__)


class StoreFollower:
    """Brings what the store holds to the view of a node, and to its log for other nodes."""

    def __init__(
        self,
        *,
        vm: VmId,
        store: PlatformStore,
        view: PlatformView,
        keeper: ViewKeeper,
        log: ChangeLog,
        peers: ChangeClient,
        server: ChangeServer,
        reader: LongValueReader,
        times: RelayTimes,
        first_reading: FirstReading,
    ) -> None:
        self._vm = vm
        self._store = store
        self._view = view
        self._keeper = keeper
        self._log = log
        self._peers = peers
        self._server = server
        self._reader = reader
        self._times = times
        self._first_reading = first_reading
        self._revision: int | None = None
        self._is_reached = False
        self._cause = ""  # of the newest failure
        self._failures = 0  # in a row
        self._rests: dict[VmId, float] = {}  # relays that failed, and until when they are not asked
        self._out_of_touch: set[VmId] = set()  # relays that said so last
        self._direct_from = float("-inf")  # until when the store is left to the relays
        self.followed: VmId | None = None  # the relay that answered last; none when the store did

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            is_answered = await self._ask()
            self._first_reading.end()
            self._note_reached(is_answered=is_answered)
            self._keeper.forget_lapsed()
            if not is_answered:
                self._view.note_failure()
                self._log.wake()  # those who ask this node go to the store before its word is out of date
                await anyio.sleep(draw_retry(self._failures))
                self._failures += 1
            else:
                self._failures = 0

    def _note_reached(self, *, is_answered: bool) -> None:
        if is_answered != self._is_reached:
            self._is_reached = is_answered
            extra = {"age": round(self._view.age, 3), "revision": self._revision}
            if is_answered:
                logger.info("store regained", extra=extra)
            else:
                logger.info("store lost", extra=extra | {"cause": self._cause})

    async def _ask(self) -> bool:
        """Ask a relay, or the store when none is in touch; false when nobody answered, or only relays are to ask."""
        if self._revision is None:
            return await self._reload()
        relay = None
        for _ in range(MAX_RELAYS):
            relay = self._choose_relay()
            if relay is None:
                break
            asked_at = read_clock()
            if await self._ask_relay(relay, self._revision):
                return True
            if read_clock() - asked_at > AT_ONCE:  # nothing was heard meanwhile
                break
        self._note_followed(None, lost=relay)
        if read_clock() < self._direct_from:
            return False
        is_answered = await self._watch(self._revision)
        if not is_answered and self._out_of_touch:
            self._leave_to_relays()
        return is_answered

    def _leave_to_relays(self) -> None:
        """Leave the store, which is away for the relays as well, to them for a while, and ask them soon."""
        now = read_clock()
        self._direct_from = now + draw_store_retry(self._view.count_nodes(), self._times.bound)
        self._rests.update(dict.fromkeys(self._out_of_touch, now + RELAY_RETRY_DELAY_S))

    def _choose_relay(self) -> VmId | None:
        now = read_clock()
        left = [relay for relay, until in self._rests.items() if until > now]
        return next(iter(rank_relays(self._vm, self._view.nodes, left)), None)

    async def _ask_relay(self, relay: VmId, revision: int) -> bool:
        address = self._view.nodes[relay]
        told = await self._peers.ask(address, revision) if address is not None else NoChanges.NO_ANSWER
        if isinstance(told, NoChanges):
            self._leave(relay, is_out_of_touch=told is NoChanges.OUT_OF_TOUCH)
            return False
        items = await self._complete(told.changes, address or "")
        if items is None:
            self._leave(relay, is_out_of_touch=False)
            return False
        self._out_of_touch.clear()
        self._direct_from = float("-inf")
        self._note_followed(relay)
        self._view.merge_contact(told.contact)
        self._take(items, told.revision)
        if items:
            await anyio.sleep(self._times.gather)
        return True

    def _leave(self, relay: VmId, *, is_out_of_touch: bool) -> None:
        """Leave a relay alone for a while; in an outage for all it answers at once, and is asked again soon."""
        now = read_clock()
        is_outage = is_out_of_touch and now < self._direct_from
        self._rests = {one: until for one, until in self._rests.items() if one in self._view.nodes}
        self._rests[relay] = now + (RELAY_RETRY_DELAY_S if is_outage else RELAY_REST)
        if is_out_of_touch:
            self._out_of_touch.add(relay)
        else:
            self._out_of_touch.discard(relay)

    async def _complete(self, changes: list[Change], address: str) -> list[StoreItem] | None:
        """Make or read the values that were too long to be passed on; none when one of them is nowhere to be had."""
        items: list[StoreItem] = []
        for change in changes:
            item = _unpack(change) or await self._reader.read(change, address)
            if item is None:
                return None
            items.append(item)
        return items

    def _note_followed(self, relay: VmId | None, lost: VmId | None = None) -> None:
        if relay == self.followed:
            return
        self.followed = relay
        logger.info("store followed", extra={"relay": relay, "lost": lost, "age": round(self._view.age, 3)})

    async def _reload(self) -> bool:
        """Read everything; the pages are no snapshot, so the watch goes on from the first one."""
        started = read_clock()
        items: dict[str, StoreItem] = {}
        page = await self._store.read_range(EVERYTHING)
        if isinstance(page, NotDone):
            return self._fail(page)
        revision = page.revision
        while True:
            items.update((item.key, item) for item in page.items)
            if not page.has_more or not page.items:
                break
            page = await self._store.read_range(EVERYTHING, page.items[-1].key)
            if isinstance(page, NotDone):
                return self._fail(page)
        self._keeper.replace_all(items)
        self._revision = revision
        self._view.confirm(started)
        self._log.replace(items.values(), revision)
        return True

    async def _watch(self, revision: int) -> bool:
        wait = self._choose_watch_time()
        started = read_clock()
        page = await self._store.watch(EVERYTHING, revision, wait, self._server.arrival)
        if isinstance(page, HistoryGone):
            logger.info("store history gone", extra={"revision": revision})
            return await self._reload()
        if isinstance(page, WatchTooLong):
            logger.info("store watch too long", extra={"revision": revision, "cause": page.cause})
            return await self._reload()
        if isinstance(page, NotDone):
            return self._fail(page)
        has_waited = not page.items and read_clock() - started >= wait
        self._view.confirm(started + wait if has_waited else started)
        self._take(page.items, page.revision)
        if page.items:
            await anyio.sleep(self._times.gather)
        return True

    def _fail(self, page: NotDone) -> bool:
        """Keep why the store gave nothing, for the line that tells that it is lost."""
        self._cause = page.cause
        logger.debug("store gave nothing", extra={"cause": page.cause})
        return False

    def _choose_watch_time(self) -> float:
        """Choose how long to wait for changes: the word for those who ask must not get too old for them meanwhile.

        After a long value it was 0.9 s old already, and 1.9 s after one more whole watch.
        """
        if not self._server.is_asked():
            return WATCH_TIME
        return min(self._times.watch, max(SHORTEST_WATCH, self._times.hold_arriving - self._view.age))

    def _take(self, items: Sequence[StoreItem], revision: int) -> None:
        for item in items:
            self._keeper.apply(item)
        self._revision = max(self._revision or 0, revision)
        self._log.append(items, self._revision)


def _unpack(change: Change) -> StoreItem | None:
    """Give the item of a change; none when its value is to be read elsewhere."""
    if change.is_left_out:
        return None
    try:
        return StoreItem(change.key, change.unpack(), change.revision)
    except ValueError as error:
        logger.warning("value of a relay not understood", extra={"key": change.key, "fault": str(error)})
        return None


__all__ = ["StoreFollower"]
