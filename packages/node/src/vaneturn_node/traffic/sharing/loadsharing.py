"""Relays report the loads of servers and the demand, by themselves and their followers, to each other.

So do nodes that replace a relay, unless they follow one themselves: then they report their followers to that one, and
withdraw what they reported to the others.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import anyio

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.relays import list_peers
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.sharing.changeclient import ChangeClient
from vaneturn_node.traffic.sharing.demandsharing import DemandSharing

REPORT_GAP_S: Final = 0.6  # time between two reports of a relay; followers send theirs every 0.8 s


class LoadSharing:
    """Reports loads to the other relays; does nothing on nodes that neither are relays nor replace one."""

    def __init__(self, parts: TrafficParts, demand: DemandSharing, peers: ChangeClient) -> None:
        self._vm = parts.vm
        self._view = parts.view
        self._beliefs = parts.beliefs
        self._board = parts.board
        self._demand = demand
        self._peers = peers
        self._reported: set[VmId] = set()  # nodes that got the latest sums of this one

    async def run(self) -> None:
        """Send reports to the other relays until cancelled."""
        while True:
            await anyio.sleep(REPORT_GAP_S)
            reporters = self._board.list_reporters()
            peers = list_peers(self._vm, self._view.nodes, reporters, is_replacing=self._board.replaces_relay())
            left = self._reported - set(peers)
            self._reported = set(peers)
            if not peers and not left:
                continue
            loads = self._board.sum_followers(self._beliefs.list_loads())
            demand = self._demand.pack_followers()
            async with anyio.create_task_group() as tasks:
                for address in self._list_addresses(peers):
                    tasks.start_soon(self._peers.report_loads, address, loads, demand)
                for address in self._list_addresses(left):
                    tasks.start_soon(self._peers.withdraw_report, address)

    def _list_addresses(self, nodes: Iterable[VmId]) -> list[str]:
        addresses = [self._view.nodes.get(node) for node in nodes]
        return [address for address in addresses if address is not None]


__all__ = ["LoadSharing"]
