"""Tests of the command line: checking files, differences, exit codes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from vaneturn_cli.commands import main
from vaneturn_cli.difference import compare_configurations
from vaneturn_cli.exits import Exit
from vaneturn_core.configuration.schema import Configuration, WorkClass
from vaneturn_core.identifiers import ClassName


def write(path: Path, declared: object) -> str:
    path.write_text(json.dumps(declared))
    return str(path)


def test_check_joins_files(tmp_path: Path) -> None:
    classes = write(tmp_path / "classes.json", {"classes": [{"name": "portal", "priority": 0}]})
    customer = {"name": "a", "key_sha256": "0" * 64, "work_class": "portal"}
    customers = write(tmp_path / "customers.json", {"customers": [customer]})
    assert main(["check", classes, customers]) == Exit.DONE
    assert main(["check", customers]) == Exit.INVALID_INPUT


@pytest.mark.parametrize(
    ("declared", "path"),
    [
        pytest.param({"unknown": []}, "unknown", id="unknown section"),
        pytest.param({"classes": [{"name": "a", "priority": 12}]}, "$.classes[0].priority", id="out of range"),
        pytest.param({"classes": [{"name": "a", "priority": 1}] * 2}, "$.classes[1]", id="twice"),
        pytest.param({"revision": 3}, "$", id="not a list"),
        pytest.param({"changes": []}, "$.changes", id="set by the system"),
        pytest.param(
            {"pipelines": [{"name": "p", "model": "m", "version": "1", "layers": 4, "stages": []}]},
            "$.pipelines[0].stages",
            id="no tiling",
        ),
    ],
)
def test_fault_names_its_path(tmp_path: Path, declared: object, path: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["check", write(tmp_path / "declared.json", declared)]) == Exit.INVALID_INPUT
    assert path in capsys.readouterr().err


def test_differences_name_the_changed_fields() -> None:
    old = Configuration(
        classes=(WorkClass(name=ClassName("a"), priority=1), WorkClass(name=ClassName("b"), priority=1))
    )
    new = Configuration(
        classes=(WorkClass(name=ClassName("a"), priority=2), WorkClass(name=ClassName("c"), priority=1))
    )
    assert [str(difference) for difference in compare_configurations(old, new)] == [
        "~ classes a (priority)",
        "+ classes c",
        "- classes b",
    ]


def test_unreachable_node_gives_no_answer(tmp_path: Path) -> None:
    declared = write(tmp_path / "declared.json", {})
    assert main(["--nodes", "127.0.0.1:1", "apply", declared]) == Exit.NO_ANSWER


def test_schema_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["schema"]) == Exit.DONE
    assert "Configuration" in json.loads(capsys.readouterr().out)["$defs"]
