"""Nodes that follow one store over relays in this process, on virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from typing import Any

import anyio

from core.traffic.samples import make_server
from node.traffic.samples import Answer, make_crash_sharing, make_parts
from node.traffic.sharing.samples import BUSY, lead
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.relays import RelayTimes, list_relays
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.platform.epochs import StoreState
from vaneturn_node.platform.store import NotDone, StorePage
from vaneturn_node.traffic.following.follower import StoreFollower
from vaneturn_node.traffic.servers.firstreading import FirstReading
from vaneturn_node.traffic.sharing.changeclient import ChangeClient
from vaneturn_node.traffic.sharing.changelog import ChangeLog
from vaneturn_node.traffic.sharing.changeserver import ChangeServer
from vaneturn_node.traffic.sharing.demandsharing import DemandSharing
from vaneturn_node.traffic.sharing.loadsharing import LoadSharing
from vaneturn_node.traffic.sharing.losssharing import LossSharing

TIMES = RelayTimes.derive(3.0)
MESSAGE_TIME_S = 0.002
SETTLING_TIME_S = 15.0
START_TIME_S = 2.0  # within which the nodes start; in step, all would ask at the same moments for ever


class Store:
    """Has no changes; can turn nodes away, also in the middle of a call."""

    def __init__(self) -> None:
        self._refused: Collection[VmId] = ()
        self._changed = anyio.Event()

    def refuse(self, vms: Collection[VmId]) -> None:
        """Turn away the calls of these nodes only."""
        self._refused = vms
        self._changed.set()
        self._changed = anyio.Event()

    async def watch(self, vm: VmId, since: StoreState, wait: float) -> StorePage | NotDone:
        await anyio.sleep(MESSAGE_TIME_S)
        with anyio.move_on_after(wait):
            while vm not in self._refused:
                await self._changed.wait()
            return NotDone("status 503")
        return StorePage((), since)


class StoreClient:
    """The store as one node calls it."""

    def __init__(self, store: Store, vm: VmId) -> None:
        self._store = store
        self._vm = vm

    async def watch(self, _prefix: str, since: StoreState, wait: float, _arrival: object) -> StorePage | NotDone:
        return await self._store.watch(self._vm, since, wait)

    async def read_state(self) -> NotDone:
        return NotDone("not read")


class Keeper:
    """Has a complete view at all times."""

    def forget_lapsed(self) -> None:
        pass

    def has_newest_configuration(self) -> bool:
        return True


class StoreFleet(Caller):
    """Delivers messages between the nodes; the address of a node is its name."""

    def __init__(self, count: int, seed: int = 1) -> None:
        super().__init__(LinkPool())
        self._random = random.Random(seed)
        self.store = Store()
        self.frozen: set[VmId] = set()  # nodes that answer no other node
        self.vms = [VmId(f"entry-{number}") for number in range(count)]
        self.relays = list_relays(self.vms)
        self.nodes: dict[str, Node] = {}
        for vm in self.vms:
            Node(vm, self)

    async def call(self, address: str, method: str, target: str, limit: float, **sent: object) -> Reply | Failed:
        await anyio.sleep(MESSAGE_TIME_S)
        body = sent["body"]
        assert isinstance(body, bytes)
        answer = Answer()
        request = ClientRequest(method, target, target.partition("?")[0], [], body, read_clock())
        with anyio.move_on_after(limit):
            if VmId(address) in self.frozen:
                await anyio.sleep_forever()
            await self.nodes[address].server.answer(request, answer)
            await anyio.sleep(MESSAGE_TIME_S)
            return Reply(answer.status, answer.body)
        return Failed("timeout", was_sent=True)

    async def run(self, act: Callable[[StoreFleet], Any]) -> None:
        """Run all nodes while an action lasts."""
        async with anyio.create_task_group() as tasks:
            for node in self.nodes.values():
                tasks.start_soon(node.run, self._random.uniform(0, START_TIME_S))
            await act(self)
            tasks.cancel_scope.cancel()

    async def settle(self) -> None:
        """Run until the nodes follow their relays."""
        await anyio.sleep(SETTLING_TIME_S)

    async def watch(self, seconds: float) -> list[float]:
        """Return how often the nodes count each request in progress meanwhile; 0 for a node without reports."""
        counts: list[float] = []
        for _ in range(round(seconds / 0.2)):
            await anyio.sleep(0.2)
            counts += [self.nodes[vm].count_seen() / len(self.vms) for vm in self.vms if vm not in self.frozen]
        return counts


class Node:
    """A node with one request in progress, over the server i-1."""

    def __init__(self, vm: VmId, fleet: StoreFleet) -> None:
        view = PlatformView(5.0, read_clock)
        view.put_server(make_server(1, "a100", "east"))
        view.nodes = {node: str(node) for node in fleet.vms}
        view.confirm(read_clock())
        beliefs, log = ServerStatuses(), ChangeLog()
        lead(beliefs, 1)
        log.replace([], StoreState(5))
        self.parts = make_parts(vm, view, beliefs, fleet)
        demand, losses = DemandSharing(self.parts), LossSharing(vm, self.parts, fleet, log)
        common: dict[str, Any] = {
            "times": TIMES,
            "view": view,
            "beliefs": beliefs,
            "board": self.parts.board,
            "losses": losses,
            "crashes": make_crash_sharing(vm, view, fleet),
            "permits": self.parts.permits,
            "demand": demand,
        }
        self.server = ChangeServer(log=log, **common)
        client = ChangeClient(caller=fleet, vm=vm, **common)
        self.sharing = LoadSharing(self.parts, demand, client)
        store: Any = StoreClient(fleet.store, vm)
        keeper: Any = Keeper()
        reader: Any = None
        self.follower = StoreFollower(
            vm=vm,
            store=store,
            view=view,
            keeper=keeper,
            log=log,
            peers=client,
            server=self.server,
            reader=reader,
            times=TIMES,
            first_reading=FirstReading(),
        )
        self.follower._revision = StoreState(5)
        fleet.nodes[vm] = self

    async def run(self, delay: float) -> None:
        await anyio.sleep(delay)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self.sharing.run)

    def count_seen(self) -> int:
        """Count the requests in progress that it sees over all nodes; 0 without recent reports."""
        others = self.parts.board.get_others(BUSY)
        return 0 if others is None else 1 + others.leading
