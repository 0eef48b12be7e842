"""Loads declarations from files under version control and merges them into one configuration."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from vaneturn_core.configuration.check import check_configuration
from vaneturn_core.configuration.document import decode_configuration
from vaneturn_core.configuration.schema import Configuration
from vaneturn_core.faults import Fault

_SYSTEM_SECTIONS = {"revision", "changes"}


def load_declarations(paths: Sequence[Path]) -> Configuration | list[Fault]:
    """Read files, each a JSON object of sections; the lists of a section are concatenated over all files."""
    faults: list[Fault] = []
    merged: dict[str, list[Any]] = {}
    for path in paths:
        sections = _read_sections(path)
        if isinstance(sections, Fault):
            faults.append(sections)
            continue
        for section, entries in sections.items():
            merged.setdefault(section, []).extend(entries)
    if faults:
        return faults
    configuration = decode_configuration(msgspec.json.encode(merged))
    if isinstance(configuration, Fault):
        return [configuration]
    return check_configuration(configuration) or configuration


def _read_sections(path: Path) -> dict[str, list[Any]] | Fault:
    """Read one file and check it on its own, so that a fault names the file."""
    try:
        data = path.read_bytes()
        sections = msgspec.json.decode(data, type=dict[str, list[Any]])
    except OSError as error:
        return Fault(str(path), f"expected a readable file ({error.strerror})")
    except msgspec.DecodeError as error:
        return Fault(str(path), str(error))
    checked = decode_configuration(data)
    if isinstance(checked, Fault):
        return Fault(f"{path}: {checked.path}", checked.expected)
    forbidden = _SYSTEM_SECTIONS & sections.keys()
    if forbidden:
        return Fault(f"{path}: $.{min(forbidden)}", "expected no such section: the system sets it")
    return sections


__all__ = ["load_declarations"]
