"""The days under deploy/days/ can be run on any deployment."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

DAYS = sorted((Path(__file__).parents[1] / "deploy" / "days").glob("*.toml"))


def list_entries(path: Path) -> list[dict[str, Any]]:
    return [
        entry
        for day in tomllib.loads(path.read_text())["day"]
        for part in ("plan", "faults")
        for entry in day.get(part, [])
    ]


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_day_names_services_and_classes_by_their_place(path: Path) -> None:
    """A name from one deployment stops the run of the day, and any search that runs it, on all other deployments."""
    entries = list_entries(path)
    assert entries
    for entry in entries:
        for field in ("service", "class"):
            assert str(entry.get(field, "@")).startswith("@"), entry


def test_a_request_that_ends_its_servers_has_a_day() -> None:
    assert any(entry["kind"] == "poison" for path in DAYS for entry in list_entries(path))
