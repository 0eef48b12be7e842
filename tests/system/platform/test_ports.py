"""The stand-ins of a test give their ports back, so that the tests of one process do not run out of them."""

from __future__ import annotations

import gc
import socket
from pathlib import Path

import pytest

from rig.traffic import open_traffic

pytestmark = pytest.mark.anyio


async def test_stand_ins_close_their_listeners(tmp_path: Path) -> None:
    """A process of tests held 138 of its 500 ports until its garbage was collected, and ran out of them once."""
    gc.collect()
    gc.disable()
    try:
        async with open_traffic(tmp_path) as traffic:
            await traffic.add_desk()
            await traffic.add_chains(("east",))
        listening = [one for one in gc.get_objects() if isinstance(one, socket.socket) and is_listening(one)]
    finally:
        gc.enable()
    assert listening == []


def is_listening(one: socket.socket) -> bool:
    return one.fileno() >= 0 and bool(one.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
