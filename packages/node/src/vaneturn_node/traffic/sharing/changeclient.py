"""Asks relays for changes of the store; what they tell of times is never taken for younger than it is."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

import msgspec

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.loads import LoadBoard, Loads
from vaneturn_core.traffic.relays import RelayTimes
from vaneturn_core.traffic.view import PlatformView, StoreContact
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller, Reply
from vaneturn_node.traffic.servers.permits import Permits
from vaneturn_node.traffic.sharing.changelog import Change
from vaneturn_node.traffic.sharing.changeserver import CHANGES_PATH, LOADS_PATH, OUT_OF_TOUCH
from vaneturn_node.traffic.sharing.crashsharing import CrashSharing
from vaneturn_node.traffic.sharing.losssharing import LossSharing
from vaneturn_node.traffic.sharing.peerwords import (
    RelayWord,
    ToldLoads,
    decode_reply,
    send_word,
    unpack_total,
)
from vaneturn_node.traffic.sharing.serverrows import pack_loads

TELL_TIME: Final = 0.5  # seconds for a word on loads; the next one follows


@dataclass(frozen=True, slots=True)
class RelayedChanges:
    """What a relay knows after a revision."""

    revision: int
    changes: list[Change]
    contact: StoreContact


class NoChanges(Enum):
    """Why a relay told nothing."""

    OUT_OF_TOUCH = "out of touch"  # it answered that it does not reach the store either
    NO_ANSWER = "no answer"  # none in time, none that is understood, or it does not keep the changes any more


class ChangeClient:
    """Asks relays for changes."""

    def __init__(
        self,
        *,
        caller: Caller,
        times: RelayTimes,
        vm: VmId,
        view: PlatformView,
        beliefs: ServerStatuses,
        board: LoadBoard,
        losses: LossSharing,
        crashes: CrashSharing,
        permits: Permits,
    ) -> None:
        self._permits = permits
        self._losses = losses
        self._crashes = crashes
        self._vm = vm
        self._view = view
        self._beliefs = beliefs
        self._board = board
        self._caller = caller
        self._times = times

    async def ask(self, address: str, since: int) -> RelayedChanges | NoChanges:
        """Wait for changes after a revision."""
        started = read_clock()
        loads = self._beliefs.list_loads()
        body = msgspec.json.encode(self._make_word(loads))
        reply = await self._caller.call(address, "POST", f"{CHANGES_PATH}?since={since}", self._times.ask, body=body)
        if isinstance(reply, Reply) and reply.status == OUT_OF_TOUCH:
            return NoChanges.OUT_OF_TOUCH
        word = decode_reply(reply, RelayWord)
        if word is None:
            return NoChanges.NO_ANSWER
        told_at = started + max(0.0, word.held)
        contact = StoreContact(
            _compute_time(told_at, word.confirmed_age),
            _compute_time(told_at, word.failed_age),
            _compute_time(told_at, word.returned_age),
        )
        if read_clock() - contact.confirmed_at > self._times.ask:
            return NoChanges.NO_ANSWER
        total = unpack_total(word.loads, self._view.servers)
        if total is not None:
            self._board.record_total(total, loads)
        self._losses.take_confirmed(word.losses, address)
        self._permits.take_news(word.limits)
        return RelayedChanges(word.revision, word.changes, contact)

    async def tell_loads(self, address: str, loads: Loads) -> None:
        """Tell another relay what this one and those that ask it have in progress; a lost word is told anew soon."""
        await send_word(self._caller, address, LOADS_PATH, TELL_TIME, self._make_word(loads))

    def _make_word(self, loads: Loads) -> ToldLoads:
        return ToldLoads(self._vm, pack_loads(loads), self._crashes.check, self._permits.list_news())


def _compute_time(now: float, age: float | None) -> float:
    return float("-inf") if age is None else now - age


__all__ = ["ChangeClient", "NoChanges", "RelayedChanges"]
