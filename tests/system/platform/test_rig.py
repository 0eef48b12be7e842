"""The rig itself: what a test leaves behind does not fail it."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from rig.traffic import open_traffic

pytestmark = pytest.mark.anyio


async def test_connection_that_waits_at_the_end_is_taken_before_the_stand_ins_stop(tmp_path: Path) -> None:
    """asyncio raises InvalidStateError when a connection comes in the turn of the loop that cancels its listener."""
    async with open_traffic(tmp_path, nodes=1) as traffic:
        host, _, port = traffic.nodes[0].store_address.rpartition(":")
        traffic.nodes[0].process.end()
        waiting = socket.create_connection((host, int(port)))
    waiting.close()
