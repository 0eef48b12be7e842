"""Settings of a node on the users' platform and their validation; deploy/settings.json is the template."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Final, get_type_hints

from msgspec import Meta, Struct, ValidationError, convert
from msgspec.structs import replace

from vaneturn_core.decoding import MalformedError, decode_json
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import DataHall, VmId
from vaneturn_core.settings import Address

BYTE_BUDGET_SHARE: Final = 0.3  # of the memory; a body is held twice at most, while nodes forward it
SETTINGS_VARIABLE: Final = "VANETURN_NODE_FILE"  # path of the settings file, used when the option is absent
# variables that override settings: the limits of the process are those of where it is started
LIMIT_VARIABLES: Final = {"VANETURN_MEMORY_MB": "memory_mb", "VANETURN_MAX_DESCRIPTORS": "max_descriptors"}
Milliseconds = Annotated[float, Meta(ge=0)]
PositiveMilliseconds = Annotated[float, Meta(gt=0)]
Descriptors = Annotated[int, Meta(ge=256)]
Megabytes = Annotated[float, Meta(ge=32, le=1e9)]  # finite: a variable may hold "inf"
PositiveSeconds = Annotated[float, Meta(gt=0)]


class Bounds(Struct, frozen=True, kw_only=True):
    """Limits on delays and retries that the operators require."""

    keys_valid_ms: Milliseconds = 5000.0  # from the removal of a key to the last request accepted with it
    leaving_ms: PositiveMilliseconds = 2000.0  # from a server's notice that it leaves to the last request sent to it
    change_ms: PositiveMilliseconds = 2000.0  # from a new configuration to the last request under the previous one
    stop_s: PositiveSeconds = 8.0  # from SIGTERM to SIGKILL
    retry_ratio: Annotated[float, Meta(ge=0)] = 0.2  # retries per first send, over all nodes
    retry_window_s: PositiveSeconds = 10.0
    retry_slack: Annotated[float, Meta(ge=0)] = 100.0  # retries per window beyond the ratio, over all nodes


class TrafficSettings(Struct, frozen=True, kw_only=True):
    """The contents of a node's settings file; variables of the environment override the limits of the process."""

    vm: VmId
    data_hall: DataHall
    client_address: Address
    readiness_address: Address
    metrics_address: Address
    peer_address: Address  # serves changes and reports to other nodes
    store_address: Address
    bounds: Bounds = Bounds()
    admission: bool = False  # admission control of prioritized services, and the reports of demand that it needs
    memory_mb: Megabytes = 200.0  # of the machine
    max_descriptors: Descriptors = 4096  # of the process
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"

    def compute_byte_budget(self) -> int:
        """Compute the bytes that all requests may hold at the same time."""
        return int(BYTE_BUDGET_SHARE * self.memory_mb * 1e6)


def find_settings_path(option: Path | None) -> Path | None:
    """Find the path of the settings file; the option takes precedence over the environment variable."""
    named = os.environ.get(SETTINGS_VARIABLE)
    return option or (Path(named) if named else None)


def load_traffic_settings(path: Path, environment: Mapping[str, str] = os.environ) -> TrafficSettings | Fault:
    """Read and validate a settings file; a fault names the file or the variable, and the position of the error.

    :param environment: of the process; an empty variable counts as absent.
    """
    try:
        settings = decode_json(path.read_bytes(), TrafficSettings)
    except OSError as error:
        return Fault(str(path), f"expected a readable JSON file ({error.strerror})")
    except MalformedError as error:
        return Fault(f"{path}: {error.fault.path}", error.fault.expected)
    return _override_limits(settings, environment)


def _override_limits(settings: TrafficSettings, environment: Mapping[str, str]) -> TrafficSettings | Fault:
    types = get_type_hints(TrafficSettings, include_extras=True)
    for variable, field in LIMIT_VARIABLES.items():
        text = environment.get(variable)
        if not text:
            continue
        try:
            value = convert(text, types[field], strict=False)
        except ValidationError as error:
            return Fault(variable, str(error))
        settings = replace(settings, **{field: value})
    return settings


__all__ = ["LIMIT_VARIABLES", "Bounds", "TrafficSettings", "find_settings_path", "load_traffic_settings"]
