"""Messages between nodes: MessagePack arrays behind a seal."""

from __future__ import annotations

from typing import Final

import msgspec
from msgspec import Struct

from vaneturn_core.claims.ledger import LedgerEntry, Verdict
from vaneturn_core.identifiers import CustomerName, RepeatKey, Revision, VmId
from vaneturn_core.membership.member import Member


class GossipReport(Struct, frozen=True, array_like=True):
    """The state that every datagram carries."""

    revision: Revision  # of the configuration in force at the sender
    sender: str  # peer address
    members: list[Member] = []
    leaving: list[VmId] = []  # servers that reported to the sender that they are leaving


class Ping(Struct, frozen=True, tag=1, array_like=True):
    """Ask a node whether it is alive."""

    number: int
    report: GossipReport


class Ack(Struct, frozen=True, tag=2, array_like=True):
    """Acknowledge a ping; a helper forwards the ack to the node that asked for the ping."""

    number: int
    report: GossipReport


class PingFor(Struct, frozen=True, tag=3, array_like=True):
    """Ask a node, the helper, to ping another one and to forward the ack."""

    number: int
    target: str  # peer address
    report: GossipReport


Datagram = Ping | Ack | PingFor


class FetchConfiguration(Struct, frozen=True, tag=10, array_like=True):
    """Ask for the configuration in force."""


class ConfigurationDocument(Struct, frozen=True, tag=11, array_like=True):
    """The configuration in force; empty when there is none."""

    compressed: bytes  # with zlib: 48 KB instead of 220 KB for 810 servers and 1,000 customers


class ClaimRequest(Struct, frozen=True, tag=12, array_like=True):
    """Ask the owner of a key's slot for a claim to run a request once."""

    customer: CustomerName
    repeat_key: RepeatKey
    claim: str  # id, the same in each try of one node for one request


class ClaimAnswer(Struct, frozen=True, tag=13, array_like=True):
    """The owner's answer."""

    verdict: Verdict


class ReleaseRequest(Struct, frozen=True, tag=14, array_like=True):
    """Release a claim whose request was not run."""

    customer: CustomerName
    repeat_key: RepeatKey
    claim: str


class HandOver(Struct, frozen=True, tag=16, array_like=True):
    """Transfer a slot's claims to its next owner; the sender accepts no more claims for it."""

    epoch: int  # of the slot map that names the next owner
    slot: int
    taken_at: float  # seconds since the epoch; the sender can judge keys that were created later
    claims: list[LedgerEntry]


class Introduce(Struct, frozen=True, tag=17, array_like=True):
    """Ask which node has an address, and introduce the sender."""

    member: Member


class Introduction(Struct, frozen=True, tag=18, array_like=True):
    """The node that has the address."""

    member: Member


class Accepted(Struct, frozen=True, tag=15, array_like=True):
    """The request was accepted and needs no other answer."""


Query = FetchConfiguration | ClaimRequest | ReleaseRequest | HandOver | Introduce
Answer = ConfigurationDocument | ClaimAnswer | Introduction | Accepted

DATAGRAM_DECODER: Final = msgspec.msgpack.Decoder(Datagram)
QUERY_DECODER: Final = msgspec.msgpack.Decoder(Query)
ANSWER_DECODER: Final = msgspec.msgpack.Decoder(Answer)
ENCODER: Final = msgspec.msgpack.Encoder()

__all__ = [
    "ANSWER_DECODER",
    "DATAGRAM_DECODER",
    "ENCODER",
    "QUERY_DECODER",
    "Accepted",
    "Ack",
    "Answer",
    "ClaimAnswer",
    "ClaimRequest",
    "ConfigurationDocument",
    "Datagram",
    "FetchConfiguration",
    "GossipReport",
    "HandOver",
    "Introduce",
    "Introduction",
    "Ping",
    "PingFor",
    "Query",
    "ReleaseRequest",
]
