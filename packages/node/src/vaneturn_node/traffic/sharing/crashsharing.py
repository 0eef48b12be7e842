"""Nodes tell each other which requests had just begun on servers that ended: at once, over the relays.

A client whose request has ended a server is back within 0.1 s, at any node. The word is therefore pushed on as soon as
it comes, also while the store is away; questions to a relay carry a checksum, so that a node that was frozen, cut off
or started anew gets what it lacks with its next one.
"""

from __future__ import annotations

import logging
from typing import Final

import anyio
import msgspec
from msgspec import Struct

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.contents import Content
from vaneturn_core.traffic.crashes import CrashBoard, ServerCrash, Suspicion
from vaneturn_core.traffic.relays import list_relays, rank_relays
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller
from vaneturn_node.traffic.servers.signals import Signal
from vaneturn_node.traffic.sharing.peerwords import send_word

CRASHES_PATH: Final = "/crashes"
GATHER: Final = 0.01  # seconds from a change to the word of it: requests on one server find its end together
TELL_GAP: Final = 0.1  # seconds between two words of a node
TELL_TIME: Final = 0.3  # seconds for a word; checksums show when it was lost
TELL_AGAIN: Final = 2.0  # seconds until a node that still knows something else is told the same again: with more ends
# than are kept, two nodes may never know the same

logger = logging.getLogger(__name__)


class EndRow(Struct, array_like=True):
    """The end of a server, as it travels."""

    server: str
    age: float  # seconds
    software: str
    suspects: list[tuple[int, int]]  # content and suspicion


class CrashWord(Struct):
    """All that a node knows of ends."""

    vm: VmId
    check: int  # of what it knows
    ends: list[EndRow]


class CrashSharing:
    """One task, and what the words of others do to this node."""

    def __init__(self, vm: VmId, board: CrashBoard, view: PlatformView, caller: Caller) -> None:
        self._vm = vm
        self._board = board
        self._view = view
        self._caller = caller
        self._has_news = Signal()
        self._told = board.check  # what those that this node tells know from it
        self._behind: set[VmId] = set()  # nodes that know something else
        self._answered: dict[VmId, tuple[int, int, float]] = {}  # both checksums, and when the node was told for them
        board.listeners.append(self._has_news.give)

    @property
    def check(self) -> int:
        """Give a checksum of what this node knows."""
        return self._board.check

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await self._has_news.wait()
            await anyio.sleep(GATHER)
            await self._tell()
            await anyio.sleep(TELL_GAP)

    def compare(self, vm: VmId, check: int) -> None:
        """Compare with what another node knows; it is told what this one knows when that differs."""
        own, now = self._board.check, read_clock()
        if check == own:
            return
        told_check, told_own, told_at = self._answered.get(vm, (own, own, float("-inf")))
        if (told_check, told_own) == (check, own) and now < told_at + TELL_AGAIN:
            return
        self._answered = {one: told for one, told in self._answered.items() if one in self._view.nodes}
        self._answered[vm] = check, own, now
        self._behind.add(vm)
        self._has_news.give()

    def take(self, body: bytes) -> None:
        """Take the word of another node."""
        try:
            word = msgspec.json.decode(body, type=CrashWord)
            ends = unpack_ends(word.ends, read_clock())
        except (msgspec.DecodeError, ValueError) as error:
            logger.warning("word on ended servers not understood", extra={"fault": str(error)})
            return
        if self._board.join(ends):
            logger.info("ended servers told", extra={"servers": sorted(ends), "teller": word.vm})
            if self._vm not in list_relays(self._view.nodes):
                self._told = self._board.check  # its relay has told it
        self.compare(word.vm, word.check)

    async def _tell(self) -> None:
        targets = self._list_targets() if self._told != self._board.check else set()
        targets |= self._behind
        self._told, self._behind = self._board.check, set()
        word = CrashWord(self._vm, self._board.check, pack_ends(self._board.list_crashes(), read_clock()))
        async with anyio.create_task_group() as tasks:
            for target in targets:
                address = self._view.nodes.get(target)
                if address is not None and target != self._vm:
                    tasks.start_soon(send_word, self._caller, address, CRASHES_PATH, TELL_TIME, word)

    def _list_targets(self) -> set[VmId]:
        """List whom to tell: the own relay, or as a relay the other relays and all that ask this one."""
        nodes = self._view.nodes
        ranked = rank_relays(self._vm, nodes)
        if ranked:
            return set(ranked[:1])
        relays = list_relays(nodes)
        return {node for node in nodes if node in relays or rank_relays(node, nodes)[0] == self._vm}


def pack_ends(ends: dict[ServerId, ServerCrash], now: float) -> list[EndRow]:
    """Pack ends with their ages."""
    return [
        EndRow(server, round(now - end.at, 3), end.software, [(one, int(word)) for one, word in end.suspects.items()])
        for server, end in ends.items()
    ]


def unpack_ends(rows: list[EndRow], now: float) -> dict[ServerId, ServerCrash]:
    """Unpack ends that have their ages at a steady time.

    :raises ValueError: a row holds no such suspicion.
    """
    return {
        ServerId(row.server): ServerCrash(
            now - max(0.0, row.age), row.software, {Content(one): Suspicion(word) for one, word in row.suspects}
        )
        for row in rows
    }


__all__ = ["CRASHES_PATH", "CrashSharing", "CrashWord", "pack_ends", "unpack_ends"]
