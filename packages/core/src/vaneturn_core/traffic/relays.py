"""Selection of the relays, the nodes that get changes from the store, and the order in which other nodes ask them."""

from __future__ import annotations

import hashlib
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from vaneturn_core.identifiers import VmId

MAX_DIRECT_NODES: Final = 3  # up to this number, all nodes ask the store: a relay would save next to nothing
# nodes per relay. Each of them asks 1 to 5 times per second, which takes half a millisecond of the relay's processor
# time and 2 KB with 190 servers. With 16 in place of 48, 195 nodes keep 13 watches on the store in place of 5
NODES_PER_RELAY: Final = 48
MIN_RELAYS: Final = 2  # so that one is left when the other is lost

WATCH_SHARE: Final = 0.4  # of the shortest bound: longest time of a relay without an answer of the store
MAX_RELAY_WATCH_S: Final = 1.0  # keys are closed a few seconds after the last answer of the store
GATHER_SHARE: Final = 0.05  # of the shortest bound, between an answer and the next question, to batch changes
HOLD_MARGIN: Final = 0.05  # of the shortest bound, for the round trip to the store
ARRIVING_MARGIN: Final = 0.05  # of the shortest bound, for the transfer to the node that asked
ANSWER_MARGIN: Final = 0.15  # of the shortest bound, for the round trip to a relay on a congested link


@dataclass(frozen=True, slots=True)
class RelayTimes:
    """Timeouts of relays in seconds; a node leaves a lost relay after at most two thirds of the shortest bound."""

    gather: float  # between an answer with changes and the next question
    watch: float  # for which a relay's question waits at the store
    hold: float  # for which a relay holds a question without any answer of the store; then it is out of touch
    hold_arriving: float  # the same while an answer of the store is arriving: 0.4 MB take 0.3 to 0.5 s
    ask: float  # for which a node waits for a relay's answer; information of this age is not used
    bound: float  # the shortest bound, from which the others are derived

    @classmethod
    def derive(cls, shortest_bound: float) -> RelayTimes:
        """Derive the timeouts.

        :param shortest_bound: seconds from a change in the store to the last request that may ignore it.
        """
        watch = min(WATCH_SHARE * shortest_bound, MAX_RELAY_WATCH_S)
        hold = watch + HOLD_MARGIN * shortest_bound
        ask = hold + ANSWER_MARGIN * shortest_bound
        hold_arriving = ask - ARRIVING_MARGIN * shortest_bound
        return cls(GATHER_SHARE * shortest_bound, watch, hold, hold_arriving, ask, shortest_bound)


def count_relays(nodes: int) -> int:
    """Return the number of relays for a number of nodes."""
    if nodes <= MAX_DIRECT_NODES:
        return nodes
    return max(MIN_RELAYS, -(-nodes // NODES_PER_RELAY))


def list_relays(nodes: Collection[VmId]) -> list[VmId]:
    """List the relays; nodes that know the same set of nodes get the same list."""
    return _order(nodes)[: count_relays(len(nodes))]


def _order(nodes: Collection[VmId]) -> list[VmId]:
    return sorted(nodes, key=lambda node: (hash_text(node), node))


def rank_relays(own: VmId, nodes: Collection[VmId], left: Collection[VmId] = ()) -> list[VmId]:
    """Rank the relays in the order in which a node asks them; empty for a relay.

    The next nodes in the order replace relays that were left. Without this, when the store refused both relays of 64
    nodes, each of the other 62 watched the store itself until the relays were back.

    :param left: relays that are not asked for a while.
    """
    count = count_relays(len(nodes))
    relays = _order([node for node in nodes if node not in left])[:count]
    return [] if own in relays else sorted(relays, key=lambda relay: (hash_text(f"{own} {relay}"), relay))


def list_peers(own: VmId, nodes: Collection[VmId], reporters: Collection[VmId], *, is_replacing: bool) -> list[VmId]:
    """List the nodes with which a node exchanges sums of reports; empty for a node that is no relay.

    A node that replaces a relay comes after the relays and after other replacements, and reports to all before it; they
    report back to those that they hear from.

    :param reporters: nodes that reported sums recently.
    :param is_replacing: whether this node has followers and follows no relay itself.
    """
    relays = list_relays(nodes)
    if own not in relays:
        if not is_replacing or own not in nodes:
            return []
        order = _order(nodes)
        relays = order[: min(order.index(own), 2 * len(relays))]
    added = [node for node in reporters if node in nodes and node not in relays]
    return [node for node in (*relays, *added) if node != own]


def rank_candidate(own: VmId, nodes: Collection[VmId]) -> int | None:
    """Rank a node among the candidates for the tenure: relays first, then all other nodes with the same rank.

    :return: none for a node that is not listed yet.
    """
    if own not in nodes:
        return None
    relays = list_relays(nodes)
    return relays.index(own) if own in relays else len(relays)


def hash_text(text: str) -> bytes:
    """Hash a text; the hash is the same on every node, so that all nodes rank the same texts in the same order."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


__all__ = ["RelayTimes", "count_relays", "hash_text", "list_peers", "list_relays", "rank_candidate", "rank_relays"]
