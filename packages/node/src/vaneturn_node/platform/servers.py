"""The list of backend servers, their reports and the orders to them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final, TypeVar

import msgspec
from msgspec import Struct

from vaneturn_core.faults import Fault, describe_decode_error
from vaneturn_core.identifiers import RequestId, ServiceName
from vaneturn_core.traffic.chain import Part
from vaneturn_core.traffic.servers import BackendServer, LayerRange, ServerAddress, ServerId, ServerState
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.platform.headers import EXPECTED_SERVER, format_chain

SERVERS_PREFIX: Final = "servers/"
REPORT_TIME: Final = 0.4  # seconds; a sound server answers in a few milliseconds
ORDER_TIME: Final = 0.6  # seconds


class _Layers(Struct, rename={"first": "from", "end": "target_version"}):  # exclusive end, not a version
    first: int
    end: int


class _Entry(Struct):
    service: str
    addr: str
    zone: str
    state: str
    slots: int = 1
    route_type: str | None = None  # kind of its accelerator, not of a route
    layers: list[_Layers] | _Layers | None = None
    version: str | int = ""  # of its software


class _Stalled(Struct):
    id: str = ""
    addr: str = ""


class _Report(Struct):
    seq: int = 0
    utilization: bool = False  # an order is under way
    pace: float = 1.0
    layers: list[_Layers] | _Layers | None = None
    stalled: list[_Stalled] = []


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What a server says of itself when asked."""

    orders: int  # begun since its start
    is_loading: bool
    slowness: float  # over 1: slower than its kind
    layers: tuple[LayerRange, ...]
    stalled: dict[RequestId, ServerAddress]  # requests that wait for a part of their chain, and that part


class OrderOutcome(Enum):
    """What became of an order."""

    TAKEN = "taken"
    CONFLICT = "conflict"  # does not fit the server's state, or another order came between
    FENCED = "fenced"  # a newer holder has ordered
    REFUSED = "refused"  # another server has the address, or the order is wrong
    UNKNOWN = "unknown"  # no answer: may be taken, also later


def decode_server(id_: ServerId, value: bytes) -> BackendServer | Fault:
    """Decode an entry of the list."""
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        return BackendServer(
            id=id_,
            service=ServiceName(entry.service),
            address=ServerAddress(entry.addr),
            hall=entry.zone,
            state=ServerState(entry.state),
            slots=entry.slots,
            kind=entry.route_type,
            layers=_convert_layers(entry.layers),
            software=str(entry.version),
        )
    except msgspec.DecodeError as error:
        return describe_decode_error(error)
    except ValueError as error:
        return Fault("$.state", str(error))


def _convert_layers(layers: list[_Layers] | _Layers | None) -> tuple[LayerRange, ...]:
    if layers is None:
        return ()
    ranges = layers if isinstance(layers, list) else [layers]
    return tuple(LayerRange(one.first, one.end) for one in ranges if one.end > one.first)


class ServerCalls:
    """Calls on backend servers beside requests."""

    def __init__(self, caller: Caller) -> None:
        self._caller = caller

    async def read_report(self, server: BackendServer, limit: float = REPORT_TIME) -> ServerReport | Failed:
        """Ask a server for its report."""
        reply = await self._caller.call(server.address, "GET", "/api/report", limit, headers=_expect(server))
        if isinstance(reply, Failed):
            return reply
        report = _decode(reply, _Report)
        if isinstance(report, Failed):
            return report
        return ServerReport(
            orders=report.seq,
            is_loading=report.utilization,
            slowness=report.pace,
            layers=_convert_layers(report.layers),
            stalled={RequestId(one.id): ServerAddress(one.addr) for one in report.stalled},
        )

    async def place(self, server: BackendServer, layers: LayerRange, fence: int, orders: int) -> OrderOutcome:
        """Order a server to hold layers.

        :param orders: begun so far; the order is void if another comes between.
        """
        order = {
            "op": "place",
            "from": layers.first,
            "target_version": layers.end,
            "how": "wait",
            "fence": fence,
            "expected_rev": orders,
        }
        return await self._order(server, order)

    async def replace_parts(self, server: BackendServer, request: RequestId, parts: list[Part]) -> OrderOutcome:
        """Order the first server of a chain to take a request over another chain from now on."""
        return await self._order(server, {"op": "repath", "id": request, "path": format_chain(parts)})

    async def _order(self, server: BackendServer, order: dict[str, object]) -> OrderOutcome:
        body = msgspec.json.encode(order)
        reply = await self._caller.call(
            server.address, "POST", "/api/order", ORDER_TIME, body=body, headers=_expect(server)
        )
        if isinstance(reply, Failed):
            return OrderOutcome.UNKNOWN if reply.was_sent else OrderOutcome.REFUSED
        outcomes = {
            200: OrderOutcome.TAKEN,
            202: OrderOutcome.TAKEN,
            409: OrderOutcome.CONFLICT,
            412: OrderOutcome.FENCED,
        }
        return outcomes.get(reply.status, OrderOutcome.REFUSED)


def _expect(server: BackendServer) -> list[tuple[bytes, bytes]]:
    return [(EXPECTED_SERVER, server.id.encode("latin-1"))]


T = TypeVar("T")


def _decode(reply: Reply, type_: type[T]) -> T | Failed:
    if reply.status != 200:  # noqa: PLR2004 # the one status of a report
        return Failed(f"status {reply.status}", was_sent=True)
    try:
        return msgspec.json.decode(reply.body, type=type_)
    except msgspec.DecodeError as error:
        return Failed(str(error), was_sent=True)


__all__ = ["SERVERS_PREFIX", "OrderOutcome", "ServerCalls", "ServerReport", "decode_server"]
