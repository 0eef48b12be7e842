"""Applies commands to the configuration."""

from __future__ import annotations

from typing import TypeVar

from msgspec import Struct
from msgspec.structs import replace

from vaneturn_cli.language import Drain, Edit, RollOut, SetPreference, SetPriority, Undrain
from vaneturn_core.configuration.schema import Configuration
from vaneturn_core.identifiers import VmId

_Entry = TypeVar("_Entry", bound=Struct)


def edit_configuration(configuration: Configuration, edit: Edit) -> Configuration | str:
    """Return the edited configuration, or the reason why the edit is not possible."""
    match edit:
        case Drain(vm):
            return _drain(configuration, vm)
        case Undrain(vm):
            return _undrain(configuration, vm)
        case SetPriority(name, priority):
            return _edit_class(configuration, name, priority=priority)
        case SetPreference(name, preference):
            return _edit_pipeline(configuration, name, preference=preference)
        case RollOut(name, version):
            return _roll_out(configuration, name, version)


def _drain(configuration: Configuration, vm: VmId) -> Configuration | str:
    if vm not in {server.vm for server in configuration.servers}:
        return f"no declared server {vm!r}"
    return replace(configuration, draining=tuple(sorted({*configuration.draining, vm})))


def _undrain(configuration: Configuration, vm: VmId) -> Configuration | str:
    if vm not in configuration.draining:
        return f"{vm!r} is not draining"
    return replace(configuration, draining=tuple(other for other in configuration.draining if other != vm))


def _edit_class(configuration: Configuration, name: str, **fields: object) -> Configuration | str:
    classes = _replace_named(configuration.classes, name, **fields)
    return replace(configuration, classes=classes) if classes else f"no declared class {name!r}"


def _roll_out(configuration: Configuration, name: str, version: str) -> Configuration | str:
    """Declare a new version; the previous one keeps serving until every server has the new one."""
    current = next((pipeline.version for pipeline in configuration.pipelines if pipeline.name == name), version)
    if current == version:
        return _edit_pipeline(configuration, name, version=version)
    return _edit_pipeline(configuration, name, version=version, previous_version=current)


def _edit_pipeline(configuration: Configuration, name: str, **fields: object) -> Configuration | str:
    pipelines = _replace_named(configuration.pipelines, name, **fields)
    return replace(configuration, pipelines=pipelines) if pipelines else f"no declared pipeline {name!r}"


def _replace_named(entries: tuple[_Entry, ...], name: str, **fields: object) -> tuple[_Entry, ...] | None:
    """Change fields of the entry with this name; return None if there is no such entry."""
    if name not in {getattr(entry, "name", None) for entry in entries}:
        return None
    return tuple(replace(entry, **fields) if getattr(entry, "name", None) == name else entry for entry in entries)


__all__ = ["edit_configuration"]
