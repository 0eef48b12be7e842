"""A mechanism that ensures a guarantee, and the test that must fail without it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class Edit:
    """A piece of a source file, and its replacement that removes the mechanism."""

    file: str
    old: str
    new: str


@dataclass(frozen=True)
class Proof:
    """A mechanism and the test that must fail without it."""

    name: str
    test: str
    edits: tuple[Edit, ...]


def apply_edits(name: str, edits: Iterable[Edit], packages: Path) -> None:
    """Apply edits to the sources in a folder.

    :raises LookupError: the sources do not contain the text that an edit replaces.
    """
    for edit in edits:
        path = packages / edit.file
        text = path.read_text()
        if edit.old not in text:
            raise LookupError(f"{name}: {edit.file} no longer contains {edit.old!r}")
        path.write_text(text.replace(edit.old, edit.new))
