"""Exchanges reports of crashed servers and the requests that had just begun on them, over the relays.

A client whose request crashed a server retries within 0.1 s, at any node. Reports are therefore pushed at once, even
while the store is unavailable. Requests to a relay carry a checksum, so that a node that was frozen, disconnected or
restarted gets the missing reports after its next request.
"""

from __future__ import annotations

import logging
from typing import Final

import anyio
import msgspec
from msgspec import Struct

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.contents import Content
from vaneturn_core.traffic.crashes import CrashBoard, ServerEnd, Suspicion
from vaneturn_core.traffic.relays import list_relays, rank_relays
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller
from vaneturn_node.traffic.servers.signals import Signal
from vaneturn_node.traffic.sharing.peerwords import send_word

CRASHES_PATH: Final = "/crashes"
GATHER: Final = 0.01  # seconds from a change to its report; all requests on a server notice its crash together
TELL_GAP: Final = 0.1  # seconds between two reports of a node
TELL_TIME: Final = 0.3  # seconds until a report times out; checksums reveal lost reports
# Seconds until the same report is sent again to a node with a different checksum. If there are more crashes than are
# kept, the checksums of two nodes may never agree.
TELL_AGAIN: Final = 2.0

logger = logging.getLogger(__name__)


class EndRow(Struct, array_like=True):
    """The crash of a server, as sent between nodes."""

    server: str
    age: float  # seconds
    software: str
    suspects: list[tuple[int, int]]  # content and suspicion


class CrashWord(Struct):
    """All crashes that a node knows of."""

    vm: VmId
    check: int  # checksum of the crashes
    ends: list[EndRow]


class CrashSharing:
    """Sends crash reports to other nodes from one task, and handles theirs."""

    def __init__(self, vm: VmId, board: CrashBoard, view: PlatformView, caller: Caller) -> None:
        self._vm = vm
        self._board = board
        self._view = view
        self._caller = caller
        self._has_news = Signal()
        self._told = board.check  # checksum of what this node has reported
        self._behind: set[VmId] = set()  # nodes whose checksum differs
        self._answered: dict[VmId, tuple[int, int, float]] = {}  # their checksum, the own one, time of the report
        board.listeners.append(self._has_news.notify)

    @property
    def check(self) -> int:
        """Checksum of the crashes that this node knows of."""
        return self._board.check

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await self._has_news.wait()
            await anyio.sleep(GATHER)
            await self._tell()
            await anyio.sleep(TELL_GAP)

    def compare(self, vm: VmId, check: int) -> None:
        """Compare the checksum of another node with the own one; if they differ, send a report to that node."""
        own, now = self._board.check, read_clock()
        if check == own:
            return
        told_check, told_own, told_at = self._answered.get(vm, (own, own, float("-inf")))
        if (told_check, told_own) == (check, own) and now < told_at + TELL_AGAIN:
            return
        self._answered = {one: told for one, told in self._answered.items() if one in self._view.nodes}
        self._answered[vm] = check, own, now
        self._behind.add(vm)
        self._has_news.notify()

    def take(self, body: bytes) -> None:
        """Handle the report of another node."""
        try:
            word = msgspec.json.decode(body, type=CrashWord)
            ends = unpack_ends(word.ends, read_clock())
        except (msgspec.DecodeError, ValueError) as error:
            logger.warning("report of crashed servers not understood", extra={"fault": str(error)})
            return
        if self._board.join(ends):
            logger.info("ended servers told", extra={"servers": sorted(ends), "teller": word.vm})
            if self._vm not in list_relays(self._view.nodes):
                self._told = self._board.check  # received from its relay, which needs no report of it
        self.compare(word.vm, word.check)

    async def _tell(self) -> None:
        targets = self._list_targets() if self._told != self._board.check else set()
        targets |= self._behind
        self._told, self._behind = self._board.check, set()
        word = CrashWord(self._vm, self._board.check, pack_ends(self._board.list_ends(), read_clock()))
        async with anyio.create_task_group() as tasks:
            for target in targets:
                address = self._view.nodes.get(target)
                if address is not None and target != self._vm:
                    tasks.start_soon(send_word, self._caller, address, CRASHES_PATH, TELL_TIME, word)

    def _list_targets(self) -> set[VmId]:
        """List the nodes to report to: its own relay or, on a relay, the other relays and its followers."""
        nodes = self._view.nodes
        ranked = rank_relays(self._vm, nodes)
        if ranked:
            return set(ranked[:1])
        relays = list_relays(nodes)
        return {node for node in nodes if node in relays or rank_relays(node, nodes)[0] == self._vm}


def pack_ends(ends: dict[ServerId, ServerEnd], now: float) -> list[EndRow]:
    """Pack crashes with their ages."""
    return [
        EndRow(server, round(now - end.at, 3), end.software, [(one, int(word)) for one, word in end.suspects.items()])
        for server, end in ends.items()
    ]


def unpack_ends(rows: list[EndRow], now: float) -> dict[ServerId, ServerEnd]:
    """Unpack crashes whose ages count from a monotonic time.

    :raises ValueError: a row contains an unknown suspicion.
    """
    return {
        ServerId(row.server): ServerEnd(
            now - max(0.0, row.age), row.software, {Content(one): Suspicion(word) for one, word in row.suspects}
        )
        for row in rows
    }


__all__ = ["CRASHES_PATH", "CrashSharing", "CrashWord", "pack_ends", "unpack_ends"]
