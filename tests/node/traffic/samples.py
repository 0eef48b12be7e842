"""Parts of a node for tests of the exchange between nodes."""

from __future__ import annotations

import time

from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.traffic.beliefs import ServerStatuses
from vaneturn_core.traffic.blame.crashboard import CrashBoard
from vaneturn_core.traffic.hearing import Reachability
from vaneturn_core.traffic.settings import Bounds
from vaneturn_core.traffic.view import PlatformView
from vaneturn_node.clock import read_clock
from vaneturn_node.http1.caller import Caller
from vaneturn_node.http1.clientanswer import ClientAnswer
from vaneturn_node.http1.pool import LinkPool
from vaneturn_node.platform.servers import ServerCalls
from vaneturn_node.traffic.servers.exchange import TrafficParts
from vaneturn_node.traffic.servers.reports import ReportBoard
from vaneturn_node.traffic.sharing.changelog import ChangeLog
from vaneturn_node.traffic.sharing.crashsharing import CrashSharing
from vaneturn_node.traffic.sharing.losssharing import LossSharing


class Answer(ClientAnswer):
    """Records the answer."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""

    async def send_whole(self, status: int, headers: object, body: bytes) -> None:
        assert headers is not None
        self.status = status
        self.body = body


def make_parts(vm: str, view: PlatformView, beliefs: ServerStatuses, caller: Caller) -> TrafficParts:
    calls = ServerCalls(caller)
    hearing = Reachability(read_clock)
    reports = ReportBoard(calls, hearing)
    return TrafficParts(
        VmId(vm), DataHall("east"), Bounds(), view, beliefs, LinkPool(), calls, reports, hearing, caller
    )


def make_crash_sharing(vm: str, view: PlatformView, caller: Caller) -> CrashSharing:
    return CrashSharing(VmId(vm), CrashBoard(time.monotonic, view.list_software), view, caller)


def make_sharing(vm: str, view: PlatformView, beliefs: ServerStatuses, caller: Caller) -> LossSharing:
    return LossSharing(VmId(vm), make_parts(vm, view, beliefs, caller), caller, ChangeLog())
