"""The relay that a node asks, and when and for how long the node may ask the store itself."""

from __future__ import annotations

from typing import Final

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.outage import RELAY_RETRY_DELAY_S, draw_store_retry
from vaneturn_core.traffic.relays import RelayTimes, rank_relays
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock

RELAY_BACKOFF_S: Final = 4.0  # time for which a relay that failed is not asked
WATCH_TIME_S: Final = 1.6  # each answer confirms the API keys, which stay valid for a few seconds
MIN_WATCH_S: Final = 0.2


class RelayChoice:
    """Chooses among the relays that did not fail recently."""

    def __init__(self, vm: VmId, view: PlatformView, times: RelayTimes) -> None:
        self._vm = vm
        self._view = view
        self._times = times
        self._backoffs: dict[VmId, float] = {}  # relays that failed, and until when they are not asked
        self._out_of_touch: set[VmId] = set()  # relays whose latest answer was that they cannot reach the store
        self._direct_calls_from = float("-inf")  # until then only the relays ask the store

    def choose(self) -> VmId | None:
        """Choose the relay to ask next; None if there is none, or this node is a relay."""
        now = read_clock()
        backed_off = [relay for relay, until in self._backoffs.items() if until > now]
        return next(iter(rank_relays(self._vm, self._view.nodes, backed_off)), None)

    def may_ask_store(self) -> bool:
        """Check whether this node may ask the store itself."""
        return read_clock() >= self._direct_calls_from

    def note_answer(self) -> None:
        """Note that a relay is in touch with the store."""
        self._out_of_touch.clear()
        self._direct_calls_from = float("-inf")

    def back_off(self, relay: VmId, *, is_out_of_touch: bool) -> None:
        """Stop asking a relay for a while; only briefly in an outage for all nodes, in which it answers at once."""
        now = read_clock()
        is_outage = is_out_of_touch and now < self._direct_calls_from
        self._backoffs = {known: until for known, until in self._backoffs.items() if known in self._view.nodes}
        self._backoffs[relay] = now + (RELAY_RETRY_DELAY_S if is_outage else RELAY_BACKOFF_S)
        if is_out_of_touch:
            self._out_of_touch.add(relay)
        else:
            self._out_of_touch.discard(relay)

    def note_store_failure(self) -> None:
        """Ask only the relays for a while, and soon again, if they cannot reach the store either."""
        if not self._out_of_touch:
            return
        now = read_clock()
        self._direct_calls_from = now + draw_store_retry(self._view.count_nodes(), self._times.bound)
        self._backoffs.update(dict.fromkeys(self._out_of_touch, now + RELAY_RETRY_DELAY_S))


def choose_watch_time(times: RelayTimes, age: float, *, has_followers: bool) -> float:
    """Choose how long to wait for changes, so that the state for followers does not get too old in the meantime.

    After reading a long value it is already 0.9 s old, and would be 1.9 s old after another full watch.
    """
    if not has_followers:
        return WATCH_TIME_S
    return min(times.watch, max(MIN_WATCH_S, times.hold_arriving - age))


__all__ = ["RelayChoice", "choose_watch_time"]
