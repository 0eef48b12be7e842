"""Relays report the loads of servers by themselves and their followers to each other."""

from __future__ import annotations

from typing import Final

import anyio

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.relays import list_relays
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.traffic.sharing.changeclient import ChangeClient

REPORT_GAP_S: Final = 0.6  # time between two reports of a relay; followers send theirs every 0.8 s


class LoadSharing:
    """Reports loads to the other relays; does nothing on nodes that are not relays."""

    def __init__(
        self, *, vm: VmId, view: PlatformView, beliefs: ServerStatuses, board: LoadBoard, peers: ChangeClient
    ) -> None:
        self._vm = vm
        self._view = view
        self._beliefs = beliefs
        self._board = board
        self._peers = peers

    async def run(self) -> None:
        """Send reports to the other relays until cancelled."""
        while True:
            await anyio.sleep(REPORT_GAP_S)
            relays = list_relays(self._view.nodes)
            if self._vm not in relays:
                continue
            loads = self._board.sum_followers(self._beliefs.list_loads())
            async with anyio.create_task_group() as tasks:
                for relay in relays:
                    address = self._view.nodes[relay]
                    if relay != self._vm and address is not None:
                        tasks.start_soon(self._peers.report_loads, address, loads)


__all__ = ["LoadSharing"]
