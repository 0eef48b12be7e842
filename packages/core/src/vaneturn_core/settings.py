"""Validated settings of a vaneturn-node process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import DataHall, VmId

Port = Annotated[int, Meta(ge=0, le=65535)]
Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$", description="IP number and port")]
Seconds = Annotated[float, Meta(gt=0)]
Megabytes = Annotated[int, Meta(ge=160)]


class TlsSettings(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Files for TLS towards callers and operators."""

    certificate: str  # path of the PEM chain
    key: str  # path of the PEM private key


class NodeSettings(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The content of a node's settings file."""

    vm: VmId
    data_hall: DataHall
    http_address: Address  # for callers and operators
    peer_address: Address  # for other nodes: datagrams and documents
    key_value_url: Annotated[str, Meta(pattern=r"^https?://")]
    vm_list_url: Annotated[str, Meta(pattern=r"^https?://")] | None = None
    seeds: tuple[Address, ...] = ()  # peer addresses used to join when the key-value service is down
    cluster_key: Annotated[str, Meta(min_length=16)]  # signs datagrams between nodes and route tokens
    operator_keys: dict[str, Annotated[str, Meta(min_length=16)]]  # operator's name to bearer key
    tls: TlsSettings | None = None  # without it plain HTTP, for load balancers that terminate TLS
    stop_timeout: Seconds = 600.0  # longest wait for requests in progress at a planned stop
    call_timeout: Seconds = 10.0  # longest wait for a reply from a backend server
    memory_mb: Megabytes | None = None  # that the process may use; None means all memory of the machine
    max_connections: Annotated[int, Meta(ge=16)] = 4096  # of callers and operators
    body_pause: Seconds = 60.0  # longest wait for the next byte of a body
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


def load_settings(path: Path) -> NodeSettings | Fault:
    """Read and check a settings file; the fault contains the file name and the path within the file."""
    try:
        settings = decode_json(path.read_bytes(), NodeSettings)
        return _check_files(path, settings) or settings
    except OSError as error:
        return Fault(str(path), f"expected a readable JSON file ({error.strerror})")
    except MalformedError as error:
        return Fault(f"{path}: {error.fault.path}", error.fault.expected)


def _check_files(path: Path, settings: NodeSettings) -> Fault | None:
    """Check that the files named in the settings are readable."""
    if settings.tls is None:
        return None
    for field, file_name in (("certificate", settings.tls.certificate), ("key", settings.tls.key)):
        if not os.access(file_name, os.R_OK):
            return Fault(f"{path}: $.tls.{field}", f"expected a readable file, got {file_name!r}")
    return None


__all__ = ["Address", "NodeSettings", "TlsSettings", "load_settings"]
