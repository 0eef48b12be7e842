"""Compact rows about demand in messages between nodes: MessagePack with checksums for services and customers.

Both sides know these names from the configuration. Halls are sent by name, since a node's hall may be named nowhere
else. Rates are sent in hundredths of a request per second, so that no message can contain a value that is no number.
"""

from __future__ import annotations

import zlib
from collections import Counter
from typing import Annotated, Final

import msgspec
from msgspec import Meta, Struct

from vaneturn_core.decoding import MalformedError, decode_with
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import DataHall
from vaneturn_core.traffic.admission.demand import (
    MAX_CUSTOMERS,
    MAX_FIGURE,
    MAX_ROWS,
    CustomerKey,
    Demand,
    DemandKey,
    DemandRows,
)
from vaneturn_core.traffic.admission.demandsums import MIN_RATE, limit_rows
from vaneturn_core.traffic.admission.prioritized import DemandScope

MAX_DEMAND_BYTES: Final = 24_576  # the longest valid message takes 18 KB, with 64 services and 64 halls
MAX_HALL_LENGTH: Final = 64
MAX_PRIORITY: Final = 2**31  # a configuration may contain any integer; larger ones are sent as this one

_Index = Annotated[int, Meta(ge=0, lt=MAX_ROWS)]  # in the list of services or halls of the message
_Checksum = Annotated[int, Meta(ge=0, lt=2**32)]
_Rate = Annotated[int, Meta(ge=0, le=round(MAX_FIGURE / MIN_RATE))]  # in units of MIN_RATE
_Count = Annotated[int, Meta(ge=0, le=round(MAX_FIGURE))]
_Priority = Annotated[int, Meta(ge=-MAX_PRIORITY, le=MAX_PRIORITY)]
_Hall = Annotated[str, Meta(max_length=MAX_HALL_LENGTH)]


class DemandRow(Struct, array_like=True):
    """The demand for a service in one hall with one priority."""

    service: _Index
    hall: _Index
    priority: _Priority
    arrivals: _Rate
    in_progress: _Count
    waiting: _Count
    refused: _Rate


class CustomerRow(Struct, array_like=True):
    """The arrivals of one customer."""

    service: _Index
    customer: _Checksum
    arrivals: _Rate


class DemandMessage(Struct, array_like=True):
    """All rows of one message."""

    nodes: _Count
    services: Annotated[list[_Checksum], Meta(max_length=MAX_ROWS)]
    halls: Annotated[list[_Hall], Meta(max_length=MAX_ROWS)]
    rows: Annotated[list[DemandRow], Meta(max_length=MAX_ROWS)]
    customers: Annotated[list[CustomerRow], Meta(max_length=MAX_ROWS * MAX_CUSTOMERS)]


class DemandCodec:
    """Packs and unpacks rows about the services and customers of one configuration."""

    def __init__(self, scope: DemandScope) -> None:
        self._services = {_compute_checksum(service): service for service in scope.priorities}
        self._customers = {_compute_checksum(customer): customer for customer in scope.customers}
        self._decoder = msgspec.msgpack.Decoder(DemandMessage)

    def pack(self, rows: DemandRows) -> bytes:
        """Pack rows; numbers above the largest valid one are clamped to it."""
        demand = limit_rows(rows.demand)
        services = list(dict.fromkeys([key.service for key in demand] + [key.service for key in rows.customers]))
        halls = list(dict.fromkeys(key.hall for key in demand))
        service_index = {service: index for index, service in enumerate(services[:MAX_ROWS])}
        hall_index = {hall: index for index, hall in enumerate(halls)}
        message = DemandMessage(
            _clamp(rows.nodes),
            [_compute_checksum(service) for service in service_index],
            [hall[:MAX_HALL_LENGTH] for hall in halls],
            [
                DemandRow(
                    service_index[key.service],
                    hall_index[key.hall],
                    min(MAX_PRIORITY, max(-MAX_PRIORITY, key.priority)),
                    _pack_rate(figures.arrivals),
                    _clamp(figures.in_progress),
                    _clamp(figures.waiting),
                    _pack_rate(figures.refused),
                )
                for key, figures in demand.items()
            ],
            [
                CustomerRow(service_index[key.service], _compute_checksum(key.customer), _pack_rate(rate))
                for key, rate in rows.customers.items()
                if key.service in service_index
            ],
        )
        return msgspec.msgpack.encode(message)

    def unpack(self, data: bytes) -> DemandRows | Fault:
        """Unpack rows; those about unknown services and customers are skipped."""
        if len(data) > MAX_DEMAND_BYTES:
            return Fault("$", f"expected at most {MAX_DEMAND_BYTES} bytes, got {len(data)}")
        try:
            message = decode_with(self._decoder, data)
        except MalformedError as error:
            return error.fault
        fault = _check(message)
        return fault if fault is not None else self._name(message)

    def _name(self, message: DemandMessage) -> DemandRows:
        services = [self._services.get(checksum) for checksum in message.services]
        demand: dict[DemandKey, Demand] = {}
        for row in message.rows:
            service = services[row.service]
            if service is not None:
                key = DemandKey(service, DataHall(message.halls[row.hall]), row.priority)
                arrivals, refused = row.arrivals * MIN_RATE, row.refused * MIN_RATE
                demand[key] = Demand(arrivals, row.in_progress, row.waiting, refused)
        customers: dict[CustomerKey, float] = {}
        for one in message.customers:
            service, customer = services[one.service], self._customers.get(one.customer)
            if service is not None and customer is not None:
                customers[CustomerKey(service, customer)] = one.arrivals * MIN_RATE
        return DemandRows(demand, customers, message.nodes)


def _check(message: DemandMessage) -> Fault | None:
    """Check what the types of the fields do not express."""
    for index, row in enumerate(message.rows):
        if row.service >= len(message.services) or row.hall >= len(message.halls):
            return Fault(f"$[3][{index}]", "expected a service and a hall of the message")
    if any(one.service >= len(message.services) for one in message.customers):
        return Fault("$[4]", "expected services of the message")
    if any(count > MAX_CUSTOMERS for count in Counter(one.service for one in message.customers).values()):
        return Fault("$[4]", f"expected at most {MAX_CUSTOMERS} customers of a service")
    return None


def _pack_rate(rate: float) -> int:
    return round(min(MAX_FIGURE, max(0.0, rate)) / MIN_RATE)


def _clamp(count: int) -> int:
    return min(round(MAX_FIGURE), max(0, count))


def _compute_checksum(name: str) -> int:
    return zlib.crc32(name.encode())


__all__ = ["MAX_DEMAND_BYTES", "CustomerRow", "DemandCodec", "DemandMessage", "DemandRow"]
