"""Follows the store with one watch over all keys, or through a relay, a node that watches it for others."""

from __future__ import annotations

import logging
from collections.abc import Collection, Sequence
from typing import Final

import anyio

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.outage import draw_retry
from vaneturn_core.traffic.relays import RelayTimes
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.platform.epochs import NO_STATE, StoreState, get_epoch, get_number
from vaneturn_node.platform.store import HistoryGone, NotDone, PlatformStore, StoreItem, UnusableWatch
from vaneturn_node.traffic.following.relaychoice import RelayChoice
from vaneturn_node.traffic.following.storewatch import ALL_KEYS, StoreWatch
from vaneturn_node.traffic.following.viewkeeping import ViewKeeper
from vaneturn_node.traffic.servers.firstreading import FirstReading
from vaneturn_node.traffic.sharing.changeclient import ChangeClient, NoChanges, RelayedChanges
from vaneturn_node.traffic.sharing.changelog import ChangeLog
from vaneturn_node.traffic.sharing.changeserver import ChangeServer
from vaneturn_node.traffic.sharing.longvalues import LongValueReader, split_changes

MAX_RELAYS: Final = 4  # asked in turn before the store, as long as each answers at once that it is out of touch
IMMEDIATE_ANSWER_S: Final = 0.1  # answers by then count as "at once"; a relay that waited for news takes longer

logger = logging.getLogger(__name__)


class StoreFollower:
    """Applies the state of the store to the view of a node, and to its change log for other nodes."""

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
        self._reader = reader
        self._times = times
        self._first_reading = first_reading
        self._revision: StoreState | None = None
        self._is_store_reached = False
        self._cause = ""  # of the latest failure
        self._failures = 0  # in a row
        self.store_watch = StoreWatch(store, view, server, times)
        self._relays = RelayChoice(vm, view, times)
        self.followed: VmId | None = None  # the relay that answered last; None if it was the store

    @property
    def epoch(self) -> int:
        """The epoch of the store that the view is from."""
        return get_epoch(self._revision or NO_STATE)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            is_answered = await self._ask()
            self._first_reading.end()
            self._log_store_contact(is_answered=is_answered)
            self._keeper.forget_lapsed()
            if not is_answered:
                self._view.note_failure()
                self._log.wake()  # lets followers turn to the store before the state they got from here is too old
                await anyio.sleep(draw_retry(self._failures))
                self._failures += 1
            else:
                self._failures = 0

    def _log_store_contact(self, *, is_answered: bool) -> None:
        if is_answered != self._is_store_reached:
            self._is_store_reached = is_answered
            number = get_number(self._revision or NO_STATE)
            extra = {"age": round(self._view.age, 3), "revision": number, "epoch": self.epoch}
            cause: dict[str, object] = {} if is_answered else {"cause": self._cause}
            logger.info("store regained" if is_answered else "store lost", extra=extra | cause)

    async def _ask(self) -> bool:
        """Ask a relay, or the store if no relay is in touch; False if none answered or only relays may be asked now."""
        if self._revision is None:
            return await self._reload()
        relay = None
        for _ in range(MAX_RELAYS):
            relay = self._relays.choose()
            if relay is None:
                break
            asked_at = read_clock()
            self.store_watch.forget_success()
            if await self._ask_relay(relay, self._revision):
                return True
            if read_clock() - asked_at > IMMEDIATE_ANSWER_S:  # time was lost without an answer, so ask the store now
                break
        self._log_followed(None, lost=relay)
        if not self._relays.may_ask_store():
            return False
        is_answered = await self._watch(self._revision)
        if not is_answered:
            self._relays.note_store_failure()
        return is_answered

    async def _ask_relay(self, relay: VmId, revision: StoreState) -> bool:
        address = self._view.nodes[relay]
        answer = await self._peers.ask(address, revision) if address is not None else NoChanges.NO_ANSWER
        if isinstance(answer, NoChanges):
            self._relays.back_off(relay, is_out_of_touch=answer is NoChanges.OUT_OF_TOUCH)
            return False
        self._view.merge_contact(answer.contact.leave_out_confirmations())
        if not await self._apply_changes(answer, address or ""):
            self._relays.back_off(relay, is_out_of_touch=False)
            return False
        self._relays.note_answer()
        self._log_followed(relay)
        if self._keeper.has_newest_configuration():
            self._view.advance_confirmation(answer.contact)
        if answer.changes:
            await anyio.sleep(self._times.gather)
        return True

    async def _apply_changes(self, answer: RelayedChanges, address: str) -> bool:
        """Apply changes, the short ones first; False if a value that was too long to be included is not available.

        Another relay or the store may have to be asked for a long value, and a leaving server must not get requests
        meanwhile.
        """
        short, left_out = split_changes(answer.changes)
        is_early = bool(left_out) and not self._is_new_epoch(answer.revision)
        if is_early:
            for item in short:
                self._keeper.apply(item)
        values = [await self._reader.read(change, address) for change in left_out]
        if None in values:
            return False
        items = sorted([*short, *filter(None, values)], key=lambda item: item.revision)
        self._apply(items, answer.revision, applied={item.key for item in short} if is_early else set())
        return True

    def _log_followed(self, relay: VmId | None, lost: VmId | None = None) -> None:
        if relay == self.followed:
            return
        self.followed = relay
        logger.info("store followed", extra={"relay": relay, "lost": lost, "age": round(self._view.age, 3)})

    async def _reload(self) -> bool:
        """Read all keys; the pages are not a snapshot, so the watch continues from the revision of the first page."""
        started = read_clock()
        items: dict[str, StoreItem] = {}
        page = await self._store.read_range(ALL_KEYS)
        if isinstance(page, NotDone):
            return self._record_failure(page)
        revision = page.revision
        while get_epoch(page.revision) == get_epoch(revision):
            items.update((item.key, item) for item in page.items)
            if not page.has_more or not page.items:
                break
            page = await self._store.read_range(ALL_KEYS, page.items[-1].key)
            if isinstance(page, NotDone):
                return self._record_failure(page)
        else:
            return self._record_failure(NotDone("restored while it was read"))
        is_restored = self._begin_epoch(revision)
        self._keeper.replace_all(items, revision)
        if is_restored:
            self._keeper.enter_epoch(get_epoch(revision))
        self._revision = revision
        self._confirm(started, verified_at=started)
        self._log.replace(items.values(), revision)
        return True

    async def _watch(self, revision: StoreState) -> bool:
        if not self.store_watch.may_watch(revision):
            return await self._reload_instead(revision)
        page, valid_at, verified_at = await self.store_watch.run(revision, self._log.newest_known)
        if isinstance(page, HistoryGone):
            logger.info("store history gone", extra={"revision": get_number(revision)})
            return await self._reload()
        if isinstance(page, UnusableWatch):
            return await self._reload_instead(revision)
        if isinstance(page, NotDone):
            return self._record_failure(page)
        if get_epoch(page.revision) != get_epoch(revision):
            return await self._reload()  # the store took the number for one of its new epoch, and left changes out
        self._apply(page.items, page.revision)
        self._confirm(valid_at, verified_at)
        if page.items:
            await anyio.sleep(self._times.gather)
        return True

    async def _reload_instead(self, revision: StoreState) -> bool:
        """Read all keys in place of a watch; if nothing has changed, pause for as long as a watch would wait."""
        if not await self._reload():
            return False
        self.store_watch.note_reload()
        await anyio.sleep(self._times.watch if self._revision == revision else self._times.gather)
        return True

    def _confirm(self, at: float, verified_at: float) -> None:
        """Record an answer of the store, as a confirmation of the view if the store holds its configuration."""
        if not self._keeper.has_newest_configuration():
            at = verified_at = float("-inf")
        self._view.confirm(at, verified_at)

    def _record_failure(self, page: NotDone) -> bool:
        """Record why a call of the store failed, for the log line "store lost"."""
        self._cause = page.cause
        return False

    def _apply(self, items: Sequence[StoreItem], revision: StoreState, applied: Collection[str] = ()) -> None:
        is_restored = self._begin_epoch(revision)
        for item in items:
            if item.key not in applied:
                self._keeper.apply(item)
        if is_restored:
            self._keeper.enter_epoch(get_epoch(revision))
        self._revision = max(self._revision or NO_STATE, revision)
        self._log.append(items, self._revision)

    def _is_new_epoch(self, revision: StoreState) -> bool:
        """Check whether a state is the first one known of a later epoch: the store was restored."""
        return self._revision is not None and get_epoch(revision) != self.epoch

    def _begin_epoch(self, revision: StoreState) -> bool:
        """Prepare for the first state of a later epoch; False if it is of the same one."""
        if not self._is_new_epoch(revision):
            return False
        number = get_number(self._revision or NO_STATE)
        extra = {"known_epoch": self.epoch, "known_revision": number, "relay": self.followed}
        extra |= {"epoch": get_epoch(revision), "revision": get_number(revision)}
        logger.info("store restored from an older copy", extra=extra)
        self._keeper.note_restore()
        return True


__all__ = ["StoreFollower"]
