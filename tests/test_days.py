"""The days under deploy/days/ can be run on any deployment."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

DAYS = sorted((Path(__file__).parents[1] / "deploy" / "days").glob("*.toml"))


def list_troubles(path: Path) -> list[dict[str, Any]]:
    return [
        trouble
        for day in tomllib.loads(path.read_text())["day"]
        for part in ("plan", "faults")
        for trouble in day.get(part, [])
    ]


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_day_names_services_and_classes_by_their_place(path: Path) -> None:
    """A name from one deployment stops the run of the day, and any search that runs it, on all other deployments."""
    troubles = list_troubles(path)
    assert troubles
    for trouble in troubles:
        for field in ("service", "class"):
            assert str(trouble.get(field, "@")).startswith("@"), trouble


def test_a_request_that_ends_its_servers_has_a_day() -> None:
    assert any(trouble["kind"] == "poison" for path in DAYS for trouble in list_troubles(path))
