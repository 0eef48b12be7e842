"""Messages between nodes and relays, and their decoding."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec
from msgspec import UNSET, Struct, UnsetType

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.loads import Loads
from vaneturn_core.traffic.servers import ServerId
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.traffic.servers.crashrows import Checksum
from vaneturn_node.traffic.servers.permits import LimitRow
from vaneturn_node.traffic.sharing.changelog import Change
from vaneturn_node.traffic.sharing.serverrows import unpack_loads

OK: Final = 200

_Message = TypeVar("_Message")

logger = logging.getLogger(__name__)


class LoadReport(Struct):
    """The load on servers by a node, or by a relay and its followers."""

    vm: VmId
    loads: bytes  # packed
    crashes: Checksum = 0  # checksum of the crashes that the node knows of
    limits: list[LimitRow] = []  # recently changed rate limits of servers
    demand: bytes | UnsetType = UNSET  # for prioritized services, packed; left out without such services
    slow: bytes | UnsetType = UNSET  # slowness of servers, packed; left out while none is slow
    is_counted: bool | UnsetType = UNSET  # false while another relay counts the node; left out otherwise


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """The decoded message of a node."""

    vm: VmId
    loads: Loads
    crashes: int
    limits: list[LimitRow]
    demand: bytes | UnsetType  # packed
    slow: bytes | UnsetType  # packed
    is_counted: bool  # whether the receiver adds the figures to its sums


class RelayAnswer(Struct):
    """An answer of a relay; ages are in seconds, None for events that never occurred.

    A relay that cannot reach the store sends it with status 503: its sums count, and there are no changes.
    """

    revision: int  # a StoreState
    changes: list[Change]
    held: float
    confirmed_age: float | None
    failed_age: float | None
    returned_age: float | None
    loads: bytes = b""  # of all nodes, packed
    losses: bytes = b""  # servers that two or more nodes have found lost, packed
    limits: list[LimitRow] = []  # recently changed rate limits of servers
    demand: bytes | UnsetType = UNSET  # of all nodes for prioritized services, packed; left out without such services
    slow: bytes | UnsetType = UNSET  # slowness of servers, packed; left out while none is slow
    verified_age: float | UnsetType = UNSET  # seconds since a read has shown the state; left out if none has


async def send_message(caller: Caller, address: str, path: str, limit: float, message: Struct) -> None:
    """Send a message to another node; a lost message is not retried, because later ones replace it."""
    reply = await caller.call(address, "POST", path, limit, body=msgspec.json.encode(message))
    if not isinstance(reply, Reply):
        logger.debug("message not sent", extra={"node": address, "path": path, "cause": reply.cause})


def decode_reply(reply: Reply | Failed, message_type: type[_Message], status: int = OK) -> _Message | None:
    """Decode the answer of a relay; None if the call failed, has another status or an invalid body."""
    if not isinstance(reply, Reply) or reply.status != status:
        return None
    try:
        return decode_json(reply.body, message_type)
    except MalformedError as error:
        logger.warning("answer from a relay not understood", extra={"fault": str(error)})
        return None


def decode_load_report(body: bytes, known: Iterable[ServerId]) -> ReceivedReport | None:
    """Decode the message of a node; None if the body is empty or invalid."""
    try:
        report = decode_json(body, LoadReport) if body else None
    except MalformedError as error:
        logger.warning("report of loads not understood", extra={"fault": str(error)})
        return None
    loads = unpack_total(report.loads, known) if report is not None else None
    return (
        ReceivedReport(
            report.vm,
            loads,
            report.crashes,
            report.limits,
            report.demand,
            report.slow,
            report.is_counted is not False,
        )
        if report is not None and loads is not None
        else None
    )


def unpack_total(data: bytes, known: Iterable[ServerId]) -> Loads | None:
    """Unpack loads; None if they are invalid."""
    try:
        return unpack_loads(data, known)
    except ValueError as error:
        logger.warning("loads not understood", extra={"fault": str(error)})
        return None


__all__ = [
    "OK",
    "LoadReport",
    "ReceivedReport",
    "RelayAnswer",
    "decode_load_report",
    "decode_reply",
    "send_message",
    "unpack_total",
]
