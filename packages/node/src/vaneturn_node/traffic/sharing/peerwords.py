"""What nodes say to each other along the way of the relays, and how it is read."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec
from msgspec import Struct

from vaneturn_core.identifiers import VmId
from vaneturn_core.traffic.loads import Loads
from vaneturn_core.traffic.servers import ServerId
from vaneturn_node.http1.caller import Caller, Failed, Reply
from vaneturn_node.traffic.servers.permits import ToldLimit
from vaneturn_node.traffic.sharing.changelog import Change
from vaneturn_node.traffic.sharing.serverrows import unpack_loads

OK: Final = 200

_Body = TypeVar("_Body")

logger = logging.getLogger(__name__)


class ToldLoads(Struct):
    """What a node has in progress, or a relay with those that ask it."""

    vm: VmId
    loads: bytes  # packed
    crashes: int = 0  # checksum of what it knows of servers that ended
    limits: list[ToldLimit] = []  # rate limits of servers that have changed lately


@dataclass(frozen=True, slots=True)
class Told:
    """What a node has told."""

    vm: VmId
    loads: Loads
    crashes: int
    limits: list[ToldLimit]


class RelayWord(Struct):
    """An answer of a relay; ages in seconds, none for what never was."""

    revision: int
    changes: list[Change]
    held: float
    confirmed_age: float | None
    failed_age: float | None
    returned_age: float | None
    loads: bytes = b""  # of all nodes, packed
    losses: bytes = b""  # servers that two nodes or more have found lost, packed
    limits: list[ToldLimit] = []  # rate limits of servers that have changed lately


async def send_word(caller: Caller, address: str, path: str, limit: float, word: Struct) -> None:
    """Send a word to another node; a lost one is made good by later words."""
    reply = await caller.call(address, "POST", path, limit, body=msgspec.json.encode(word))
    if not isinstance(reply, Reply):
        logger.debug("word not sent", extra={"node": address, "path": path, "cause": reply.cause})


def decode_reply(reply: Reply | Failed, kind: type[_Body]) -> _Body | None:
    """Decode what a relay gave; none when it gave nothing that is understood."""
    if not isinstance(reply, Reply) or reply.status != OK:
        return None
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as error:
        logger.warning("answer of a relay not understood", extra={"fault": str(error)})
        return None


def decode_told(body: bytes, known: Iterable[ServerId]) -> Told | None:
    """Decode who told what; none when nothing was told, or it was not understood."""
    try:
        told = msgspec.json.decode(body, type=ToldLoads) if body else None
    except msgspec.DecodeError as error:
        logger.warning("word on loads not understood", extra={"fault": str(error)})
        return None
    loads = unpack_total(told.loads, known) if told is not None else None
    return Told(told.vm, loads, told.crashes, told.limits) if told is not None and loads is not None else None


def unpack_total(data: bytes, known: Iterable[ServerId]) -> Loads | None:
    """Unpack loads; none when they were not understood."""
    try:
        return unpack_loads(data, known)
    except ValueError as error:
        logger.warning("loads not understood", extra={"fault": str(error)})
        return None


__all__ = ["OK", "RelayWord", "Told", "ToldLoads", "decode_reply", "decode_told", "send_word", "unpack_total"]
