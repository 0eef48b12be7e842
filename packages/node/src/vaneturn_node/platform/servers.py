"""Entries of the list of backend servers, and the calls for their reports and orders."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Final, TypeVar

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import RequestId, ServiceName
from vaneturn_core.traffic.chain import Part
from vaneturn_core.traffic.servers import (
    BackendServer,
    LayerRange,
    ServerAddress,
    ServerName,
    ServerState,
    identify_start,
)
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.http1.messages import Headers, encode_name, find_header
from vaneturn_node.platform.headers import EXPECTED_SERVER, REQUEST_ID, WRONG_SERVER, format_chain

SERVERS_PREFIX: Final = "servers/"
REPORT_TIMEOUT_S: Final = 0.4  # a healthy server answers in a few milliseconds
ORDER_TIMEOUT_S: Final = 0.6
MAX_ENTRY_BYTES: Final = 65_536  # valid entries have about 250
MAX_SLOTS: Final = 10_000  # servers have 6 to 192 at present
MAX_LAYERS: Final = 10_000  # models have 40 to 80 at present
MAX_ORDERS: Final = 2**53  # of one start
MAX_PORT: Final = 65_535
MAX_NAME_LENGTH: Final = 200  # the same limit as for keys of the store

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Born = Annotated[int, Meta(ge=1, le=2**53)]  # Unix milliseconds


class _Layers(Struct, rename={"first": "from", "end": "target_version"}):  # the exclusive end, not a version
    first: Annotated[int, Meta(ge=0, le=MAX_LAYERS)]
    end: Annotated[int, Meta(ge=0, le=MAX_LAYERS)]


class _Entry(Struct):
    service: Name
    addr: Name
    zone: Name
    state: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)] = 1
    route_type: Name | None = None  # the kind of its accelerator, not of a route
    layers: list[_Layers] | _Layers | None = None
    version: str | int = ""  # of its software
    born: Born | UnsetType = UNSET


class _Stalled(Struct):
    id: str = ""
    addr: str = ""


class _Report(Struct):
    seq: Annotated[int, Meta(ge=0, le=MAX_ORDERS)] = 0
    utilization: bool = False  # an order is in progress
    pace: float = 1.0
    layers: list[_Layers] | _Layers | None = None
    stalled: list[_Stalled] = []
    born: Born | UnsetType = UNSET


@dataclass(frozen=True, slots=True)
class ServerReport:
    """A server's report on its state."""

    orders_begun: int  # number begun since the start of the server
    is_loading: bool
    slowness: float  # relative to its kind; over 1: slower
    layers: tuple[LayerRange, ...]
    stalled: dict[RequestId, ServerAddress]  # the part of its chain that each stalled request waits for


class OrderOutcome(Enum):
    """The outcome of an order."""

    TAKEN = "taken"
    CONFLICT = "conflict"  # does not fit the server's state, or another order was begun before it
    FENCED = "fenced"  # a newer holder of the tenure has sent an order
    NOT_FOUND = "not found"  # the server does not run the request
    REFUSED = "refused"  # the address belongs to another server, or the order is invalid
    UNKNOWN = "unknown"  # no response; the order may be taken, even later


def decode_server(name: ServerName, value: bytes) -> BackendServer | Fault:
    """Decode an entry of the list; the fault for one that violates the platform's specification names the field."""
    if len(value) > MAX_ENTRY_BYTES:
        return Fault("$", f"{len(value)} bytes are more than {MAX_ENTRY_BYTES}")
    try:
        entry = decode_json(value, _Entry)
    except MalformedError as error:
        return error.fault
    return _find_fault(entry) or _convert_entry(name, entry)


def _find_fault(entry: _Entry) -> Fault | None:
    states = [state.value for state in ServerState]
    if entry.state not in states:
        return Fault("$.state", f"one of {states}")
    if not is_address(entry.addr):
        return Fault("$.addr", "IP address and port")
    if any(layers.end < layers.first for layers in _list_ranges(entry.layers)):
        return Fault("$.layers", "an end that is not before the beginning")
    return None


def _convert_entry(name: ServerName, entry: _Entry) -> BackendServer:
    born = _read_start_time(entry)
    return BackendServer(
        id=identify_start(name, born),
        name=name,
        service=ServiceName(entry.service),
        address=ServerAddress(entry.addr),
        hall=entry.zone,
        state=ServerState(entry.state),
        slots=entry.slots,
        kind=entry.route_type,
        layers=_convert_layers(_list_ranges(entry.layers)),
        version=str(entry.version),
        born=born,
    )


def _read_start_time(source: _Entry | _Report) -> int | None:
    """Read the start time of a server; None if the field is absent (the decoder rejects a null)."""
    return None if source.born is UNSET else source.born


def is_address(text: str) -> bool:
    """Tell whether a text is an IP address with a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def _list_ranges(layers: list[_Layers] | _Layers | None) -> list[_Layers]:
    if layers is None:
        return []
    return layers if isinstance(layers, list) else [layers]


def _convert_layers(ranges: list[_Layers]) -> tuple[LayerRange, ...]:
    return tuple(LayerRange(layers.first, layers.end) for layers in ranges if layers.end > layers.first)


class ServerCalls:
    """Calls to backend servers other than clients' requests."""

    def __init__(self, caller: Caller) -> None:
        self._caller = caller

    async def read_report(self, server: BackendServer, limit: float = REPORT_TIMEOUT_S) -> ServerReport | Failed:
        """Request the report of a server."""
        reply = await self._call(server, "GET", "/api/report", limit)
        if isinstance(reply, Failed):
            return reply
        if reply.status == WRONG_SERVER:
            return Failed("another server has the address", was_sent=True, is_gone=True)
        report = _decode(reply, _Report)
        if isinstance(report, Failed):
            return report
        born = _read_start_time(report)
        if server.born is not None and born != server.born:
            is_newer = born is not None and born > server.born
            return Failed(f"born {born}, not {server.born}", was_sent=True, is_gone=is_newer)
        return ServerReport(
            orders_begun=report.seq,
            is_loading=report.utilization,
            slowness=report.pace,
            layers=_convert_layers(_list_ranges(report.layers)),
            stalled={RequestId(one.id): ServerAddress(one.addr) for one in report.stalled},
        )

    async def place(self, server: BackendServer, layers: LayerRange, fence: int, orders_begun: int) -> OrderOutcome:
        """Order a server to hold layers.

        :param orders_begun: number that the server has begun so far; it rejects this order if another was begun since.
        """
        order = {
            "op": "place",
            "from": layers.first,
            "target_version": layers.end,
            "how": "wait",
            "fence": fence,
            "expected_rev": orders_begun,
        }
        return await self._order(server, order)

    async def reroute_request(self, server: BackendServer, request: RequestId, parts: list[Part]) -> OrderOutcome:
        """Order the first server of a chain to send a request through another chain from now on."""
        return await self._order(server, {"op": "repath", "id": request, "path": format_chain(parts)})

    async def _order(self, server: BackendServer, order: dict[str, object]) -> OrderOutcome:
        body = msgspec.json.encode(order)
        reply = await self._call(server, "POST", "/api/order", ORDER_TIMEOUT_S, body)
        if isinstance(reply, Failed):
            return OrderOutcome.UNKNOWN if reply.was_sent else OrderOutcome.REFUSED
        outcomes = {
            200: OrderOutcome.TAKEN,
            202: OrderOutcome.TAKEN,
            404: OrderOutcome.NOT_FOUND,
            409: OrderOutcome.CONFLICT,
            412: OrderOutcome.FENCED,
        }
        return outcomes.get(reply.status, OrderOutcome.REFUSED)

    async def _call(
        self, server: BackendServer, method: str, target: str, limit: float, body: bytes = b""
    ) -> Reply | Failed:
        headers = [(EXPECTED_SERVER, encode_name(server.name))]
        return await self._caller.call(
            server.address, method, target, limit, body=body, headers=headers, is_due=_is_due_to_call
        )


def _is_due_to_call(headers: Headers) -> bool:
    """Tell whether an answer may be one to a call; a surplus one to a request of a client names that request."""
    return find_header(headers, REQUEST_ID) is None


T = TypeVar("T")


def _decode(reply: Reply, type_: type[T]) -> T | Failed:
    if reply.status != 200:  # noqa: PLR2004 # a report has no other status
        return Failed(f"status {reply.status}", was_sent=True, has_answered=True)
    try:
        return decode_json(reply.body, type_)
    except MalformedError as error:
        return Failed(str(error), was_sent=True, has_answered=True)


__all__ = ["SERVERS_PREFIX", "OrderOutcome", "ServerCalls", "ServerReport", "decode_server", "is_address"]
