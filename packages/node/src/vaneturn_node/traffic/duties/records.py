"""Records that nodes keep for each other in the metadata store."""

from __future__ import annotations

from typing import Final

import msgspec
from msgspec import Struct

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.identifiers import NodeId, VmId
from vaneturn_node.platform.servers import is_address

NODES_PREFIX: Final = "vaneturn/nodes/"
TENURE_KEY: Final = "vaneturn/placer"


class NodeRecord(Struct, frozen=True):
    """The record of a registered node; the rate limits of servers are shared among registered nodes."""

    peer_address: str  # where other nodes ask it for changes


class TenureHolder(Struct, frozen=True):
    """The node that may send orders; the fence of its orders is the revision of this record."""

    node: NodeId
    vm: VmId


def encode_node(record: NodeRecord) -> bytes:
    """Encode the record of a node."""
    return msgspec.json.encode(record)


def decode_node(value: bytes) -> NodeRecord | None:
    """Decode the record of a node; None if it is malformed or its address is invalid."""
    try:
        record = decode_json(value, NodeRecord)
    except MalformedError:
        return None
    return record if is_address(record.peer_address) else None


def encode_holder(holder: TenureHolder) -> bytes:
    """Encode the record of the tenure's holder."""
    return msgspec.json.encode(holder)


def decode_holder(value: bytes) -> TenureHolder | None:
    """Decode the record of the tenure's holder; None if it is malformed."""
    try:
        return decode_json(value, TenureHolder)
    except MalformedError:
        return None


__all__ = [
    "NODES_PREFIX",
    "TENURE_KEY",
    "NodeRecord",
    "TenureHolder",
    "decode_holder",
    "decode_node",
    "encode_holder",
    "encode_node",
]
