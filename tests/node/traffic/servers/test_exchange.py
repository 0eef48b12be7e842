"""What the objects of a node derive from each other."""

from __future__ import annotations

import time

from node.traffic.samples import make_parts
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.blame.contents import digest_content
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.pool import LinkPool


def test_trials_of_blocked_requests_stay_apart_while_the_list_of_nodes_lapses() -> None:
    """With the nodes listed now, all nodes tried a request that crashes servers within a second."""
    view = PlatformView(5.0, time.monotonic)
    parts = make_parts("entry-1", view, ServerStatuses(), Caller(LinkPool()))
    identity = digest_content("host", "POST", "/letter/1", "caller", b"letter")
    parts.node_share.note({VmId(f"entry-{number}") for number in range(64)})
    delay = parts._compute_trial_delay(identity)
    parts.node_share.note(set())
    assert parts._compute_trial_delay(identity) == delay
