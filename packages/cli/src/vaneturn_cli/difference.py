"""Differences between two configurations, by section and entry."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

import msgspec

from vaneturn_core.configuration.schema import Configuration

_SECTIONS: Final = ("servers", "pipelines", "services", "classes", "customers", "links", "draining")


class DifferenceKind(Enum):
    """What happened to an entry."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True)
class Difference:
    """One entry that differs."""

    kind: DifferenceKind
    section: str
    entry: str
    fields: tuple[str, ...] = ()  # the changed ones

    def __str__(self) -> str:
        fields = f" ({', '.join(self.fields)})" if self.fields else ""
        return f"{self.kind.value} {self.section} {self.entry}{fields}"


def compare_configurations(old: Configuration, new: Configuration) -> list[Difference]:
    """List the differences, section by section."""
    return [difference for section in _SECTIONS for difference in _compare_section(section, old, new)]


def _compare_section(section: str, old: Configuration, new: Configuration) -> Iterator[Difference]:
    before = {_name_entry(entry): entry for entry in getattr(old, section)}
    after = {_name_entry(entry): entry for entry in getattr(new, section)}
    for name, entry in after.items():
        if name not in before:
            yield Difference(DifferenceKind.ADDED, section, name)
        elif before[name] != entry:
            yield Difference(DifferenceKind.CHANGED, section, name, _list_changed_fields(before[name], entry))
    for name in before:
        if name not in after:
            yield Difference(DifferenceKind.REMOVED, section, name)


def _name_entry(entry: Any) -> str:
    if isinstance(entry, str):
        return entry
    if hasattr(entry, "halls"):
        return " - ".join(entry.halls)
    return str(getattr(entry, "name", None) or entry.vm)


def _list_changed_fields(old: Any, new: Any) -> tuple[str, ...]:
    before, after = msgspec.structs.asdict(old), msgspec.structs.asdict(new)
    return tuple(name for name in after if before[name] != after[name])


__all__ = ["Difference", "DifferenceKind", "compare_configurations"]
