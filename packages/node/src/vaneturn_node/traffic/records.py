"""What nodes keep in the store for each other."""

from __future__ import annotations

from typing import Final

import msgspec
from msgspec import Struct

from vaneturn_core.identifiers import NodeId, VmId

OWN_PREFIX: Final = "vaneturn/"
NODES_PREFIX: Final = "vaneturn/nodes/"
TENURE_KEY: Final = "vaneturn/placer"


class TenureHolder(Struct, frozen=True):
    """The node that gives orders; the fence of its orders is the revision of the record."""

    node: NodeId
    vm: VmId


def encode_holder(holder: TenureHolder) -> bytes:
    """Encode the record of the holder."""
    return msgspec.json.encode(holder)


def decode_holder(value: bytes) -> TenureHolder | None:
    """Decode the record of the holder; none if it is not understood."""
    try:
        return msgspec.json.decode(value, type=TenureHolder)
    except msgspec.DecodeError:
        return None


__all__ = ["NODES_PREFIX", "OWN_PREFIX", "TENURE_KEY", "TenureHolder", "decode_holder", "encode_holder"]
