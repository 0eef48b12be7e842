"""Checked settings of a node on the users' platform; deploy/settings.json fills them in."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Final

import msgspec
from msgspec import Meta, Struct

from vaneturn_core.faults import Fault, describe_decode_error
from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.settings import Address

SETTINGS_VARIABLE: Final = "VANETURN_NODE_FILE"  # names the settings file when no option does
Milliseconds = Annotated[float, Meta(ge=0)]
PositiveMilliseconds = Annotated[float, Meta(gt=0)]
PositiveSeconds = Annotated[float, Meta(gt=0)]


class Bounds(Struct, frozen=True, kw_only=True):
    """Times and shares that the operators hold the system to."""

    keys_valid_ms: Milliseconds = 5000.0  # from the removal of a key to its last request
    leaving_ms: PositiveMilliseconds = 2000.0  # from a server's word that it leaves to the last request sent to it
    change_ms: PositiveMilliseconds = 2000.0  # from a new configuration to the last request by the one before
    stop_s: PositiveSeconds = 8.0  # from SIGTERM to SIGKILL
    retry_ratio: Annotated[float, Meta(ge=0)] = 0.2  # second sends for each first, over all nodes
    retry_window_s: PositiveSeconds = 10.0
    retry_slack: Annotated[float, Meta(ge=0)] = 100.0  # second sends in a window beyond the ratio


class TrafficSettings(Struct, frozen=True, kw_only=True):
    """What a node learns from its settings file."""

    vm: VmId
    data_hall: DataHall
    client_address: Address
    readiness_address: Address
    metrics_address: Address
    peer_address: Address  # where it tells other nodes of changes
    store_address: Address
    bounds: Bounds = Bounds()
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


def find_settings_path(option: Path | None) -> Path | None:
    """Find the settings file: the option goes before the variable."""
    named = os.environ.get(SETTINGS_VARIABLE)
    return option or (Path(named) if named else None)


def load_traffic_settings(path: Path) -> TrafficSettings | Fault:
    """Read and check a settings file; the fault names the file and the place in it."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=TrafficSettings)
    except OSError as error:
        return Fault(str(path), f"expected a readable JSON file ({error.strerror})")
    except msgspec.DecodeError as error:
        fault = describe_decode_error(error)
        return Fault(f"{path}: {fault.path}", fault.expected)


__all__ = ["Bounds", "TrafficSettings", "find_settings_path", "load_traffic_settings"]
