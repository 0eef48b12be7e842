"""Waits for the evidence on which a sent request is rejected as one that crashes servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio

from vaneturn_core.traffic.blame.causes import Cause
from vaneturn_node.clock import read_clock
from vaneturn_node.traffic.serving.requests import RequestContext

CHECK_INTERVAL_S: Final = 0.05


async def find_settled_block(context: RequestContext, is_aborting: Callable[[], bool]) -> Cause | None:
    """Find why a request may not run any more; None if it may.

    One that lost its servers waits until other nodes have reported what they had sent there: a harmless one may go on
    then. One that was not sent is refused at once, and so is one that another node has forwarded, which waits itself.
    """
    while True:
        block = context.find_block()
        if block is None or context.crashes.is_final(block):
            return block
        has_lost_servers = context.sends > 0 and not context.is_forwarded
        if not has_lost_servers or is_aborting() or not read_clock() < block.settles_at < context.expires_at:
            return block
        context.add_wait_step("waits for reports of crashes")
        await anyio.sleep(CHECK_INTERVAL_S)


__all__ = ["find_settled_block"]
