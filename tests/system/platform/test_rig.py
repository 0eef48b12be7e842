"""The rig itself: what a test leaves behind does not fail it."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path
from typing import Any

import anyio
import pytest

from rig.traffic import open_traffic
from standins.platform.store import Store

pytestmark = pytest.mark.anyio


async def test_connection_that_waits_at_the_end_is_taken_before_the_stand_ins_stop(tmp_path: Path) -> None:
    """asyncio raises InvalidStateError when a connection comes in the turn of the loop that cancels its listener."""
    async with open_traffic(tmp_path, nodes=1) as traffic:
        host, _, port = traffic.nodes[0].store_address.rpartition(":")
        traffic.nodes[0].process.end()
        waiting = socket.create_connection((host, int(port)))
    waiting.close()


async def test_watch_that_ends_beside_a_change_does_not_skip_it() -> None:
    """Three nodes read nothing of six servers' layers: their watches ended in the turn of the writes.

    The empty answers named the revision after the writes, and the next watches went on from there.
    """
    store = Store()
    store.put("servers/i-1", b"empty")
    query = {"since_rev": str(store.revision), "wait_ms": "20", "path_prefix": ""}
    before = store.revision
    answers: list[Any] = []

    async def watch() -> None:
        answers.append(await store._watch(query))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        await anyio.sleep(0.005)
        asyncio.get_running_loop().call_later(0.02, store.put, "servers/i-1", b"loaded")
        block(0.03)  # the end of the watch and the write are due together then
        await anyio.sleep(0.01)
    (_, page) = answers[0]
    assert page["events"] or page["at"] == before


def block(seconds: float) -> None:
    """Hold the turn of the loop: what is due meanwhile comes together after it."""
    time.sleep(seconds)
