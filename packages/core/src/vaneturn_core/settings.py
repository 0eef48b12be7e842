"""Checked settings of one vaneturn-node process."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from vaneturn_core.faults import Fault, describe_decode_error
from vaneturn_core.identifiers import DataHall, VmId

Port = Annotated[int, Meta(ge=0, le=65535)]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$", description="IP number and port")]
Seconds = Annotated[float, Meta(gt=0)]


class NodeSettings(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What a node learns from its settings file."""

    vm: VmId
    data_hall: DataHall
    http_address: Address  # callers and operators
    peer_address: Address  # other nodes: datagrams and documents
    key_value_url: Annotated[str, Meta(pattern=r"^https?://")]
    vm_list_url: Annotated[str, Meta(pattern=r"^https?://")] | None = None
    seeds: tuple[Address, ...] = ()  # peer addresses to join through when the key-value service is down
    cluster_key: Annotated[str, Meta(min_length=16)]  # signs datagrams between nodes and route tokens
    operator_keys: dict[str, Annotated[str, Meta(min_length=16)]]  # operator's name to bearer key
    stop_timeout: Seconds = 600.0  # longest wait for requests in progress at a planned stop
    call_timeout: Seconds = 10.0  # longest wait for one reply of a backend server
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


def load_settings(path: Path) -> NodeSettings | Fault:
    """Read and check a settings file; the fault names the file and the place in it."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=NodeSettings)
    except OSError as error:
        return Fault(str(path), f"expected a readable JSON file ({error.strerror})")
    except msgspec.DecodeError as error:
        fault = describe_decode_error(error)
        return Fault(f"{path}: {fault.path}", fault.expected)


__all__ = ["Address", "NodeSettings", "load_settings"]
