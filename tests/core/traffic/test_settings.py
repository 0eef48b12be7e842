"""The limits of the process in a node's settings, which the environment overrides."""

from __future__ import annotations

from pathlib import Path

import pytest

from vaneturn_core.faults import Fault
from vaneturn_core.traffic.settings import TrafficSettings, load_traffic_settings

SETTINGS = """{
  "vm": "entry-1", "data_hall": "east", "client_address": "10.0.0.1:80", "readiness_address": "10.0.0.1:81",
  "metrics_address": "10.0.0.1:82", "peer_address": "10.0.0.1:83", "store_address": "10.0.0.2:80", "memory_mb": 250
}"""


@pytest.fixture
def path(tmp_path: Path) -> Path:
    path = tmp_path / "settings.json"
    path.write_text(SETTINGS)
    return path


@pytest.mark.parametrize(
    ("environment", "memory_mb", "max_descriptors"),
    [
        pytest.param({}, 250.0, 4096, id="absent"),
        pytest.param({"VANETURN_MEMORY_MB": "", "VANETURN_MAX_DESCRIPTORS": ""}, 250.0, 4096, id="empty"),
        pytest.param({"VANETURN_MEMORY_MB": "300", "VANETURN_MAX_DESCRIPTORS": "600"}, 300.0, 600, id="given"),
    ],
)
def test_environment_overrides_the_limits_of_the_process(
    path: Path, environment: dict[str, str], memory_mb: float, max_descriptors: int
) -> None:
    settings = load_traffic_settings(path, environment)
    assert isinstance(settings, TrafficSettings)
    assert settings.memory_mb == memory_mb
    assert settings.max_descriptors == max_descriptors


@pytest.mark.parametrize(
    ("variable", "value"),
    [
        ("VANETURN_MEMORY_MB", "much"),
        ("VANETURN_MEMORY_MB", "inf"),  # the byte budget cannot be computed from it
        ("VANETURN_MEMORY_MB", "nan"),
        ("VANETURN_MAX_DESCRIPTORS", "-1"),
    ],
)
def test_wrong_limit_in_the_environment_is_named(path: Path, variable: str, value: str) -> None:
    fault = load_traffic_settings(path, {variable: value})
    assert isinstance(fault, Fault)
    assert fault.path == variable
