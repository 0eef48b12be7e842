"""Which servers a node's chains begin at: a few of its own, so that knowledge and connections stay with few.

Load pattern: hundreds of nodes, each with about one request a second, all with the same word of load that is 1 to 2 s
old. The least loaded chain of all would get every node's requests until the next word; so a choice is the better of two
at random, which bounds what one chain can get. Taken from all servers these two would nearly always be servers that the
node has no open connection to, most of them in other halls; so they are taken from a few that a hash deals to the node.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.traffic.relays import hash_text
from vaneturn_core.traffic.servers import BackendServer

# dealt to a node in its own hall, and as many in all halls. In a model of 195 nodes and 190 servers, 58% of requests
# come within 6 s of another of the node on the same first server, 11% with two of all servers at random; 63% stay in
# the hall, 23% with those; the busiest first server gets 1.7 times the mean
HOME_FIRSTS: Final = 2


def pick_firsts(node: VmId, hall: DataHall, firsts: Sequence[BackendServer]) -> list[BackendServer]:
    """Pick the candidates of one choice: one in the node's hall and one anywhere, where there are such.

    :param firsts: servers that hold the first layer and may get new work.
    """
    ranked = sorted(firsts, key=lambda server: hash_text(f"{node} {server.id}"))
    inside = _pick_one([server for server in ranked if server.hall == hall])
    return inside + _pick_one([server for server in ranked if server not in inside])


def _pick_one(ranked: Sequence[BackendServer]) -> list[BackendServer]:
    home = ranked[:HOME_FIRSTS]
    return [random.choice(home)] if home else []


__all__ = ["HOME_FIRSTS", "pick_firsts"]
