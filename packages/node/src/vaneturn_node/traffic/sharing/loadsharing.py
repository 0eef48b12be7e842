"""Relays tell each other what they and the nodes that ask them have in progress on each server."""

from __future__ import annotations

from typing import Final

import anyio

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.relays import list_relays
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.traffic.sharing.changeclient import ChangeClient

SHARE_TIME: Final = 0.6  # seconds between two words of a relay; followers tell theirs each 0.8 s


class LoadSharing:
    """One task; it does something on relays only."""

    def __init__(
        self, *, vm: VmId, view: PlatformView, beliefs: ServerStatuses, board: LoadBoard, peers: ChangeClient
    ) -> None:
        self._vm = vm
        self._view = view
        self._beliefs = beliefs
        self._board = board
        self._peers = peers

    async def run(self) -> None:
        """Tell the other relays until cancelled."""
        while True:
            await anyio.sleep(SHARE_TIME)
            relays = list_relays(self._view.nodes)
            if self._vm not in relays:
                continue
            loads = self._board.sum_followers(self._beliefs.list_loads())
            async with anyio.create_task_group() as tasks:
                for relay in relays:
                    address = self._view.nodes[relay]
                    if relay != self._vm and address is not None:
                        tasks.start_soon(self._peers.tell_loads, address, loads)


__all__ = ["LoadSharing"]
