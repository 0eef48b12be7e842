"""A wrong or missing setting is reported in one line with the file, the path within it and what was expected."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from vaneturn_core.faults import Fault
from vaneturn_core.settings import load_settings
from vaneturn_node.__main__ import EXIT_SETTINGS, main

VALID_SETTINGS = {
    "vm": "entry-1",
    "data_hall": "osborne",
    "http_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:7946",
    "key_value_url": "http://127.0.0.1:2400",
    "cluster_key": "a-key-that-is-long-enough",
    "operator_keys": {"anna": "a-key-that-is-long-enough"},
}


def write_settings(folder: Path, **changes: object) -> Path:
    path = folder / "node.json"
    path.write_text(
        json.dumps({name: value for name, value in {**VALID_SETTINGS, **changes}.items() if value is not None})
    )
    return path


def test_valid_settings_are_accepted(tmp_path: Path) -> None:
    assert main(["--settings", str(write_settings(tmp_path)), "--check"]) == 0


@pytest.mark.parametrize(
    ("changes", "location"),
    [
        pytest.param({"vm": None}, "vm", id="missing"),
        pytest.param({"http_address": "localhost:80"}, "$.http_address", id="a name in place of an IP number"),
        pytest.param({"cluster_key": "short"}, "$.cluster_key", id="short key"),
        pytest.param({"unknown": 1}, "unknown", id="unknown"),
        pytest.param({"tls": {"certificate": "/none", "key": "/none"}}, "$.tls.certificate", id="unreadable file"),
    ],
)
def test_fault_is_printed_in_one_line_with_its_location(
    tmp_path: Path, changes: dict[str, object], location: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_settings(tmp_path, **changes)
    assert main(["--settings", str(path)]) == EXIT_SETTINGS
    printed = capsys.readouterr().err
    assert printed.count("\n") == 1
    assert str(path) in printed
    assert location in printed


def test_unreadable_file_is_named(tmp_path: Path) -> None:
    fault = load_settings(tmp_path / "none.json")
    assert isinstance(fault, Fault)
    assert "none.json" in str(fault)
