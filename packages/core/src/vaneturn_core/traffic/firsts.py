"""Selection of the first servers of a node's chains, from a few that are fixed for each node.

Hundreds of nodes, each with about one request per second, share load reports that are 1 to 2 s old. If each node chose
the least loaded chain, that chain would get all requests until the next report. So a node compares two candidates drawn
at random, which limits what one chain can get. If they were drawn from all servers, the node would rarely have an open
connection to them, and most would be in other halls. So they are drawn from a few servers that a hash assigns to the
node.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.traffic.relays import hash_text
from vaneturn_core.traffic.servers import BackendServer

# servers assigned to a node in its own hall, and as many in all halls. In a model of 195 nodes and 190 servers, 58% of
# requests come within 6 s of another one from the same node on the same first server, and 63% stay in the hall; with
# two servers drawn from all, these are 11% and 23%. The busiest first server gets 1.7 times the mean
ASSIGNED_FIRSTS: Final = 2


def pick_firsts(node: VmId, hall: DataHall, firsts: Sequence[BackendServer]) -> list[BackendServer]:
    """Pick the candidates of one choice: one in the node's hall and one in any hall, as far as there are any.

    :param firsts: servers that hold the first layer and may get new work.
    """
    ranked = sorted(firsts, key=lambda server: hash_text(f"{node} {server.id}"))
    inside = _pick_at_random([server for server in ranked if server.hall == hall])
    taken = {server.id for server in inside}
    return inside + _pick_at_random([server for server in ranked if server.id not in taken])


def _pick_at_random(ranked: Sequence[BackendServer]) -> list[BackendServer]:
    assigned = ranked[:ASSIGNED_FIRSTS]
    return [random.choice(assigned)] if assigned else []


__all__ = ["ASSIGNED_FIRSTS", "pick_firsts"]
