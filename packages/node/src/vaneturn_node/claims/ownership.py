"""The slots that this node owns, and the map of the owners of all slots."""

from __future__ import annotations

import logging
import random
import time
from typing import Final

import anyio
import msgspec

from vaneturn_core.claims.ledger import SlotLedger, Verdict, read_key_time
from vaneturn_core.claims.slots import SLOTS_KEY, SlotMap, SlotOwner, find_slot, reassign_slots
from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.identifiers import CustomerName, RepeatKey, StoreVersion
from vaneturn_core.membership.table import MemberTable
from vaneturn_core.ports import Conflict, Entry, KeyValueService, Unavailable
from vaneturn_node.claims.unmet import AskMember, UnmetOwners, ask_no_member
from vaneturn_node.clock import read_clock
from vaneturn_node.peers.messages import HandOver
from vaneturn_node.peers.requests import PeerClient

CONFIRM_INTERVAL_S: Final = 2.0  # the duration of an owner's watch of the map
CONFIRM_TIMEOUT_S: Final = 6.0  # an owner whose last confirmation of the map is older accepts no claims
MAX_RETRY_DELAY_S: Final = 0.3  # full jitter
HANDOVER_TRY_TIMEOUT_S: Final = 1.0  # for one try to hand a slot over to its next owner
HANDOVER_TRIES: Final = 20
HANDOVER_TIMEOUT_S: Final = 8.0  # for the whole handover; bounds a stop during an outage of the store
HANDOVER_RETRY_DELAY_S: Final = 0.2
IDLE_INTERVAL_S: Final = 1.0  # between checks whether this node takes part in keeping the map
# How long a node keeps refreshing the map after it was asked for a claim in a slot that it doesn't own: the asking node
# may know a newer map, in which this node owns the slot.
REFRESH_AFTER_CLAIM_S: Final = 5.0
ASSIGNERS_PER_HALL: Final = 2  # nodes of each data hall that keep the map assigned, besides the owners

logger = logging.getLogger(__name__)


class SlotOwnership:
    """Confirms the map with the key-value service, and decides claims for own slots while the map is confirmed."""

    def __init__(self, store: KeyValueService, table: MemberTable, ask_member: AskMember = ask_no_member) -> None:
        self._store = store
        self._table = table
        self._unmet = UnmetOwners(table, ask_member)
        self._version = StoreVersion(-1)  # differs from any version of a key, so that the first watch returns at once
        self._confirmed_at = float("-inf")  # when the call was sent whose answer last confirmed the map
        self._accept_from: dict[int, float] = {}  # own slot -> time of read_clock() from which claims are accepted
        self._ledgers: dict[int, SlotLedger] = {}
        self._is_stopping = False
        self._asked_at = float("-inf")  # when a claim last arrived for a slot that this node doesn't own
        self.map = SlotMap()

    async def run(self) -> None:
        """Keep the map confirmed and assigned until cancelled; other nodes only check whether they should take part."""
        while True:
            if not self._takes_part():
                await anyio.sleep(IDLE_INTERVAL_S)
                continue
            if await self.refresh(CONFIRM_INTERVAL_S):
                await self._assign_slots()
            else:
                await anyio.sleep(random.uniform(0, MAX_RETRY_DELAY_S))

    def _takes_part(self) -> bool:
        was_asked = read_clock() - self._asked_at < REFRESH_AFTER_CLAIM_S
        return (
            was_asked
            or bool(self._accept_from)
            or not self.map.slots
            or self._table.has_role("slots", ASSIGNERS_PER_HALL)
        )

    async def refresh(self, wait: float) -> bool:
        """Confirm the map, or adopt a newer one; false if the service gave no answer."""
        started = read_clock()
        entry = await self._store.watch(SLOTS_KEY, self._version, wait)
        if isinstance(entry, Unavailable):
            return False
        if started < self._confirmed_at:
            return True  # a call sent later was answered first, so this answer may hold an older map
        if entry is not None and not self._adopt_map(entry):
            return False
        self._confirmed_at = started
        return True

    def _adopt_map(self, entry: Entry) -> bool:
        """Adopt a map; false if it is malformed."""
        try:
            slot_map = decode_json(entry.value, SlotMap) if entry.value else SlotMap()
        except MalformedError as error:
            logger.warning("slot map not understood", extra={"fault": str(error)})
            return False
        self._version = entry.version
        if slot_map.epoch < self.map.epoch:
            logger.warning("slot map reverted", extra={"epoch": slot_map.epoch, "known": self.map.epoch})
            self._drop_slots()
        self.map = slot_map
        own = slot_map.list_slots(self._table.own.node)
        extra = {"epoch": slot_map.epoch, "slots": slot_map.count_slots(), "own": len(own)}
        logger.info("slot map known", extra=extra)
        for slot in [slot for slot in self._accept_from if slot not in own]:
            del self._accept_from[slot]
            del self._ledgers[slot]
        for slot in own - self._accept_from.keys():
            # The previous owner may accept claims until its last confirmation lapses.
            self._accept_from[slot] = read_clock() + CONFIRM_TIMEOUT_S
            self._ledgers[slot] = SlotLedger(taken_at=time.time() + CONFIRM_TIMEOUT_S)
        return True

    def _drop_slots(self) -> None:
        """Forget all slots: claims that were decided under the reverted part of the map's history are unknown."""
        self._accept_from.clear()
        self._ledgers.clear()

    async def _assign_slots(self) -> None:
        """Reassign the slots of owners that are gone; the first map waits until the member table has settled."""
        if not self._unmet.is_settled() and not self.map.slots:
            return
        new_map = await self._compute_map()
        if new_map is None or self._is_stopping:
            return
        await self._write(new_map)

    async def _compute_map(self) -> SlotMap | None:
        """Compute the next map, if one is needed."""
        while True:
            owners = self.map.owners
            possibly_alive = await self._unmet.find_possibly_alive(owners)
            if owners == self.map.owners:  # a newer map may have arrived meanwhile
                return reassign_slots(self.map, self._table.list_active(), possibly_alive)

    async def hand_over(self, client: PeerClient) -> None:
        """Hand each slot with its claims over to another node at a planned stop, so that no key has to be refused.

        This node must already be marked as stopping in the member table.
        """
        self._is_stopping = True  # no claims are accepted from here on, so the ledgers handed over are complete
        ledgers = dict(self._ledgers)  # the pending watch may return the new map, and drop them, before the write ends
        if not ledgers:
            return
        with anyio.move_on_after(HANDOVER_TIMEOUT_S) as scope:
            if await self._leave_slot_map():
                async with anyio.create_task_group() as tasks:
                    for slot, ledger in ledgers.items():
                        tasks.start_soon(self._hand_over_slot, client, slot, ledger)
        if scope.cancelled_caught:
            logger.warning("slots not handed over in time", extra={"slots": len(ledgers)})

    async def _leave_slot_map(self) -> bool:
        """Write a map without this node; retried, as other nodes may write the map at the same time."""
        for _ in range(HANDOVER_TRIES):
            if await self.refresh(0.0):
                new_map = await self._compute_map()
                if new_map is None:
                    return self.map.epoch > 0 and not self.map.list_slots(self._table.own.node)
                if isinstance(await self._write(new_map), int):
                    return await self.refresh(0.0)
            await anyio.sleep(random.uniform(0, HANDOVER_RETRY_DELAY_S))
        return False

    async def _hand_over_slot(self, client: PeerClient, slot: int, ledger: SlotLedger) -> None:
        """Hand a slot over to its next owner, with retries until one confirms; a repeat changes nothing."""
        for _ in range(HANDOVER_TRIES):
            owner = self.map.find_owner(slot)
            if owner is not None and owner.node != self._table.own.node:
                handover = HandOver(self.map.epoch, slot, ledger.taken_at, ledger.list_claims())
                if await client.ask(owner.address, handover, HANDOVER_TRY_TIMEOUT_S) is not None:
                    return
            await anyio.sleep(HANDOVER_RETRY_DELAY_S)
            await self.refresh(0.0)  # the next owner may be stopping as well
        logger.warning("slot not handed over", extra={"slot": slot})

    async def take_over(self, handover: HandOver) -> bool:
        """Accept claims for a handed-over slot at once; false if this node is not its next owner or is stopping."""
        if self.map.epoch < handover.epoch:
            await self.refresh(0.0)
        if self._is_stopping or self.map.epoch != handover.epoch or handover.slot not in self._accept_from:
            return False
        self._ledgers[handover.slot].take_over(handover.taken_at, handover.claims)
        self._accept_from[handover.slot] = read_clock()
        return True

    async def _write(self, new_map: SlotMap) -> StoreVersion | Conflict | Unavailable:
        written = await self._store.write(SLOTS_KEY, msgspec.json.encode(new_map), self._version)
        known = sorted(member.node for member in self._table.list_alive())
        extra = {"epoch": new_map.epoch, "slots": new_map.count_slots(), "known": known, "result": str(written)}
        logger.info("slots assigned", extra=extra)
        return written

    def find_owner(self, customer: CustomerName, repeat_key: RepeatKey) -> SlotOwner | None:
        """Find the owner of a key's slot in the newest known map."""
        return self.map.find_owner(find_slot(customer, repeat_key))

    def claim(self, customer: CustomerName, repeat_key: RepeatKey, claim: str) -> Verdict:
        """Decide a claim for an own slot, without an await between the checks and the ledger.

        The wall clock is read first: if this process is paused after the check of the confirmation, a key that it
        accepts afterwards was created before the pause, and a new owner refuses such keys as too old.
        """
        now = time.time()
        created_at = read_key_time(repeat_key)
        slot = find_slot(customer, repeat_key)
        ledger = self._find_ledger(slot)
        if slot not in self._ledgers:
            self._asked_at = read_clock()
        if created_at is None or ledger is None:
            return Verdict.NOT_OWNER
        return ledger.claim(customer, repeat_key, claim, created_at, now)

    def _find_ledger(self, slot: int) -> SlotLedger | None:
        """Find the ledger of an own slot, if this node may accept claims for the slot now."""
        clock = read_clock()
        if self._is_stopping or clock >= self._confirmed_at + CONFIRM_TIMEOUT_S:
            return None
        if clock < self._accept_from.get(slot, float("inf")):
            return None
        return self._ledgers.get(slot)

    def release(self, customer: CustomerName, repeat_key: RepeatKey, claim: str) -> None:
        """Release the claim of a request that was not run."""
        ledger = self._ledgers.get(find_slot(customer, repeat_key))
        if ledger is not None:
            ledger.release(customer, repeat_key, claim)


__all__ = ["CONFIRM_TIMEOUT_S", "SlotOwnership"]
