"""A relay and the nodes that ask it, connected in one process."""

from __future__ import annotations

import time

import anyio

from core.traffic.samples import make_server
from node.traffic.samples import Answer, make_crash_sharing, make_parts, make_sharing
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.loads import LoadBoard
from vaneturn_core.traffic.relays import RelayTimes
from vaneturn_core.traffic.servers import ServerId
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.http1.requestreader import ClientRequest
from vaneturn_node.platform.epochs import StoreState
from vaneturn_node.platform.store import StoreItem
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.sharing.changeclient import ChangeClient
from vaneturn_node.traffic.sharing.changelog import ChangeLog
from vaneturn_node.traffic.sharing.changeserver import ChangeServer
from vaneturn_node.traffic.sharing.demandsharing import DemandSharing
from vaneturn_node.traffic.sharing.losssharing import LossSharing
from vaneturn_node.traffic.sharing.serverrows import RESERVED_UNIT

TIMES = RelayTimes.derive(2.0)
BUSY = ServerId("i-1")
RESERVED = 10 * RESERVED_UNIT  # by each request


class Transport(Caller):
    """Delivers a request to a server in this process, and its answer after a delay in seconds."""

    def __init__(self, server: ChangeServer, delay: float = 0.0) -> None:
        super().__init__(LinkPool())
        self._server = server
        self._delay = delay

    async def call(self, address: str, method: str, target: str, limit: float, **sent: object) -> Reply | Failed:
        assert limit > 0
        assert address in {"relay", "second"}
        answer = Answer()
        request = ClientRequest(method, target, target.partition("?")[0], [], sent["body"], time.monotonic())  # type: ignore[arg-type]
        await self._server.answer(request, answer)
        await anyio.sleep(self._delay)
        return Reply(answer.status, answer.body)


class Relay:
    """A relay that has read the store at revision 5."""

    def __init__(self) -> None:
        self.view = PlatformView(5.0, time.monotonic)
        self.view.put_server(make_server(1, "a100", "east"))
        self.log = ChangeLog()
        self.log.replace([], StoreState(5))
        self.view.confirm(time.monotonic())
        self.beliefs = ServerStatuses()
        self.board = LoadBoard(time.monotonic)
        self.parts = make_parts("entry-1", self.view, self.beliefs, Caller(LinkPool()))
        self.losses = LossSharing(VmId("entry-1"), self.parts, Caller(LinkPool()), self.log)
        self.server = ChangeServer(
            log=self.log,
            view=self.view,
            times=TIMES,
            beliefs=self.beliefs,
            board=self.board,
            losses=self.losses,
            crashes=make_crash_sharing("entry-1", self.view, Caller(LinkPool())),
            permits=self.parts.permits,
            demand=DemandSharing(self.parts),
        )

    def hear(self, *items: StoreItem, revision: int) -> None:
        self.view.confirm(time.monotonic())
        self.log.append(items, StoreState(revision))


def make_client(
    caller: Caller, name: str = "entry-2", busy: int = 0, parts: TrafficParts | None = None
) -> tuple[ChangeClient, LoadBoard]:
    """Make the client of a node that leads some requests over the server i-1.

    :param parts: of a node with demand to report.
    """
    beliefs, board = ServerStatuses(), LoadBoard(time.monotonic)
    lead(beliefs, busy)
    view = PlatformView(5.0, time.monotonic)
    view.put_server(make_server(1, "a100", "east"))
    losses = make_sharing(name, view, beliefs, caller)
    client = ChangeClient(
        caller=caller,
        times=TIMES,
        vm=VmId(name),
        view=view,
        beliefs=beliefs,
        board=board,
        losses=losses,
        crashes=make_crash_sharing(name, view, caller),
        permits=make_parts(name, view, beliefs, caller).permits,
        demand=DemandSharing(parts or make_parts(name, view, beliefs, caller)),
    )
    return client, board


def lead(beliefs: ServerStatuses, requests: int) -> None:
    belief = beliefs[BUSY]
    belief.in_progress = belief.leading = requests
    belief.reserved = RESERVED * requests
